package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// MergeCrashRecords takes over what peers know of crashing requests and returns
// what was new, to be passed on.
func (g *Guard) MergeCrashRecords(now time.Time, suspects []quarantine.CrashRecord) []quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []quarantine.CrashRecord
	for _, s := range suspects {
		if g.quarantine.Merge(now, s) {
			g.suspicion.Store(true)
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// CrashRecords returns what this node knows of crashing requests.
func (g *Guard) CrashRecords(now time.Time) []quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Snapshot(now)
}

// marks returns the records against a request. In ordinary times nothing is
// suspected, and that costs one atomic read.
func (g *Guard) marks(now time.Time, call *Call) []quarantine.CrashRecord {
	if !g.suspicion.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.CrashRecords(now, call.Fingerprint())
}

// witness records at the entry node that an upstream died running a call.
func (g *Guard) witness(now time.Time, call *Call, a *Response) quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspicion.Store(true)
	return g.quarantine.CrashObserved(now, call.Fingerprint(), a.Upstream, a.Crashed)
}

// refreshSuspicionLocked returns to the cheap path once nothing is suspected.
func (g *Guard) refreshSuspicionLocked(now time.Time) {
	if g.suspicion.Load() && len(g.quarantine.Snapshot(now)) == 0 {
		g.suspicion.Store(false)
	}
}
