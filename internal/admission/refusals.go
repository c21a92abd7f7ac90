package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// reason is why a call is refused.
type reason int

const (
	reasonQueueFull reason = iota
	reasonDisplaced
	reasonThreshold
	reasonNeverWaits
	reasonDeadline
	reasonExpired
	reasonDraining
	reasons
)

const (
	// spreads is the number of different times to come back, by caller, so that
	// refused callers do not return all at once.
	spreads = 4
	// shedRetryAfter is the least time after which a shed caller may come back:
	// about the time in which the threshold opens.
	shedRetryAfter = 500 * time.Millisecond
	// shedRetrySpread is the step between spreads.
	shedRetrySpread = 250 * time.Millisecond
	// minRetryAfter is the least hint of all.
	minRetryAfter = 100 * time.Millisecond
	// drainRetryAfter is when callers know that the upstream is leaving.
	drainRetryAfter = 2 * time.Second
)

// refusalCache holds the refusals of the present interval. Under overload a
// refusal is the most frequent answer; formatting each would cost more than the
// decision. The figures in a detail are at most one interval old.
type refusalCache [reasons][callctx.Levels][spreads]*result.Refusal

func (c *Controller) refusal(why reason, r *Request) *result.Refusal {
	spread := r.CallerHash % spreads
	kept := &c.refusals[why][r.Level][spread]
	if *kept == nil {
		*kept = c.newRefusal(why, r.Level, time.Duration(spread))
	}
	return *kept
}

func (c *Controller) newRefusal(why reason, level callctx.Level, spread time.Duration) *result.Refusal {
	shedAfter := shedRetryAfter + spread*shedRetrySpread
	switch why {
	case reasonQueueFull:
		return result.Refuse(result.Shed, "%d of %d places in the queue taken, %d of %d slots in use",
			c.queue.len(), c.cfg.QueueLimit, c.inFlight, c.limiter.limit).After(shedAfter)
	case reasonDisplaced:
		return result.Refuse(result.Shed, "displaced by a more important call, %d places in the queue, %d of %d slots in use",
			c.cfg.QueueLimit, c.inFlight, c.limiter.limit).After(shedAfter)
	case reasonThreshold:
		return result.Refuse(result.Shed, "rank of this %s caller is at or above the shed threshold %#08x, %d of %d slots in use",
			level, c.shedder.threshold, c.inFlight, c.limiter.limit).After(shedAfter)
	case reasonNeverWaits:
		return result.Refuse(result.Shed, "worth of level %s is 0 and %d of %d slots are in use",
			level, c.inFlight, c.limiter.limit).After(shedAfter)
	case reasonDeadline:
		wait := c.expectedWait(level, 0)
		return result.Refuse(result.DeadlineTooNear, "less time left than service time %v (10%% quantile) plus expected wait %v",
			c.serviceTime(level), wait).After(max(minRetryAfter, wait))
	case reasonExpired:
		return result.Refuse(result.QueueExpired, "no slot within the bound of the wait (at most %v), %d of %d slots in use",
			c.cfg.MaxWait, c.inFlight, c.limiter.limit).After(shedAfter)
	}
	return result.Refuse(result.Draining, "upstream takes no new work, %d calls still run",
		c.inFlight).After(drainRetryAfter)
}

// refuseDuplicate answers a call ID that runs or waits already. Not run would
// be false, since the first call of this ID may take effect.
func refuseDuplicate(id string) Decision {
	r := result.Refuse(result.OutcomeUnknown, "call ID is already admitted here").After(minRetryAfter)
	return Decision{ID: id, Verdict: Refuse, Refusal: r}
}
