package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Counters holds running totals by level.
type Counters struct {
	Offered, Answered, Refused [callctx.Levels]uint64
	// Worth is the sum of Config.Worth over all answered calls.
	Worth float64
}

// Counters returns the totals since New.
func (c *Controller) Counters() Counters { return c.counters }

// advance updates the state to now: it ends an adjustment interval, refuses calls whose wait has
// expired and starts waiting calls on free slots.
func (c *Controller) advance(now time.Time) []Decision {
	c.integrate(now)
	c.rate.refill(now)
	if now.Sub(c.intervalStarted) >= c.cfg.SojournInterval {
		c.adjust(now)
	}
	var out []Decision
	for w := c.queue.expired(now); w != nil; w = c.queue.expired(now) {
		out = append(out, c.expire(w))
	}
	out = c.dispatch(now, out)
	// The minimum is taken here, not at each removal: a call that replaces a displaced one leaves
	// the length of the queue unchanged.
	c.leastQueued = min(c.leastQueued, c.queue.len())
	return out
}

// adjust ends an adjustment interval: it updates the estimates, the limit and the threshold.
func (c *Controller) adjust(now time.Time) {
	elapsed := now.Sub(c.intervalStarted)
	c.intervalStarted = now
	c.estimate.refresh(now)
	c.startRate = c.startRate*decay + float64(c.starts)*(1-decay)
	c.startRateAbove = c.startRateAbove*decay + float64(c.startsAbove)*(1-decay)
	c.starts, c.startsAbove = 0, 0
	c.overloaded = c.standingDelay(elapsed) > max(c.cfg.SojournTarget, c.estimate.median/minDelayDivisor, minDelayStarts*c.rate.interval())
	c.queue.lifo = c.overloaded
	capacity := float64(elapsed) * float64(c.limiter.limit)
	use := min(1, c.busySlotTime/capacity)
	// Slots used by calls above the threshold are available to calls below it. If they counted as
	// used, the threshold would not rise, and calls of low importance would keep the slots of more
	// important calls that are shed.
	useBelow := min(1, (c.busySlotTime-c.busySlotTimeAbove)/capacity)
	c.busySlotTime = 0
	c.busySlotTimeAbove = 0
	c.limiter.adjust(now, use)
	rateUse := c.rate.use(c.startRate, elapsed)
	if rateUse > use {
		use = rateUse
		useBelow = max(useBelow, rateUse-c.rate.share(c.startRateAbove, elapsed))
	}
	c.treesFail = c.limiter.shedsAtRandom(now) && c.outlook.completion() < minTreeCompletion
	c.outlook.age(c.limiter.shedding())
	for range min(elapsed/c.cfg.SojournInterval, maxIdleIntervals) {
		c.shedder.raiseWhenIdle(useBelow, use)
	}
	c.endThresholdPeriod(now)
	c.leastQueued = c.queue.len()
	c.refusals = refusalCache{}
}

const (
	// maxThresholdPeriod is the maximum length of a threshold period, unless SojournInterval is
	// longer. The threshold is lowered at most once per period.
	maxThresholdPeriod = 300 * time.Millisecond
	// maxIdleIntervals limits the intervals that one adjust accounts for. Without calls, advance is
	// not called, so the intervals do not end one by one. 8 of them suffice to open the threshold
	// from its minimum.
	maxIdleIntervals = 8
	// saturatedUse is the share of slots in use from which the slots limit throughput.
	saturatedUse = 0.9
)

// endThresholdPeriod lowers the threshold if necessary, once per period. The period follows the
// service time, because a change of the threshold takes effect only as running calls end.
func (c *Controller) endThresholdPeriod(now time.Time) {
	period := min(c.estimate.median/2, maxThresholdPeriod)
	if now.Sub(c.periodStarted) < max(period, c.cfg.SojournInterval) {
		return
	}
	c.periodStarted = now
	c.shedder.endPeriod(c.overloaded)
}

// integrate adds the slots in use since the last call to the integral over time. It must be
// called before every change of inFlight.
func (c *Controller) integrate(now time.Time) {
	if now.After(c.integratedUntil) {
		span := float64(now.Sub(c.integratedUntil))
		c.busySlotTime += float64(c.inFlight) * span
		c.busySlotTimeAbove += float64(c.aboveInFlight) * span
		c.integratedUntil = now
	}
}

// minStartRate is the lowest rate of starts, per adjustment interval, by which a delay is estimated.
const minStartRate = 0.5

// standingDelay returns the delay that the queue had throughout the interval: by Little's law,
// its minimum length divided by the rate of starts. For a FIFO queue this equals the minimum
// sojourn time that CoDel uses. The minimum sojourn time itself is not usable here: important
// calls, and under overload new calls, start at once while others starve.
func (c *Controller) standingDelay(elapsed time.Duration) time.Duration {
	if c.leastQueued == 0 {
		return 0
	}
	return time.Duration(float64(c.leastQueued) / max(c.startRate, minStartRate) * float64(elapsed))
}

// mayStart reports whether a slot and, under a rate limit, a token is free.
func (c *Controller) mayStart() bool {
	if c.inFlight >= c.limiter.limit {
		return false
	}
	if !c.rate.allows() {
		c.rate.exhausted = true
		return false
	}
	return true
}

// dispatch starts waiting calls while slots are free, and refuses those that can no longer meet
// their deadline.
func (c *Controller) dispatch(now time.Time, out []Decision) []Decision {
	for c.queue.len() > 0 && c.mayStart() {
		w := c.queue.next()
		if w == nil {
			break
		}
		if c.missesDeadline(now, w) {
			w.byDeadline = true
			out = append(out, c.expire(w))
			continue
		}
		c.queue.remove(w)
		out = append(out, c.run(w))
	}
	return out
}

// missesDeadline reports whether a waiting call could not end by its deadline even if it started
// now.
func (c *Controller) missesDeadline(now time.Time, w *call) bool {
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

// wouldMissDeadline reports whether a new call would probably end after its deadline.
func (c *Controller) wouldMissDeadline(now time.Time, r *Request, slotFree bool) bool {
	if r.Deadline.IsZero() {
		return false
	}
	requiredTime := c.serviceTime(r.Level)
	if !slotFree {
		requiredTime += c.expectedWait(r)
	}
	remaining := r.Deadline.Sub(now)
	return remaining <= 0 || remaining < requiredTime
}

// probeAllowed reports whether a call may run although it would probably miss its deadline.
// Without such probes, an estimate that refuses all calls would get no new samples.
func (c *Controller) probeAllowed(now time.Time, r *Request) bool {
	return now.Before(r.Deadline) && !now.Before(c.nextProbe)
}

func (c *Controller) recordProbe(now time.Time, probe bool) {
	if probe {
		c.nextProbe = now.Add(minProbeInterval)
	}
}

// serviceTime returns the low quantile of the service times of a level, times its estimate
// factor; 0 if it is unknown.
func (c *Controller) serviceTime(level callctx.Level) time.Duration {
	return time.Duration(c.estimateFactor[level] * float64(c.estimate.lowQuantiles[level]))
}

// expectedWait returns the expected waiting time of a new call.
func (c *Controller) expectedWait(r *Request) time.Duration {
	ahead := c.queue.countAhead(r)
	forSlot := c.estimate.median * time.Duration(ahead+1) / time.Duration(c.limiter.limit)
	return max(forSlot, c.rate.wait(ahead+1))
}

// newCall adds the record of a call that is about to run or wait. It reuses a released record if
// there is one.
func (c *Controller) newCall(r Request, probe bool) *call {
	var w *call
	if n := len(c.freeCalls); n > 0 {
		w = c.freeCalls[n-1]
		c.freeCalls = c.freeCalls[:n-1]
	} else {
		w = new(call)
	}
	c.seq++
	*w = call{request: r, probe: probe, seq: c.seq}
	c.calls[r.ID] = w
	return w
}

// release removes the record of a call and keeps it for reuse. The number of records never
// exceeds the maximum number of concurrent calls.
func (c *Controller) release(w *call) {
	delete(c.calls, w.request.ID)
	*w = call{}
	c.freeCalls = append(c.freeCalls, w)
}

// run assigns a slot to a call that is not in the queue.
func (c *Controller) run(w *call) Decision {
	w.running = true
	w.concurrentAtStart = c.inFlight
	c.inFlight++
	c.rate.take()
	if w.aboveThreshold {
		c.aboveInFlight++
		c.startsAbove++
	}
	c.starts++
	c.outlook.started++
	if !w.request.notShed() {
		c.shedder.start()
	}
	c.limiter.callStarted(w.concurrentAtStart)
	return Decision{ID: w.request.ID, Verdict: Run}
}

// refuse refuses a call that has no record.
func (c *Controller) refuse(r *Request, why reason) Decision {
	c.counters.Refused[r.Level]++
	return Decision{ID: r.ID, Verdict: Refuse, Refusal: c.refusal(why, r)}
}

// refuseWaiting removes a waiting call from the queue and refuses it.
func (c *Controller) refuseWaiting(w *call, why reason) Decision {
	c.queue.remove(w)
	d := c.refuse(&w.request, why)
	c.release(w)
	return d
}

// expire refuses a waiting call whose wait has ended.
func (c *Controller) expire(w *call) Decision {
	if w.byDeadline {
		return c.refuseWaiting(w, reasonDeadline)
	}
	c.shedder.reject()
	return c.refuseWaiting(w, reasonExpired)
}
