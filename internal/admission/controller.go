package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// probePause is the least time between two probes against the estimate of
	// the service time: five calls a second at most run in vain.
	probePause = 200 * time.Millisecond
	// minTrust is the least factor that successful probes leave of an estimate.
	minTrust = 1.0 / 16
	// waitTargets is the bound of a wait under overload in sojourn targets.
	waitTargets = 4
	// targetShare: a standing delay of a quarter of the service time is never
	// taken for overload, since with few slots one waiting call is as much.
	targetShare = 4
)

// Controller decides on the calls of one upstream. It is not safe for
// concurrent use.
type Controller struct {
	cfg      Config
	calls    map[string]*call
	free     []*call
	queue    *queue
	limiter  *limiter
	shedder  *shedder
	estimate *estimator
	refusals refusalCache
	counters Counters

	inFlight int
	// aboveInFlight are those that took a slot from above the threshold.
	aboveInFlight int
	seq           uint64
	draining      bool

	// intervalStarted begins the present adjustment interval; leastQueued is
	// the least length of the queue in it.
	intervalStarted time.Time
	leastQueued     int
	overloaded      bool
	// starts counts the calls started in the interval; startRate is its average
	// over some four intervals.
	starts    int
	startRate float64
	// busy is the sum of slots in use over time (slot-nanoseconds) in the
	// interval, up to the time integrated.
	busy float64
	// busyAbove is the part of busy that calls from above the threshold had.
	busyAbove  float64
	integrated time.Time
	// periodStarted begins the present period of the threshold.
	periodStarted time.Time

	// trust is the part of the estimate by which calls are refused.
	trust     [callctx.Levels]float64
	nextProbe time.Time
}

// New returns a controller with a full limit and an empty queue. An invalid
// configuration is replaced by the default one for its slots.
func New(cfg Config, now time.Time) *Controller {
	if cfg.Validate() != nil {
		cfg = DefaultConfig(cfg.Slots)
	}
	c := &Controller{
		cfg:             cfg,
		calls:           make(map[string]*call, cfg.Slots+cfg.QueueLimit),
		queue:           newQueue(),
		limiter:         newLimiter(cfg, now),
		shedder:         newShedder(),
		estimate:        newEstimator(now),
		intervalStarted: now,
		periodStarted:   now,
		integrated:      now,
	}
	for i := range c.trust {
		c.trust[i] = 1
	}
	return c
}

// Offer decides on a new call. The other decisions are those of waiting calls
// that this offer displaced, or that expired or started meanwhile.
func (c *Controller) Offer(now time.Time, r Request) (Decision, []Decision) {
	out := c.advance(now)
	r.Level = min(r.Level, callctx.LevelLow)
	if r.RootAdmitted.IsZero() {
		r.RootAdmitted = now
	}
	if _, known := c.calls[r.ID]; known {
		return refuseDuplicate(r.ID), out
	}
	c.counters.Offered[r.Level]++
	if c.draining {
		return c.refuse(&r, reasonDraining), out
	}
	return c.decide(now, r, out)
}

// decide is Offer without its preliminaries.
func (c *Controller) decide(now time.Time, r Request, out []Decision) (Decision, []Decision) {
	slotFree := c.inFlight < c.limiter.limit && c.queue.len() == 0
	doomed := c.doomed(now, &r, slotFree)
	if doomed && !c.mayProbe(now, &r) {
		return c.refuse(&r, reasonDeadline), out
	}
	rank := Rank(r.Level, r.CallerHash)
	c.shedder.offer(rank)
	// A deep call above the threshold still takes a slot that would stay empty: work was
	// spent on its root already. Further calls of a tree may wait as well, or what deep
	// services did for it is lost; its first call decides.
	above := rank >= c.shedder.threshold
	if above && !r.HasPriorWork && !(slotFree && r.Depth > 0) {
		return c.refuse(&r, reasonThreshold), out
	}
	if slotFree {
		c.noteProbe(now, doomed)
		w := c.admit(r, doomed)
		w.above = above
		return c.run(w), out
	}
	if c.cfg.Worth[r.Level] == 0 {
		return c.refuse(&r, reasonNeverWaits), out
	}
	return c.enqueue(now, r, doomed, out)
}

// enqueue lets the call wait, in place of the least important one when the
// queue is full, or turns it away.
func (c *Controller) enqueue(now time.Time, r Request, probe bool, out []Decision) (Decision, []Decision) {
	if c.cfg.QueueLimit == 0 {
		c.shedder.reject()
		return c.refuse(&r, reasonQueueFull), out
	}
	w := c.admit(r, probe)
	if c.queue.len() >= c.cfg.QueueLimit {
		c.shedder.reject()
		worst := c.queue.worst()
		if !c.queue.before(w, worst) {
			c.forget(w)
			return c.refuse(&r, reasonQueueFull), out
		}
		out = append(out, c.drop(worst, reasonDisplaced))
	}
	c.noteProbe(now, probe)
	c.setExpiry(now, w)
	c.queue.push(w)
	return Decision{ID: r.ID, Verdict: Wait}, out
}

// setExpiry bounds the wait. Under overload the bound is short: a call that is
// not served soon is refused while its caller can still go elsewhere.
func (c *Controller) setExpiry(now time.Time, w *call) {
	bound := c.cfg.MaxWait
	if c.overloaded {
		bound = min(bound, max(waitTargets*c.cfg.SojournTarget, c.estimate.median))
	}
	w.expiry = now.Add(bound)
	if w.request.Deadline.IsZero() {
		return
	}
	latest := w.request.Deadline
	if !w.probe {
		latest = latest.Add(-c.serviceTime(w.request.Level))
	}
	if latest.Before(w.expiry) {
		w.expiry = latest
		w.byDeadline = true
	}
}

// Finish frees the slot of a running call and returns the waiting calls that
// start or end with it. An unknown ID changes nothing; a waiting one is
// forgotten as by Abandon.
func (c *Controller) Finish(now time.Time, id string, o Outcome, latency time.Duration) []Decision {
	w, known := c.calls[id]
	if !known {
		return c.advance(now)
	}
	if !w.running {
		return c.Abandon(now, id)
	}
	c.integrate(now)
	c.inFlight--
	if w.above {
		c.aboveInFlight--
	}
	c.learn(now, w, o, latency)
	c.forget(w)
	return c.advance(now)
}

// learn feeds the outcome of a run to the estimates and the limit.
func (c *Controller) learn(now time.Time, w *call, o Outcome, latency time.Duration) {
	level := w.request.Level
	switch o {
	case Answered:
		c.counters.Answered[level]++
		c.counters.Worth += c.cfg.Worth[level]
		c.learnProbe(w, latency < c.estimate.low[level])
		c.estimate.answered(level, latency)
		c.limiter.answered(latency)
	case TimedOut:
		c.learnProbe(w, false)
		c.estimate.exceeded(level, latency)
	case UpstreamShed:
		c.limiter.upstreamShed(now, c.inFlight, w.beside)
	case Failed, Cancelled:
		// Neither tells how long the service takes.
	}
}

// learnProbe corrects the trust in an estimate. The failure guarded against: a
// service with quick and slow calls whose quick ones have short deadlines. Once
// a slow spell has refused them all, only slow calls are measured, and the
// estimate would refuse the quick ones for good although it is never stale.
func (c *Controller) learnProbe(w *call, quick bool) {
	if !w.probe {
		return
	}
	trust := &c.trust[w.request.Level]
	if quick {
		*trust = max(*trust/2, minTrust)
		return
	}
	*trust = min(*trust*2, 1)
}

// Abandon forgets a waiting call whose caller left. A running call is ended by
// Finish alone.
func (c *Controller) Abandon(now time.Time, id string) []Decision {
	if w, known := c.calls[id]; known && !w.running {
		c.queue.remove(w)
		c.forget(w)
	}
	return c.advance(now)
}

// Tick expires waits and lets adjustments take effect. It is to be called every
// 10 ms or so while a call waits.
func (c *Controller) Tick(now time.Time) []Decision { return c.advance(now) }

// Drain refuses every waiting call and from now on every new one; running calls
// go on. It cannot be undone.
func (c *Controller) Drain(now time.Time) []Decision {
	out := c.advance(now)
	c.draining = true
	for w := c.queue.next(); w != nil; w = c.queue.next() {
		out = append(out, c.drop(w, reasonDraining))
	}
	return out
}

// Reconfigure puts cfg in force; an invalid one changes nothing. Running calls
// go on above a lower limit, waiting ones beyond a shorter queue are refused,
// the least important first.
func (c *Controller) Reconfigure(now time.Time, cfg Config) []Decision {
	out := c.advance(now)
	if cfg.Validate() != nil {
		return out
	}
	c.cfg = cfg
	c.limiter.reconfigure(cfg)
	c.refusals = refusalCache{}
	for c.queue.len() > cfg.QueueLimit {
		out = append(out, c.drop(c.queue.worst(), reasonQueueFull))
	}
	return c.dispatch(now, out)
}

// MedianLatency returns how long a call usually takes: the median of late; 0 while unknown.
func (c *Controller) MedianLatency() time.Duration { return c.estimate.median }

// Load returns the present reading.
func (c *Controller) Load() Load {
	return Load{
		InFlight:   c.inFlight,
		Queued:     c.queue.len(),
		Limit:      c.limiter.limit,
		Threshold:  c.shedder.threshold,
		Overloaded: c.overloaded,
		Draining:   c.draining,
	}
}
