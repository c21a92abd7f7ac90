package routing

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/speed"
)

// Gains of a target's averages. Latency rises faster than it falls: a target that slows down loses
// its calls within a few responses and regains them slowly.
const (
	latencyUpGain   = 1.0 / 4
	latencyDownGain = 1.0 / 8
	shareGain       = 1.0 / 16
)

// unreachableWeight is the number of failures that a failure to connect counts for. An address that
// accepts no connection fails every call, not only some.
const unreachableWeight = 2

// Target holds this node's observations of one endpoint.
type Target struct {
	svc      *service
	endpoint atomic.Pointer[Endpoint]
	// slots, draining, suspect and fallback are copies of the endpoint's fields, so that Pick does
	// not dereference the pointer.
	slots    atomic.Int64
	draining atomic.Bool
	suspect  atomic.Bool
	fallback atomic.Bool
	// incarnation is the last one seen, in a report or from membership.
	incarnation atomic.Uint64

	inFlight atomic.Int64
	// sent counts the calls of this node since it knows the target.
	sent atomic.Int64
	// unansweredSince is the time of the target's last response or, if later, the time at which the
	// first call without a response was sent; 0 if no response is outstanding.
	unansweredSince atomic.Int64
	// respondedAt is the time of the target's last response of any kind; 0 if there was none.
	respondedAt atomic.Int64

	// latency is in nanoseconds; 0 if unknown. sampledAt is the time of the last change of latency,
	// refusedShare or failedShare.
	latency             average
	refusedShare        average
	failedShare         average
	sampledAt           atomic.Int64
	consecutiveFailures atomic.Int64
	samples             atomic.Int64

	report reportCell
	// rateLimit is the number of calls per second that the upstream accepts, by the last report; 0 if it
	// names no limit.
	rateLimit average
	// speed is the last known relative speed of the upstream, and speedAt when it was reported; 0 if
	// never. It outlives the guard's process, which has to measure again.
	speed     average
	speedAt   atomic.Int64
	slowStart slowStart
	ejection  ejection
}

// newTarget creates a target without observations.
func newTarget(svc *service, ep *Endpoint, now time.Time) *Target {
	g := &Target{svc: svc}
	g.incarnation.Store(ep.Incarnation)
	g.update(ep)
	age := time.Duration(0)
	if !ep.Joined.IsZero() {
		age = now.Sub(ep.Joined)
	}
	g.slowStart.start(svc.nanos(now), age, svc.cfg.Load())
	return g
}

// update stores the endpoint received from membership.
func (g *Target) update(ep *Endpoint) {
	if known := g.endpoint.Load(); known != nil && startsServing(known, ep) {
		g.report.clear()
	}
	g.endpoint.Store(ep)
	g.slots.Store(int64(ep.Slots))
	g.draining.Store(ep.Draining)
	g.suspect.Store(ep.Suspect)
	g.fallback.Store(ep.Fallback)
}

// startsServing reports whether a process of the upstream is in service that was not before. Reports of
// its guard until then, for example of a drain, are about the process before.
func startsServing(known, ep *Endpoint) bool {
	return !ep.Draining && (known.Draining || known.Upstream != ep.Upstream)
}

// Endpoint returns the endpoint last received from membership.
func (g *Target) Endpoint() Endpoint { return *g.endpoint.Load() }

// Start records a call that is being sent to the target. Each Start must be followed by exactly one
// Done.
func (g *Target) Start(now time.Time) {
	g.inFlight.Add(1)
	g.sent.Add(1)
	if g.unansweredSince.Load() == 0 {
		g.unansweredSince.CompareAndSwap(0, g.svc.nanos(now))
	}
}

// Done records the end of a call. latency is the time since Start. load is the report that came
// with the response, or nil.
func (g *Target) Done(now time.Time, o Outcome, latency time.Duration, load *LoadReport) {
	at := g.svc.nanos(now)
	cfg := g.svc.cfg.Load()
	ownInFlight := g.inFlight.Add(-1) + 1
	if load != nil {
		g.recordReport(at, load, ownInFlight)
	}
	g.updateUnansweredSince(at, o, latency, ownInFlight-1)
	g.recordLatency(o, float64(max(latency, 1)))
	g.recordOutcome(o)
	if o != Cancelled {
		g.sampledAt.Store(at)
	}
	g.updateEjection(at, o, cfg)
}

// updateUnansweredSince updates unansweredSince after a call has ended. Any response restarts the
// unanswered time. A cancelled call does not clear it, even if no other call is in flight:
// otherwise a target that never responds would look idle whenever its callers cancel early, and
// would receive the next call. The exception is a call that was cancelled before the target's usual
// latency had passed.
func (g *Target) updateUnansweredSince(at int64, o Outcome, latency time.Duration, ownInFlight int64) {
	switch {
	case o == Answered || o == Refused || o == HandedBack || o == Failed:
		g.respondedAt.Store(at)
		if ownInFlight == 0 {
			at = 0
		}
		g.unansweredSince.Store(at)
	case o == Cancelled && ownInFlight == 0 && float64(latency) < g.latency.load():
		g.unansweredSince.Store(0)
	}
}

// recordReport stores the report. A report from another incarnation means that the process behind
// the address was replaced before membership showed it. The observations of the old process are
// then discarded, because they could make a cold process look warm, or a healthy one look ejected
// or draining.
func (g *Target) recordReport(at int64, r *LoadReport, ownInFlight int64) {
	known := g.incarnation.Load()
	if r.Incarnation != 0 && r.Incarnation != known {
		if g.incarnation.CompareAndSwap(known, r.Incarnation) {
			g.reset(at)
		}
	}
	g.report.store(r, ownInFlight, at)
	g.rateLimit.store(r.rateLimit())
	if s := speed.Clamp(r.Speed); s != speed.Unknown {
		g.speed.store(s)
		g.speedAt.Store(at)
	}
	g.svc.addReport(r, ownInFlight)
}

func (g *Target) reset(at int64) {
	g.latency.store(0)
	g.refusedShare.store(0)
	g.failedShare.store(0)
	g.consecutiveFailures.Store(0)
	g.samples.Store(0)
	g.unansweredSince.Store(0)
	g.report.clear()
	g.ejection.clear()
	g.slowStart.restart(at)
}

// recordLatency updates the latency estimate. Only a complete response may lower it. If quick
// refusals or failures lowered it too, a broken upstream would look like the fastest one and
// receive all calls.
func (g *Target) recordLatency(o Outcome, sample float64) {
	known := g.latency.load()
	switch {
	case o == Answered:
		g.svc.meanLatency.addOrSet(sample, serviceLatencyGain)
		gain := latencyDownGain
		if sample > known {
			gain = latencyUpGain
		}
		g.latency.addOrSet(sample, gain)
	case sample <= known:
	case o == Slow:
		g.latency.store(sample)
	case o == Cancelled || o == Failed:
		g.latency.addOrSet(sample, latencyUpGain)
	}
}

func (g *Target) recordOutcome(o Outcome) {
	switch {
	case o == Cancelled || o == HandedBack:
		return
	case o == Answered:
		g.slowStart.answers.Add(1)
		g.consecutiveFailures.Store(0)
		g.refusedShare.add(0, shareGain)
		g.failedShare.add(0, shareGain)
	case o == Refused:
		g.refusedShare.add(1, shareGain)
	case o == Unreachable:
		g.consecutiveFailures.Add(unreachableWeight)
		g.failedShare.add(1, shareGain)
	default:
		g.consecutiveFailures.Add(1)
		g.failedShare.add(1, shareGain)
	}
	g.samples.Add(1)
}

// isDraining reports whether the target must get no new calls. A report of draining is used for
// DrainHold only: a guard whose drain was cancelled gets no calls, so it has no response in which
// it could report the cancellation.
func (g *Target) isDraining(at int64, cfg *Config) bool {
	if g.draining.Load() {
		return true
	}
	return g.report.draining() && g.report.fresh(at, cfg.DrainHold)
}

// isSuspect reports whether membership suspects the target. A response within LoadAge overrides
// this, because a direct observation is more reliable.
func (g *Target) isSuspect(at int64, cfg *Config) bool {
	if !g.suspect.Load() {
		return false
	}
	respondedAt := g.respondedAt.Load()
	return respondedAt == 0 || at-respondedAt > int64(cfg.LoadAge)
}

// TargetStats is a snapshot of a target for metrics and the administration API. Its fields are read
// one after another, not atomically.
type TargetStats struct {
	// InFlight is the number of this node's own calls at the target.
	InFlight int
	// Latency is the moving average of the time to a response.
	Latency time.Duration
	// RefusedShare and FailedShare are moving averages in [0, 1].
	RefusedShare float64
	FailedShare  float64
	// ConsecutiveFailures counts failures since the last response. A failure to connect counts
	// double.
	ConsecutiveFailures int
	// Answers counts responses since the endpoint joined, was readmitted or was replaced.
	Answers int
	// Ejected means that the target is ejected. It stays so until a probe gets a response.
	Ejected bool
	// Draining means that membership or the last report says that the target is draining.
	Draining bool
	// Incarnation is the last one seen in a report, or the endpoint's if there was no report.
	Incarnation uint64
	// Report is the last load report and ReportAt the time of its arrival. Both are zero if there
	// was none.
	Report   LoadReport
	ReportAt time.Time
}

// Ejected reports whether the target is ejected. It stays so until a probe gets a response.
func (g *Target) Ejected() bool { return g.ejection.active() }

// Stats returns a snapshot of the target.
func (g *Target) Stats() TargetStats {
	s := TargetStats{
		InFlight:            int(g.inFlight.Load()),
		Latency:             time.Duration(g.latency.load()),
		RefusedShare:        g.refusedShare.load(),
		FailedShare:         g.failedShare.load(),
		ConsecutiveFailures: int(g.consecutiveFailures.Load()),
		Answers:             int(g.slowStart.answers.Load()),
		Ejected:             g.ejection.active(),
		Draining:            g.draining.Load(),
		Incarnation:         g.incarnation.Load(),
	}
	if at := g.report.receivedAt.Load(); at != 0 {
		s.Report = g.report.unpack()
		s.Report.Incarnation = s.Incarnation
		s.ReportAt = g.svc.epoch.Add(time.Duration(at))
		s.Draining = s.Draining || s.Report.Draining
	}
	return s
}

// hasIdleSlot reports whether the last report and this node's own calls in flight leave a slot
// free.
func (g *Target) hasIdleSlot() bool {
	if g.report.queued() > 0 {
		return false
	}
	return g.report.otherWork()+float64(g.inFlight.Load()) < float64(g.report.limit())
}
