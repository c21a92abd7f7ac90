package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// MergeCrashRecords adds the crash records of peers. It returns the new ones, to be forwarded.
func (g *Guard) MergeCrashRecords(now time.Time, records []quarantine.CrashRecord) []quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	var fresh []quarantine.CrashRecord
	for _, s := range records {
		if g.quarantine.Merge(now, s) {
			g.hasCrashRecords.Store(true)
			fresh = append(fresh, s)
		}
	}
	return fresh
}

// CrashRecords returns the crash records that this node has.
func (g *Guard) CrashRecords(now time.Time) []quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.Snapshot(now)
}

// crashRecords returns the crash records of a request. While there are none at all, this costs
// one atomic read.
func (g *Guard) crashRecords(now time.Time, call *Call) []quarantine.CrashRecord {
	if !g.hasCrashRecords.Load() {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.quarantine.CrashRecords(now, call.Fingerprint())
}

// recordCrash records at the entry node that an upstream crashed while it ran the call.
func (g *Guard) recordCrash(now time.Time, call *Call, a *Response) quarantine.CrashRecord {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.hasCrashRecords.Store(true)
	return g.quarantine.CrashObserved(now, call.Fingerprint(), a.Upstream, a.Crashed)
}

// refreshHasCrashRecordsLocked clears hasCrashRecords once no record is left, so that calls
// skip the lookup.
func (g *Guard) refreshHasCrashRecordsLocked(now time.Time) {
	if g.hasCrashRecords.Load() && len(g.quarantine.Snapshot(now)) == 0 {
		g.hasCrashRecords.Store(false)
	}
}
