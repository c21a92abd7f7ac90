package routing

import "sync/atomic"

const (
	// maxEjectDoublings bounds the growth of ejections: 16 x EjectFor.
	maxEjectDoublings = 4
	// minRatioSamples is how many outcomes a share of failures needs before
	// it is compared with peers; two time constants of shareGain.
	minRatioSamples = 32
)

// ejection takes an endpoint out that fails while its peers do not. After the
// time is up a single call probes it; only an answer brings it back.
type ejection struct {
	// until is when it may be probed; 0 while the endpoint is in use.
	until atomic.Int64
	// probeUntil is the lease of the one probe in flight. It runs out, so
	// that a probe whose end is never reported does not block the next.
	probeUntil atomic.Int64
	// times counts ejections in a row.
	times atomic.Int64
}

func (e *ejection) out() bool { return e.until.Load() != 0 }

func (e *ejection) clear() {
	e.until.Store(0)
	e.probeUntil.Store(0)
	e.times.Store(0)
}

func (e *ejection) start(at int64, cfg *Config) {
	doublings := min(e.times.Add(1)-1, maxEjectDoublings)
	e.until.Store(at + int64(cfg.EjectFor)<<doublings)
	e.probeUntil.Store(0)
}

// probeDue reports whether a probe may be sent.
func (e *ejection) probeDue(at int64) bool {
	until := e.until.Load()
	return until != 0 && at >= until && at >= e.probeUntil.Load()
}

// takeProbe gives the probe to at most one of several callers.
func (e *ejection) takeProbe(at int64, cfg *Config) bool {
	lease := e.probeUntil.Load()
	if at < lease {
		return false
	}
	return e.probeUntil.CompareAndSwap(lease, at+int64(cfg.EjectFor))
}

// noteEjection ejects, readmits or re-ejects after an outcome.
func (g *Target) noteEjection(at int64, o Outcome, cfg *Config) {
	until := g.ejection.until.Load()
	if until == 0 {
		if o.bad() && g.failing(cfg) {
			g.svc.eject(g, at, cfg)
		}
		if o == Answered && g.ramp.warm.Load() && g.ejection.times.Load() != 0 {
			g.ejection.times.Store(0)
		}
		return
	}
	if at < until {
		return
	}
	switch {
	case o.bad():
		g.ejection.start(at, cfg)
	case o == Cancelled:
		g.ejection.probeUntil.Store(0)
	default:
		g.readmit(at)
	}
}

// readmit brings the target back through a slow start: full traffic at once
// would knock over an upstream that has only just recovered.
func (g *Target) readmit(at int64) {
	g.ejection.until.Store(0)
	g.ejection.probeUntil.Store(0)
	g.consecutive.Store(0)
	g.samples.Store(0)
	g.failed.store(0)
	g.refused.store(0)
	g.ramp.restart(at)
	g.svc.clearFull()
}

// failing reports whether the target's failures alone speak for ejection.
func (g *Target) failing(cfg *Config) bool {
	if g.consecutive.Load() >= int64(cfg.EjectFailures) {
		return true
	}
	if g.samples.Load() < minRatioSamples {
		return false
	}
	excess := g.failed.load() - cfg.EjectRatioExcess
	return excess > 0 && excess > g.svc.peerFailures(g)
}

// peerFailures is the mean share of failures of the others in use; 1, hence no
// ground for ejection, when there are none. Peers with few samples do not
// count: their average still starts from 0, and beside them one of several
// that fail alike would look like the outlier.
func (s *service) peerFailures(g *Target) float64 {
	sum, n := 0.0, 0
	for _, peer := range *s.targets.Load() {
		if peer == g || peer.ejection.out() || peer.samples.Load() < minRatioSamples {
			continue
		}
		sum += peer.failed.load()
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// eject takes g out unless too many are out already. Without the cap a fault
// that all share, such as a database of theirs, would empty the service, and
// the few left would be overrun. When another ejection is being decided g
// waits for its next failure.
func (s *service) eject(g *Target, at int64, cfg *Config) {
	if !s.ejecting.TryLock() {
		return
	}
	defer s.ejecting.Unlock()
	if g.ejection.out() {
		return
	}
	targets := *s.targets.Load()
	ejected, usable := 0, 0
	for _, peer := range targets {
		switch {
		case peer.ejection.out():
			ejected++
		case peer != g && !peer.isDraining(at, cfg) && !peer.isSuspect(at, cfg):
			usable++
		}
	}
	if usable == 0 || float64(ejected+1) > cfg.MaxEjectedShare*float64(len(targets)) {
		return
	}
	g.ejection.start(at, cfg)
}
