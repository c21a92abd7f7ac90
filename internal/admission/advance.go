package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Counters are running totals by level.
type Counters struct {
	Offered, Answered, Refused [callctx.Levels]uint64
	// Worth is the sum of the worth of all answered calls.
	Worth float64
}

// Counters returns the totals since New.
func (c *Controller) Counters() Counters { return c.counters }

// advance brings the state up to now: adjustments, ended waits, free slots.
func (c *Controller) advance(now time.Time) []Decision {
	c.integrate(now)
	if now.Sub(c.intervalStarted) >= c.cfg.SojournInterval {
		c.adjust(now)
	}
	var out []Decision
	for w := c.queue.expired(now); w != nil; w = c.queue.expired(now) {
		out = append(out, c.expire(w))
	}
	out = c.dispatch(now, out)
	// Taken here and not at each removal: a call that takes the place of a
	// displaced one leaves the queue as long as it was.
	c.leastQueued = min(c.leastQueued, c.queue.len())
	return out
}

// adjust ends an interval.
func (c *Controller) adjust(now time.Time) {
	elapsed := now.Sub(c.intervalStarted)
	c.intervalStarted = now
	c.estimate.refresh(now)
	c.startRate = c.startRate*decay + float64(c.starts)*(1-decay)
	c.starts = 0
	c.overloaded = c.standingDelay(elapsed) > max(c.cfg.SojournTarget, c.estimate.median/targetShare)
	c.queue.newestFirst = c.overloaded
	whole := float64(elapsed) * float64(c.limiter.limit)
	use := min(1, c.busy/whole)
	// Slots that calls from above the threshold have are room for those below:
	// were they counted as used, the threshold would stay where it is, and
	// unimportant calls would take the slots of shed important ones.
	useBelow := min(1, (c.busy-c.busyAbove)/whole)
	c.busy = 0
	c.busyAbove = 0
	c.limiter.adjust(now, use)
	for range min(elapsed/c.cfg.SojournInterval, maxQuietIntervals) {
		c.shedder.relax(useBelow, use)
	}
	c.endThresholdPeriod(now)
	c.leastQueued = c.queue.len()
	c.refusals = refusalCache{}
}

const (
	// maxThresholdPeriod bounds the time between two steps down.
	maxThresholdPeriod = 300 * time.Millisecond
	// maxQuietIntervals opens the threshold from its lowest: without calls
	// nobody ends the intervals one by one.
	maxQuietIntervals = 8
	// saturatedUse is the part of the slots in use from which on throughput is
	// bounded by them.
	saturatedUse = 0.9
)

// endThresholdPeriod lowers the threshold when it has to be, once per period.
// The period follows the service time: what a threshold changes shows only when
// calls end.
func (c *Controller) endThresholdPeriod(now time.Time) {
	period := min(c.estimate.median/2, maxThresholdPeriod)
	if now.Sub(c.periodStarted) < max(period, c.cfg.SojournInterval) {
		return
	}
	c.periodStarted = now
	c.shedder.endPeriod(c.overloaded)
}

// integrate sums up the slots in use over time; it comes before every change of
// inFlight.
func (c *Controller) integrate(now time.Time) {
	if now.After(c.integrated) {
		span := float64(now.Sub(c.integrated))
		c.busy += float64(c.inFlight) * span
		c.busyAbove += float64(c.aboveInFlight) * span
		c.integrated = now
	}
}

// standingDelay is the delay that the queue kept through the whole interval: by
// Little's law its least length over the rate of starts. For a queue in order
// of arrival this is the least sojourn that CoDel looks at; but the least
// sojourn says nothing where important or new calls go first, as they start at
// once while the others starve.
func (c *Controller) standingDelay(elapsed time.Duration) time.Duration {
	if c.leastQueued == 0 {
		return 0
	}
	return time.Duration(float64(c.leastQueued) / max(c.startRate, 0.5) * float64(elapsed))
}

// dispatch starts waiting calls while slots are free, and refuses those that
// have become hopeless.
func (c *Controller) dispatch(now time.Time, out []Decision) []Decision {
	for c.inFlight < c.limiter.limit {
		w := c.queue.next()
		if w == nil {
			break
		}
		if c.hopeless(now, w) {
			w.byDeadline = true
			out = append(out, c.expire(w))
			continue
		}
		c.queue.remove(w)
		out = append(out, c.run(w))
	}
	return out
}

// hopeless reports whether a waiting call could not end by its deadline even if
// it started now.
func (c *Controller) hopeless(now time.Time, w *call) bool {
	r := &w.request
	if r.Deadline.IsZero() {
		return false
	}
	remaining := r.Deadline.Sub(now)
	if w.probe {
		return remaining <= 0
	}
	return remaining <= 0 || remaining < c.serviceTime(r.Level)
}

// doomed reports whether a new call would most likely end after its deadline.
func (c *Controller) doomed(now time.Time, r *Request, slotFree bool) bool {
	if r.Deadline.IsZero() {
		return false
	}
	need := c.serviceTime(r.Level)
	if !slotFree {
		need += c.expectedWait(r.Level, r.Depth)
	}
	remaining := r.Deadline.Sub(now)
	return remaining <= 0 || remaining < need
}

// mayProbe lets a doomed call through now and then: an estimate that refuses
// everything would otherwise never be measured again.
func (c *Controller) mayProbe(now time.Time, r *Request) bool {
	return now.Before(r.Deadline) && !now.Before(c.nextProbe)
}

func (c *Controller) noteProbe(now time.Time, probe bool) {
	if probe {
		c.nextProbe = now.Add(probePause)
	}
}

// serviceTime is the trusted low quantile of a level; 0 while unknown.
func (c *Controller) serviceTime(level callctx.Level) time.Duration {
	return time.Duration(c.trust[level] * float64(c.estimate.low[level]))
}

// expectedWait is the time until a new waiting call would start.
func (c *Controller) expectedWait(level callctx.Level, depth int) time.Duration {
	ahead := c.queue.ahead(level, depth)
	return c.estimate.median * time.Duration(ahead+1) / time.Duration(c.limiter.limit)
}

// admit makes the record of a call that is to run or wait.
func (c *Controller) admit(r Request, probe bool) *call {
	var w *call
	if n := len(c.free); n > 0 {
		w = c.free[n-1]
		c.free = c.free[:n-1]
	} else {
		w = new(call)
	}
	c.seq++
	*w = call{request: r, probe: probe, seq: c.seq}
	c.calls[r.ID] = w
	return w
}

// forget gives the record of a call back. There are never more records than
// calls known at the same time.
func (c *Controller) forget(w *call) {
	delete(c.calls, w.request.ID)
	*w = call{}
	c.free = append(c.free, w)
}

// run gives a slot to a call that is not in the queue.
func (c *Controller) run(w *call) Decision {
	w.running = true
	w.beside = c.inFlight
	c.inFlight++
	if w.above {
		c.aboveInFlight++
	}
	c.starts++
	c.shedder.start()
	c.limiter.start(w.beside)
	return Decision{ID: w.request.ID, Verdict: Run}
}

// refuse answers a call that has no record.
func (c *Controller) refuse(r *Request, why reason) Decision {
	c.counters.Refused[r.Level]++
	return Decision{ID: r.ID, Verdict: Refuse, Refusal: c.refusal(why, r)}
}

// drop refuses a waiting call.
func (c *Controller) drop(w *call, why reason) Decision {
	c.queue.remove(w)
	d := c.refuse(&w.request, why)
	c.forget(w)
	return d
}

// expire refuses a waiting call whose wait has ended.
func (c *Controller) expire(w *call) Decision {
	if w.byDeadline {
		return c.drop(w, reasonDeadline)
	}
	c.shedder.reject()
	return c.drop(w, reasonExpired)
}
