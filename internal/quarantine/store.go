package quarantine

import (
	"slices"
	"time"
)

// unexpiredEntry returns the entry of f, or nil if there is none. It removes an expired entry.
func (t *Tracker) unexpiredEntry(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	if now.Sub(e.latest()) >= t.retention() {
		t.remove(f, e)
		return nil
	}
	return e
}

// currentAssessment returns the assessment of f. It is unsuspected once SuspectFor has passed
// after the end of the quarantine.
func (t *Tracker) currentAssessment(now time.Time, f Fingerprint) assessment {
	e := t.unexpiredEntry(now, f)
	if e == nil {
		return unsuspected
	}
	a := t.assess(f, e)
	if now.Sub(e.latest()) >= t.quarantineDuration(a, e.crashes())+t.cfg.SuspectFor {
		return unsuspected
	}
	return a
}

// add creates an entry for the fingerprint of r. If MaxEntries is reached, the entry with the
// weakest evidence is evicted; add returns nil if the new entry would be the weakest one.
func (t *Tracker) add(now time.Time, r *CrashRecord) *entry {
	if len(t.entries) >= t.cfg.MaxEntries {
		t.removeExpired(now)
	}
	e := &entry{records: make([]CrashRecord, 0, 1)}
	if len(t.entries) >= t.cfg.MaxEntries {
		candidate := &entry{records: []CrashRecord{*r}}
		f, weakest := t.weakestEntry()
		if hasWeakerEvidence(r.Fingerprint, candidate, f, weakest) {
			return nil
		}
		t.remove(f, weakest)
	}
	t.entries[r.Fingerprint] = e
	return e
}

func (t *Tracker) removeExpired(now time.Time) {
	for f := range t.entries {
		t.unexpiredEntry(now, f)
	}
}

// weakestEntry returns the entry with the fewest crashes, and the oldest one of these. The order
// keeps quarantined requests in the table when many upstreams crash at once and add many
// suspects.
func (t *Tracker) weakestEntry() (Fingerprint, *entry) {
	var weakestFingerprint Fingerprint
	var weakest *entry
	for f, e := range t.entries {
		if weakest == nil || hasWeakerEvidence(f, e, weakestFingerprint, weakest) {
			weakestFingerprint, weakest = f, e
		}
	}
	return weakestFingerprint, weakest
}

func hasWeakerEvidence(f Fingerprint, e *entry, g Fingerprint, other *entry) bool {
	if a, b := e.crashes(), other.crashes(); a != b {
		return a < b
	}
	if c := e.latest().Compare(other.latest()); c != 0 {
		return c < 0
	}
	return f < g
}

func (t *Tracker) remove(f Fingerprint, e *entry) {
	for i := range e.records {
		t.removeFromCrash(f, e.records[i].crashID())
	}
	delete(t.entries, f)
}

// removeFromCrash removes f from the fingerprints of a crash.
func (t *Tracker) removeFromCrash(f Fingerprint, id crashID) {
	rest := slices.DeleteFunc(t.fingerprintsByCrash[id], func(g Fingerprint) bool { return g == f })
	if len(rest) == 0 {
		delete(t.fingerprintsByCrash, id)
		return
	}
	t.fingerprintsByCrash[id] = rest
}
