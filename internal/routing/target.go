package routing

import (
	"sync/atomic"
	"time"
)

// Gains of a target's averages. Latency rises faster than it falls: a target
// that slows down is left within a few answers and is trusted again slowly.
const (
	latencyUpGain   = 1.0 / 4
	latencyDownGain = 1.0 / 8
	shareGain       = 1.0 / 16
)

// unreachableWeight is how many failures a failure to connect counts for: an
// address that takes no connection fails every call, not just some.
const unreachableWeight = 2

// Target is one endpoint with what this node observed of it.
type Target struct {
	svc      *service
	endpoint atomic.Pointer[Endpoint]
	// slots, draining and suspect repeat the endpoint's, so that Pick does
	// not follow the pointer.
	slots    atomic.Int64
	draining atomic.Bool
	suspect  atomic.Bool
	// fallback too.
	fallback atomic.Bool
	// incarnation is the last one seen, in a report or from membership.
	incarnation atomic.Uint64

	inFlight atomic.Int64
	// silentSince is when the target was last heard of or, if later, sent
	// the first call that it has not answered; 0 when it owes no answer.
	silentSince atomic.Int64
	// answeredAt is when it last gave any answer; 0 for never.
	answeredAt atomic.Int64

	// latency is in nanoseconds; 0 when not known. learnedAt is when
	// latency, refused or failed last changed.
	latency     average
	refused     average
	failed      average
	learnedAt   atomic.Int64
	consecutive atomic.Int64
	samples     atomic.Int64

	report   reportCell
	ramp     ramp
	ejection ejection
}

// newTarget makes a target without history.
func newTarget(svc *service, ep *Endpoint, now time.Time) *Target {
	g := &Target{svc: svc}
	g.incarnation.Store(ep.Incarnation)
	g.update(ep)
	age := time.Duration(0)
	if !ep.Joined.IsZero() {
		age = now.Sub(ep.Joined)
	}
	g.ramp.start(svc.nanos(now), age, svc.cfg.Load())
	return g
}

// update takes over what membership says.
func (g *Target) update(ep *Endpoint) {
	g.endpoint.Store(ep)
	g.slots.Store(int64(ep.Slots))
	g.draining.Store(ep.Draining)
	g.suspect.Store(ep.Suspect)
	g.fallback.Store(ep.Fallback)
}

// Endpoint returns what membership last said of the target.
func (g *Target) Endpoint() Endpoint { return *g.endpoint.Load() }

// Start counts a call that is being sent to the target. Every Start is
// followed by exactly one Done.
func (g *Target) Start(now time.Time) {
	g.inFlight.Add(1)
	if g.silentSince.Load() == 0 {
		g.silentSince.CompareAndSwap(0, g.svc.nanos(now))
	}
}

// Done counts the end of a call. latency is the time since Start. load is the
// report on the answer, nil when there was none.
func (g *Target) Done(now time.Time, o Outcome, latency time.Duration, load *LoadReport) {
	at := g.svc.nanos(now)
	cfg := g.svc.cfg.Load()
	own := g.inFlight.Add(-1) + 1
	if load != nil {
		g.noteReport(at, load, own)
	}
	g.noteSilence(at, o, latency, own-1)
	g.noteLatency(o, float64(max(latency, 1)))
	g.noteShares(o)
	if o != Cancelled {
		g.learnedAt.Store(at)
	}
	g.noteEjection(at, o, cfg)
}

// noteSilence ends the silence with any answer. Calls that were given up do not
// end it, even when none is left: a target that swallows calls whose callers
// leave early would else look idle, and be sent the next. One that was not
// given its usual time to answer owes nothing.
func (g *Target) noteSilence(at int64, o Outcome, latency time.Duration, left int64) {
	switch {
	case o == Answered || o == Refused || o == Failed:
		g.answeredAt.Store(at)
		if left == 0 {
			at = 0
		}
		g.silentSince.Store(at)
	case o == Cancelled && left == 0 && float64(latency) < g.latency.load():
		g.silentSince.Store(0)
	}
}

// noteReport keeps the report. A report from another incarnation means that
// the process behind the address was replaced before membership said so:
// what was learned of the old one would make a cold process look warm, or a
// sound one look ejected or draining, so it is dropped.
func (g *Target) noteReport(at int64, r *LoadReport, own int64) {
	seen := g.incarnation.Load()
	if r.Incarnation != 0 && r.Incarnation != seen {
		if g.incarnation.CompareAndSwap(seen, r.Incarnation) {
			g.reset(at)
		}
	}
	g.report.store(r, own, at)
	g.svc.learn(r, own)
}

func (g *Target) reset(at int64) {
	g.latency.store(0)
	g.refused.store(0)
	g.failed.store(0)
	g.consecutive.Store(0)
	g.samples.Store(0)
	g.silentSince.Store(0)
	g.report.clear()
	g.ejection.clear()
	g.ramp.restart(at)
}

// noteLatency learns from the time a call took. Only an answer may lower the
// estimate: a quick refusal or failure would otherwise make a broken upstream
// look like the fastest one and draw all calls to it.
func (g *Target) noteLatency(o Outcome, sample float64) {
	known := g.latency.load()
	switch {
	case o == Answered:
		g.svc.latency.addOrSet(sample, serviceLatencyGain)
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

func (g *Target) noteShares(o Outcome) {
	switch {
	case o == Cancelled:
		return
	case o == Answered:
		g.ramp.answers.Add(1)
		g.consecutive.Store(0)
		g.refused.add(0, shareGain)
		g.failed.add(0, shareGain)
	case o == Refused:
		g.refused.add(1, shareGain)
	case o == Unreachable:
		g.consecutive.Add(unreachableWeight)
		g.failed.add(1, shareGain)
	default:
		g.consecutive.Add(1)
		g.failed.add(1, shareGain)
	}
	g.samples.Add(1)
}

// isDraining reports whether new work must stay away. A report of draining is
// believed for DrainHold only: a guard whose drain was called off gets no
// calls, hence could never say so.
func (g *Target) isDraining(at int64, cfg *Config) bool {
	if g.draining.Load() {
		return true
	}
	return g.report.draining() && g.report.fresh(at, cfg.DrainHold)
}

// isSuspect reports membership's doubt, unless the target answered us within
// LoadAge: what is seen outweighs what is said.
func (g *Target) isSuspect(at int64, cfg *Config) bool {
	if !g.suspect.Load() {
		return false
	}
	answered := g.answeredAt.Load()
	return answered == 0 || at-answered > int64(cfg.LoadAge)
}

// TargetStats is a snapshot of a target for metrics and the administration
// API. Its fields are read one after another, not at one instant.
type TargetStats struct {
	// InFlight counts this node's own calls at the target.
	InFlight int
	// Latency is the moving estimate of the time to an answer.
	Latency time.Duration
	// RefusedShare and FailedShare are moving shares in [0, 1].
	RefusedShare float64
	FailedShare  float64
	// ConsecutiveFailures since the last answer; a failure to connect
	// counts double.
	ConsecutiveFailures int
	// Answers since the endpoint joined, re-entered or was replaced.
	Answers int
	// Ejected says that the target is out, or out until its probe returns.
	Ejected bool
	// Draining says that membership or the last report says so.
	Draining bool
	// Incarnation last seen in a report, or else the endpoint's.
	Incarnation uint64
	// Report is the last one received, and ReportAt when; zero for never.
	Report   LoadReport
	ReportAt time.Time
}

// Ejected reports whether the target is out, or out until its probe returns.
func (g *Target) Ejected() bool { return g.ejection.out() }

// Stats returns a snapshot.
func (g *Target) Stats() TargetStats {
	s := TargetStats{
		InFlight:            int(g.inFlight.Load()),
		Latency:             time.Duration(g.latency.load()),
		RefusedShare:        g.refused.load(),
		FailedShare:         g.failed.load(),
		ConsecutiveFailures: int(g.consecutive.Load()),
		Answers:             int(g.ramp.answers.Load()),
		Ejected:             g.ejection.out(),
		Draining:            g.draining.Load(),
		Incarnation:         g.incarnation.Load(),
	}
	if at := g.report.at.Load(); at != 0 {
		s.Report = g.report.unpack()
		s.Report.Incarnation = s.Incarnation
		s.ReportAt = g.svc.epoch.Add(time.Duration(at))
		s.Draining = s.Draining || s.Report.Draining
	}
	return s
}

// idle reports whether the last report and the calls that are out from here
// leave a slot free.
func (g *Target) idle() bool {
	if g.report.waiting() > 0 {
		return false
	}
	return g.report.others()+float64(g.inFlight.Load()) < float64(g.report.limit())
}
