package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// minProbeInterval is the minimum time between two probes. A probe is a call that runs although
	// the service time estimate predicts that it misses its deadline, so at most 5 calls per second
	// run without meeting their deadline.
	minProbeInterval = 200 * time.Millisecond
	// minEstimateFactor is the lower bound of estimateFactor, which successful probes reduce.
	minEstimateFactor = 1.0 / 16
	// overloadWaitTargets is the maximum wait under overload, as a multiple of SojournTarget.
	overloadWaitTargets = 4
	// minDelayDivisor divides the service time. A standing delay below a quarter of the service
	// time never counts as overload: with few slots, a single waiting call causes that much delay.
	minDelayDivisor = 4
	// minDelayStarts times the time between two starts under a rate limit is the standing delay that
	// never counts as overload: a single waiting call causes as much.
	minDelayStarts = 2
	// overloadWaitStarts is the minimum wait under overload, as a multiple of the time between two
	// starts. With a shorter wait, starts would go to the calls that happen to arrive in time rather
	// than to the most important ones.
	overloadWaitStarts = 4
)

// Controller decides which calls of one upstream run, wait or are refused. It is not safe for
// concurrent use.
type Controller struct {
	cfg       Config
	calls     map[string]*call
	freeCalls []*call
	queue     *queue
	limiter   *limiter
	rate      rateLimit
	shedder   *shedder
	estimate  *estimator
	outlook   treeOutlook
	refusals  refusalCache
	counters  Counters

	inFlight int
	// aboveInFlight counts the running calls that took a slot although they were above the
	// threshold.
	aboveInFlight int
	seq           uint64
	draining      bool

	// intervalStarted is the start of the current adjustment interval, and leastQueued is the
	// minimum length of the queue in it.
	intervalStarted time.Time
	leastQueued     int
	overloaded      bool
	// treesFail is set while the upstream sheds at random and few trees complete; see treeOutlook.
	treesFail bool
	// starts counts the calls started in the current interval. startRate is its average over about
	// four intervals.
	starts    int
	startRate float64
	// startsAbove and startRateAbove are the parts of them above the threshold.
	startsAbove    int
	startRateAbove float64
	// busySlotTime is the integral of the slots in use over the current interval, in
	// slot-nanoseconds, up to integratedUntil.
	busySlotTime float64
	// busySlotTimeAbove is the part of busySlotTime used by calls above the threshold.
	busySlotTimeAbove float64
	integratedUntil   time.Time
	// periodStarted is the start of the current threshold period; see endThresholdPeriod.
	periodStarted time.Time

	// estimateFactor scales the service time estimate by which calls are refused, between
	// minEstimateFactor and 1.
	estimateFactor [callctx.Levels]float64
	nextProbe      time.Time
}

// New returns a controller with the maximum limit and an empty queue. If cfg is invalid, it uses
// the default configuration for cfg.Slots.
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
		integratedUntil: now,
	}
	for i := range c.estimateFactor {
		c.estimateFactor[i] = 1
	}
	return c
}

// Offer decides on a new call. The returned slice holds the decisions on waiting calls that this
// call displaced, or that expired or started in the meantime.
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

// decide is the part of Offer that follows its checks. It expects advance to have been called.
func (c *Controller) decide(now time.Time, r Request, out []Decision) (Decision, []Decision) {
	slotFree := c.queue.len() == 0 && c.mayStart()
	late := c.wouldMissDeadline(now, &r, slotFree)
	if late && !c.probeAllowed(now, &r) {
		return c.refuse(&r, reasonDeadline), out
	}
	rank := Rank(r.Level, r.CallerHash)
	if !r.notShed() {
		c.shedder.offer(rank, r.Depth == 0)
	}
	if r.Depth > 0 {
		c.outlook.offered(r.HasPriorWork, c.limiter.shedding())
	}
	// A deep call (depth above 0) over the threshold may still take a slot that would otherwise
	// stay idle, because work was already spent on its root. A call with HasPriorWork may also
	// wait: if it were refused, the work of deep services for its tree would be lost. The threshold
	// therefore applies only to the first call of a tree, unless room for the tree was promised.
	above := rank >= c.shedder.threshold
	if above && !r.notShed() && !(slotFree && r.Depth > 0) {
		return c.refuse(&r, reasonThreshold), out
	}
	if slotFree {
		c.recordProbe(now, late)
		w := c.newCall(r, late)
		w.aboveThreshold = above
		return c.run(w), out
	}
	if c.cfg.Worth[r.Level] == 0 {
		return c.refuse(&r, reasonNeverWaits), out
	}
	return c.enqueue(now, r, late, out)
}

// enqueue adds the call to the queue, or refuses it. In a full queue it displaces the least
// important waiting call if that one is less important.
func (c *Controller) enqueue(now time.Time, r Request, probe bool, out []Decision) (Decision, []Decision) {
	if c.cfg.QueueLimit == 0 {
		c.shedder.reject()
		return c.refuse(&r, reasonQueueFull), out
	}
	w := c.newCall(r, probe)
	if c.queue.len() >= c.cfg.QueueLimit {
		c.shedder.reject()
		displaced := c.queue.evictionCandidate()
		if !c.queue.before(w, displaced) {
			c.release(w)
			return c.refuse(&r, reasonQueueFull), out
		}
		out = append(out, c.refuseWaiting(displaced, reasonDisplaced))
	}
	c.recordProbe(now, probe)
	c.setExpiry(now, w)
	c.queue.push(w)
	return Decision{ID: r.ID, Verdict: Wait}, out
}

// setExpiry sets the time at which the wait of a call ends. Under overload the wait of a root is
// short, so that a root that gets no slot soon is refused while its caller can still try another
// instance. A deep call may wait longer: calls with prior work start before the first calls of
// other trees, which therefore wait several times as long as the average call.
func (c *Controller) setExpiry(now time.Time, w *call) {
	bound := c.cfg.MaxWait
	if c.overloaded && w.request.Depth == 0 {
		bound = min(bound, max(overloadWaitTargets*c.cfg.SojournTarget, c.estimate.median, overloadWaitStarts*c.rate.interval()))
	}
	w.expiry = now.Add(bound)
	if w.request.Deadline.IsZero() {
		return
	}
	latestStart := w.request.Deadline
	if !w.probe {
		latestStart = latestStart.Add(-c.serviceTime(w.request.Level))
	}
	if latestStart.Before(w.expiry) {
		w.expiry = latestStart
		w.byDeadline = true
	}
}

// Finish frees the slot of a running call and returns the decisions on waiting calls that start
// or expire as a result. An unknown ID changes nothing; a waiting call is removed as by Abandon.
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
	if w.aboveThreshold {
		c.aboveInFlight--
	}
	c.recordOutcome(now, w, o, latency)
	c.release(w)
	return c.advance(now)
}

// recordOutcome passes the outcome of a call to the estimates and the limiter.
func (c *Controller) recordOutcome(now time.Time, w *call, o Outcome, latency time.Duration) {
	level := w.request.Level
	switch o {
	case Answered:
		c.counters.Answered[level]++
		c.counters.Worth += c.cfg.Worth[level]
		c.adjustEstimateFactor(w, latency < c.estimate.lowQuantiles[level])
		c.estimate.answered(level, latency)
		c.limiter.callAnswered(latency)
	case TimedOut:
		c.adjustEstimateFactor(w, false)
		c.estimate.timedOut(level, latency)
	case UpstreamShed:
		c.outlook.callShed(w.request.Depth > 0)
		c.limiter.callShed(now, c.inFlight, w.concurrentAtStart)
	case Failed, Cancelled:
		// These outcomes contain no information about the service time.
	}
}

// adjustEstimateFactor halves the estimate factor of a level after a successful probe and
// doubles it after a failed one. It handles a service with fast and slow calls whose fast calls
// have short deadlines. After a slow period has caused all fast calls to be refused, only slow
// calls are measured. The estimate then stays fresh, but it would refuse the fast calls
// permanently.
func (c *Controller) adjustEstimateFactor(w *call, fast bool) {
	if !w.probe {
		return
	}
	factor := &c.estimateFactor[w.request.Level]
	if fast {
		*factor = max(*factor/2, minEstimateFactor)
		return
	}
	*factor = min(*factor*2, 1)
}

// Abandon removes a waiting call whose caller has cancelled it. Running calls end only by
// Finish.
func (c *Controller) Abandon(now time.Time, id string) []Decision {
	if w, known := c.calls[id]; known && !w.running {
		c.queue.remove(w)
		c.release(w)
	}
	return c.advance(now)
}

// Tick expires waiting calls and applies adjustments. Call it about every 10 ms while calls
// wait.
func (c *Controller) Tick(now time.Time) []Decision { return c.advance(now) }

// Drain refuses all waiting calls and all further calls. Running calls continue. Drain cannot be
// undone.
func (c *Controller) Drain(now time.Time) []Decision {
	out := c.advance(now)
	c.draining = true
	for w := c.queue.next(); w != nil; w = c.queue.next() {
		out = append(out, c.refuseWaiting(w, reasonDraining))
	}
	return out
}

// Reconfigure applies cfg; an invalid configuration is ignored. Running calls continue even
// above a lower limit. Waiting calls beyond a lower QueueLimit are refused, the least important
// first.
func (c *Controller) Reconfigure(now time.Time, cfg Config) []Decision {
	out := c.advance(now)
	if cfg.Validate() != nil {
		return out
	}
	c.cfg = cfg
	c.limiter.reconfigure(cfg)
	c.refusals = refusalCache{}
	for c.queue.len() > cfg.QueueLimit {
		out = append(out, c.refuseWaiting(c.queue.evictionCandidate(), reasonQueueFull))
	}
	return c.dispatch(now, out)
}

// MedianLatency returns the median of recent service times, or 0 if it is unknown.
func (c *Controller) MedianLatency() time.Duration { return c.estimate.median }

// Load returns the current load.
func (c *Controller) Load() Load {
	return Load{
		InFlight:   c.inFlight,
		Queued:     c.queue.len(),
		Limit:      c.limiter.limit,
		Threshold:  c.shedder.threshold,
		Overloaded: c.overloaded,
		Draining:   c.draining,
		TreesFail:  c.treesFail,

		CallsPerSecond: c.rate.perSecond,
	}
}
