package quarantine

import (
	"slices"
	"time"
)

// current returns the entry of f, nil when there is none or it has expired.
func (t *Tracker) current(now time.Time, f Fingerprint) *entry {
	e := t.entries[f]
	if e == nil {
		return nil
	}
	if now.Sub(e.latest()) >= t.keepFor() {
		t.drop(f, e)
		return nil
	}
	return e
}

// verdict is what weigh says, as long as it is in force.
func (t *Tracker) verdict(now time.Time, f Fingerprint) verdict {
	e := t.current(now, f)
	if e == nil {
		return innocent
	}
	v := t.weigh(f, e)
	if now.Sub(e.latest()) >= t.term(v, e.crashes())+t.cfg.SuspectFor {
		return innocent
	}
	return v
}

// add makes an entry for the fingerprint of s. When there are too many, the
// least telling one makes room; nil when that would be the new one.
func (t *Tracker) add(now time.Time, s *CrashRecord) *entry {
	if len(t.entries) >= t.cfg.MaxEntries {
		t.sweep(now)
	}
	e := &entry{records: make([]CrashRecord, 0, 1)}
	if len(t.entries) >= t.cfg.MaxEntries {
		candidate := &entry{records: []CrashRecord{*s}}
		f, worst := t.leastTelling()
		if lessTelling(s.Fingerprint, candidate, f, worst) {
			return nil
		}
		t.drop(f, worst)
	}
	t.entries[s.Fingerprint] = e
	return e
}

func (t *Tracker) sweep(now time.Time) {
	for f := range t.entries {
		t.current(now, f)
	}
}

// leastTelling returns the entry with the fewest crashes, the oldest of these. A
// flood of suspects, from many upstreams that die at once, so does not push out
// what is known to be guilty.
func (t *Tracker) leastTelling() (Fingerprint, *entry) {
	var victim Fingerprint
	var worst *entry
	for f, e := range t.entries {
		if worst == nil || lessTelling(f, e, victim, worst) {
			victim, worst = f, e
		}
	}
	return victim, worst
}

func lessTelling(f Fingerprint, e *entry, g Fingerprint, than *entry) bool {
	if a, b := e.crashes(), than.crashes(); a != b {
		return a < b
	}
	if c := e.latest().Compare(than.latest()); c != 0 {
		return c < 0
	}
	return f < g
}

func (t *Tracker) drop(f Fingerprint, e *entry) {
	for i := range e.records {
		t.leave(f, e.records[i].event())
	}
	delete(t.entries, f)
}

// leave takes f out of the members of a crash.
func (t *Tracker) leave(f Fingerprint, ev event) {
	rest := slices.DeleteFunc(t.members[ev], func(g Fingerprint) bool { return g == f })
	if len(rest) == 0 {
		delete(t.members, ev)
		return
	}
	t.members[ev] = rest
}
