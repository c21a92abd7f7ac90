package admission

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// reason is the reason for a refusal.
type reason int

const (
	reasonQueueFull reason = iota
	reasonDisplaced
	reasonThreshold
	reasonNeverWaits
	reasonDeadline
	reasonExpired
	reasonDraining
	reasonCount
)

const (
	// jitterSteps is the number of different retry delays, chosen by the hash of the caller, so
	// that refused callers do not all retry at once.
	jitterSteps = 4
	// shedRetryAfter is the minimum retry delay after a shed. It is about the time that the
	// threshold takes to open.
	shedRetryAfter = 500 * time.Millisecond
	// shedRetryJitterStep is the difference between two consecutive retry delays.
	shedRetryJitterStep = 250 * time.Millisecond
	// minRetryAfter is the minimum of all retry delays.
	minRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is the time until callers have learned that the upstream is draining.
	drainRetryAfter = 2 * time.Second
)

// refusalCache holds the refusals of the current interval. Under overload a refusal is the most
// frequent result, and formatting each one would cost more than the decision. The numbers in a
// detail are therefore up to one interval old.
type refusalCache [reasonCount][callctx.Levels][jitterSteps]*result.Refusal

func (c *Controller) refusal(why reason, r *Request) *result.Refusal {
	jitter := r.CallerHash % jitterSteps
	cached := &c.refusals[why][r.Level][jitter]
	if *cached == nil {
		*cached = c.newRefusal(why, r.Level, time.Duration(jitter))
	}
	return *cached
}

func (c *Controller) newRefusal(why reason, level callctx.Level, jitter time.Duration) *result.Refusal {
	retryAfter := shedRetryAfter + jitter*shedRetryJitterStep
	switch why {
	case reasonQueueFull:
		return result.Refuse(result.Shed, "queue is full: %d of %d places taken, %s",
			c.queue.len(), c.cfg.QueueLimit, c.usage()).WithRetryAfter(retryAfter)
	case reasonDisplaced:
		return result.Refuse(result.Shed, "displaced from the full queue by a more important call, %d places in the queue, %s",
			c.cfg.QueueLimit, c.usage()).WithRetryAfter(retryAfter)
	case reasonThreshold:
		return result.Refuse(result.Shed, "rank of this %s caller is at or above the shed threshold %#08x, %s",
			level, c.shedder.threshold, c.usage()).WithRetryAfter(retryAfter)
	case reasonNeverWaits:
		return result.Refuse(result.Shed, "calls of level %s have worth 0 and do not wait, %s",
			level, c.usage()).WithRetryAfter(retryAfter)
	case reasonDeadline:
		wait := c.expectedWait(&Request{Level: level})
		return result.Refuse(result.DeadlineTooNear, "time until the deadline is shorter than service time %v (10%% quantile) plus expected wait %v",
			c.serviceTime(level), wait).WithRetryAfter(max(minRetryAfter, wait))
	case reasonExpired:
		return result.Refuse(result.QueueExpired, "could not start within the maximum wait (at most %v), %s",
			c.cfg.MaxWait, c.usage()).WithRetryAfter(retryAfter)
	}
	return result.Refuse(result.Draining, "upstream is draining and accepts no new calls, %d calls are still running",
		c.inFlight).WithRetryAfter(drainRetryAfter)
}

// usage describes the slots in use and the rate limit.
func (c *Controller) usage() string {
	slots := fmt.Sprintf("%d of %d slots in use", c.inFlight, c.limiter.limit)
	if !c.rate.active() {
		return slots
	}
	return fmt.Sprintf("%s, rate limit %g calls/s", slots, c.rate.perSecond)
}

// refuseDuplicate refuses a call whose ID is already running or waiting. It reports an unknown
// outcome instead of "not run", because the first call with this ID may take effect.
func refuseDuplicate(id string) Decision {
	r := result.Refuse(result.OutcomeUnknown, "a call with this ID is already running or waiting here").WithRetryAfter(minRetryAfter)
	return Decision{ID: id, Verdict: Refuse, Refusal: r}
}
