package quarantine

import (
	"time"
)

const (
	// maxRecords limits the crash records kept for one fingerprint.
	maxRecords = 8
	// maxDoublings limits how often the quarantine time doubles (8 times QuarantineFor).
	maxDoublings = 3
	// probableQuarantineDivisor divides QuarantineFor for a probable crasher. A request that was
	// running at several crashes by coincidence is refused for 1 minute by default.
	probableQuarantineDivisor = 10
)

// Fingerprint identifies a request by its service, method, path and body hash.
type Fingerprint uint64

// CrashRecord states that a request was running when an incarnation of an upstream crashed.
// Records with the same fingerprint, upstream and incarnation describe the same crash and are
// merged; merging is idempotent and independent of order.
type CrashRecord struct {
	Fingerprint Fingerprint
	Upstream    string
	Incarnation uint64
	// At is the time of the crash on the local clock. Nodes send the age of a record instead, since
	// their clocks differ.
	At time.Time
	// Cleared is set when the request succeeded after the crash. A cleared record is kept until its
	// retention ends, so that a late copy of it raises no new suspicion.
	Cleared bool
	// Alone is set in two cases: only the request itself and requests that recently succeeded were
	// running at the crash, or the request started as a suspect and no other suspect was running.
	Alone bool
}

// crashID identifies the crash of one incarnation of an upstream.
type crashID struct {
	upstream    string
	incarnation uint64
}

func (r *CrashRecord) crashID() crashID { return crashID{r.Upstream, r.Incarnation} }

// entry holds the crash records of one fingerprint.
type entry struct {
	records []CrashRecord
}

func (e *entry) find(id crashID) *CrashRecord {
	for i := range e.records {
		if e.records[i].crashID() == id {
			return &e.records[i]
		}
	}
	return nil
}

// crashes returns the number of records that are not cleared.
func (e *entry) crashes() int {
	n := 0
	for i := range e.records {
		if !e.records[i].Cleared {
			n++
		}
	}
	return n
}

// latest returns the time of the latest crash, cleared records included.
func (e *entry) latest() time.Time {
	var at time.Time
	for i := range e.records {
		if e.records[i].At.After(at) {
			at = e.records[i].At
		}
	}
	return at
}

// evictionIndex returns the index of the record to evict: the earliest cleared one, or the
// earliest one if none is cleared.
func (e *entry) evictionIndex() int {
	candidate := 0
	for i := range e.records {
		a, b := &e.records[i], &e.records[candidate]
		if a.Cleared != b.Cleared {
			if a.Cleared {
				candidate = i
			}
			continue
		}
		if a.At.Before(b.At) {
			candidate = i
		}
	}
	return candidate
}

// assessment grades the evidence that a request crashes upstreams.
type assessment int

const (
	unsuspected assessment = iota
	suspected
	// probableCrasher means that the request was running at MaxCrashes crashes or more, and so was
	// another request.
	probableCrasher
	// confirmedCrasher means that the request was running at MaxCrashes crashes or more, and was
	// either alone at one of them or the only request that was running at all of them.
	confirmedCrasher
)

// assess returns the assessment of f. A crash that another request explains (see explainedByOther)
// does not count against f. The exception is a request that was alone at an unexplained crash: then
// all of its crashes count. Without this exception, a request that crashes upstreams by itself
// could be excused by another one.
func (t *Tracker) assess(f Fingerprint, e *entry) assessment {
	crashes := e.crashes()
	if crashes == 0 {
		return unsuspected
	}
	if crashes < t.cfg.MaxCrashes {
		return suspected
	}
	unexplained := 0
	alone := false
	for i := range e.records {
		r := &e.records[i]
		if r.Cleared || t.explainedByOther(f, r.crashID()) {
			continue
		}
		unexplained++
		alone = alone || r.Alone
	}
	switch {
	case alone:
		return confirmedCrasher
	case unexplained < t.cfg.MaxCrashes:
		return suspected
	case t.onlyCommonSuspect(f, e):
		return confirmedCrasher
	}
	return probableCrasher
}

// onlyCommonSuspect reports whether no other fingerprint was running, uncleared, at MaxCrashes
// or more of the crashes of f.
func (t *Tracker) onlyCommonSuspect(f Fingerprint, e *entry) bool {
	sharedCrashes := make(map[Fingerprint]int)
	for i := range e.records {
		if e.records[i].Cleared {
			continue
		}
		id := e.records[i].crashID()
		for _, g := range t.fingerprintsByCrash[id] {
			if g == f || t.entries[g].find(id).Cleared {
				continue
			}
			sharedCrashes[g]++
			if sharedCrashes[g] >= t.cfg.MaxCrashes {
				return false
			}
		}
	}
	return true
}

// explainedByOther reports whether another fingerprint accounts for a crash at which f was
// running. That one has MaxCrashes crashes or more, and was alone at a crash at which f was not
// running.
func (t *Tracker) explainedByOther(f Fingerprint, id crashID) bool {
	for _, g := range t.fingerprintsByCrash[id] {
		if g == f {
			continue
		}
		other := t.entries[g]
		if other.crashes() >= t.cfg.MaxCrashes && t.crashedAloneWithout(other, f) {
			return true
		}
	}
	return false
}

func (t *Tracker) crashedAloneWithout(other *entry, f Fingerprint) bool {
	e := t.entries[f]
	for i := range other.records {
		r := &other.records[i]
		if r.Alone && !r.Cleared && e.find(r.crashID()) == nil {
			return true
		}
	}
	return false
}

// quarantineDuration returns how long a request with assessment a is refused after its latest
// crash; 0 if it is not quarantined.
func (t *Tracker) quarantineDuration(a assessment, crashes int) time.Duration {
	switch a {
	case confirmedCrasher:
		doublings := min(max(crashes-t.cfg.MaxCrashes, 0), maxDoublings)
		return t.cfg.QuarantineFor << doublings
	case probableCrasher:
		return t.cfg.QuarantineFor / probableQuarantineDivisor
	}
	return 0
}

// retention returns how long a record is kept after its crash. It exceeds the time of suspicion,
// so that a later crash still counts as a further one and a late copy of the record is
// recognized as old.
func (t *Tracker) retention() time.Duration {
	return t.cfg.SuspectFor + t.cfg.QuarantineFor<<maxDoublings
}
