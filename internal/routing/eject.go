package routing

import "sync/atomic"

const (
	// maxEjectDoublings limits the duration of an ejection to 16 x EjectFor.
	maxEjectDoublings = 4
	// minRatioSamples is the number of outcomes after which a target's share of failures is
	// compared with that of its peers. It is two time constants (1/shareGain outcomes each) of the
	// average.
	minRatioSamples = 32
)

// ejection removes an endpoint from use if it fails while its peers do not. When the time of the
// ejection has passed, a single call probes the endpoint. Only a response ends the ejection.
type ejection struct {
	// until is the time from which the endpoint may be probed; 0 while the endpoint is in use.
	until atomic.Int64
	// probeLeaseEnd is the end of the lease of the probe in flight. The lease expires, so that a
	// probe whose end is never reported does not block the next one.
	probeLeaseEnd atomic.Int64
	// consecutiveEjections is the number of successive ejections. It is reset when the target
	// answers a call after slow start.
	consecutiveEjections atomic.Int64
}

func (e *ejection) active() bool { return e.until.Load() != 0 }

func (e *ejection) clear() {
	e.until.Store(0)
	e.probeLeaseEnd.Store(0)
	e.consecutiveEjections.Store(0)
}

func (e *ejection) start(at int64, cfg *Config) {
	doublings := min(e.consecutiveEjections.Add(1)-1, maxEjectDoublings)
	e.until.Store(at + int64(cfg.EjectFor)<<doublings)
	e.probeLeaseEnd.Store(0)
}

// probeDue reports whether a probe may be sent.
func (e *ejection) probeDue(at int64) bool {
	until := e.until.Load()
	return until != 0 && at >= until && at >= e.probeLeaseEnd.Load()
}

// claimProbe grants the probe to at most one of several concurrent callers.
func (e *ejection) claimProbe(at int64, cfg *Config) bool {
	lease := e.probeLeaseEnd.Load()
	if at < lease {
		return false
	}
	return e.probeLeaseEnd.CompareAndSwap(lease, at+int64(cfg.EjectFor))
}

// updateEjection ejects, readmits or ejects again after an outcome.
func (g *Target) updateEjection(at int64, o Outcome, cfg *Config) {
	until := g.ejection.until.Load()
	if until == 0 {
		if o.countsAsFailure() && g.failsTooOften(cfg) {
			g.svc.eject(g, at, cfg)
		}
		if o == Answered && g.slowStart.warm.Load() && g.ejection.consecutiveEjections.Load() != 0 {
			g.ejection.consecutiveEjections.Store(0)
		}
		return
	}
	if at < until {
		return
	}
	switch {
	case o.countsAsFailure():
		g.ejection.start(at, cfg)
	case o == Cancelled:
		g.ejection.probeLeaseEnd.Store(0)
	default:
		g.readmit(at)
	}
}

// readmit ends the ejection and restarts slow start, because full traffic at once would overload an
// upstream that has just recovered.
func (g *Target) readmit(at int64) {
	g.ejection.until.Store(0)
	g.ejection.probeLeaseEnd.Store(0)
	g.consecutiveFailures.Store(0)
	g.samples.Store(0)
	g.failedShare.store(0)
	g.refusedShare.store(0)
	g.slowStart.restart(at)
	g.svc.clearShedMemo()
}

// failsTooOften reports whether the target's failures justify an ejection. It does not check the
// cap on ejections; eject does.
func (g *Target) failsTooOften(cfg *Config) bool {
	if g.consecutiveFailures.Load() >= int64(cfg.EjectFailures) {
		return true
	}
	if g.samples.Load() < minRatioSamples {
		return false
	}
	excess := g.failedShare.load() - cfg.EjectRatioExcess
	return excess > 0 && excess > g.svc.meanPeerFailureShare(g)
}

// meanPeerFailureShare returns the mean share of failures of the other targets in use. It returns
// 1, which prevents an ejection, if there are none. Peers with fewer than minRatioSamples are left
// out: their average starts from 0, so when several targets fail equally, one of them would look
// like an outlier beside such a peer.
func (s *service) meanPeerFailureShare(g *Target) float64 {
	sum, n := 0.0, 0
	for _, peer := range *s.targets.Load() {
		if peer == g || peer.ejection.active() || peer.samples.Load() < minRatioSamples {
			continue
		}
		sum += peer.failedShare.load()
		n++
	}
	if n == 0 {
		return 1
	}
	return sum / float64(n)
}

// eject ejects g unless too many targets are already ejected. Without this cap a fault common to
// all targets, such as a failed shared database, would eject nearly all of them, and the few
// remaining ones would be overloaded. If another ejection is being decided, eject does nothing, and
// the next failure of g tries again.
func (s *service) eject(g *Target, at int64, cfg *Config) {
	if !s.ejectionMu.TryLock() {
		return
	}
	defer s.ejectionMu.Unlock()
	if g.ejection.active() {
		return
	}
	targets := *s.targets.Load()
	ejected, usable := 0, 0
	for _, peer := range targets {
		switch {
		case peer.ejection.active():
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
