package quarantine

import (
	"time"
)

const (
	// maxRecords bounds the crashes kept for one fingerprint.
	maxRecords = 8
	// maxDoublings bounds the growth of the time in quarantine (eight times).
	maxDoublings = 3
	// weakShare is the part of QuarantineFor that weak evidence earns: an
	// innocent in bad luck is refused for a minute by default.
	weakShare = 10
)

// Fingerprint names a request by service, method, path and body hash.
type Fingerprint uint64

// CrashRecord is one record of suspicion: a fingerprint ran when that incarnation
// of an upstream died. Records with the same fingerprint, upstream and
// incarnation are one; merging is idempotent and independent of order.
type CrashRecord struct {
	Fingerprint Fingerprint
	Upstream    string
	Incarnation uint64
	// At is when the upstream died, on the local clock; between nodes its age
	// has to be sent, since their clocks differ.
	At time.Time
	// Cleared says that the fingerprint succeeded afterwards. It outlasts the
	// record itself, so that a late copy of it raises no new suspicion.
	Cleared bool
	// Alone says that it ran there as a suspect and no other suspect did, or
	// that nothing else ran at all.
	Alone bool
}

// event is the death of one incarnation of an upstream.
type event struct {
	upstream    string
	incarnation uint64
}

func (s *CrashRecord) event() event { return event{s.Upstream, s.Incarnation} }

// entry holds the records of one fingerprint.
type entry struct {
	records []CrashRecord
}

func (e *entry) find(ev event) *CrashRecord {
	for i := range e.records {
		if e.records[i].event() == ev {
			return &e.records[i]
		}
	}
	return nil
}

// crashes counts the records that still speak against the fingerprint.
func (e *entry) crashes() int {
	n := 0
	for i := range e.records {
		if !e.records[i].Cleared {
			n++
		}
	}
	return n
}

// latest is the time of the last crash, cleared ones included.
func (e *entry) latest() time.Time {
	var at time.Time
	for i := range e.records {
		if e.records[i].At.After(at) {
			at = e.records[i].At
		}
	}
	return at
}

// oldest returns the index of the record to give up: a cleared one if there is
// any, then the earliest.
func (e *entry) oldest() int {
	best := 0
	for i := range e.records {
		a, b := &e.records[i], &e.records[best]
		if a.Cleared != b.Cleared {
			if a.Cleared {
				best = i
			}
			continue
		}
		if a.At.Before(b.At) {
			best = i
		}
	}
	return best
}

// verdict is the weight of the evidence against a fingerprint.
type verdict int

const (
	innocent verdict = iota
	suspected
	// guiltyWeak: it ran at enough crashes, and so did another fingerprint.
	guiltyWeak
	// guiltySure: it ran at enough crashes, at one of them as the only suspect
	// or as the only one that ran at all of them.
	guiltySure
)

// weigh returns the verdict on f. A crash that another fingerprint explains does
// not count against it, with one exception: after a crash at which f was the
// only suspect, all of them count, so that a request that crashes upstreams by
// itself cannot hide behind another one.
func (t *Tracker) weigh(f Fingerprint, e *entry) verdict {
	crashes := e.crashes()
	if crashes == 0 {
		return innocent
	}
	if crashes < t.cfg.MaxCrashes {
		return suspected
	}
	unexplained := 0
	alone := false
	for i := range e.records {
		r := &e.records[i]
		if r.Cleared || t.explained(f, r.event()) {
			continue
		}
		unexplained++
		alone = alone || r.Alone
	}
	switch {
	case alone:
		return guiltySure
	case unexplained < t.cfg.MaxCrashes:
		return suspected
	case t.onlyCommon(f, e):
		return guiltySure
	}
	return guiltyWeak
}

// onlyCommon reports whether no other fingerprint under suspicion ran at as many
// of the crashes of f as it takes to be found guilty.
func (t *Tracker) onlyCommon(f Fingerprint, e *entry) bool {
	shared := make(map[Fingerprint]int)
	for i := range e.records {
		if e.records[i].Cleared {
			continue
		}
		ev := e.records[i].event()
		for _, g := range t.members[ev] {
			if g == f || t.entries[g].find(ev).Cleared {
				continue
			}
			shared[g]++
			if shared[g] >= t.cfg.MaxCrashes {
				return false
			}
		}
	}
	return true
}

// explained reports whether another fingerprint accounts for a crash at which f
// ran: one that has crashed upstreams often enough and did so as the only
// suspect where f did not run.
func (t *Tracker) explained(f Fingerprint, ev event) bool {
	for _, g := range t.members[ev] {
		if g == f {
			continue
		}
		other := t.entries[g]
		if other.crashes() >= t.cfg.MaxCrashes && t.aloneWithout(other, f) {
			return true
		}
	}
	return false
}

func (t *Tracker) aloneWithout(other *entry, f Fingerprint) bool {
	e := t.entries[f]
	for i := range other.records {
		r := &other.records[i]
		if r.Alone && !r.Cleared && e.find(r.event()) == nil {
			return true
		}
	}
	return false
}

// term is how long after its latest crash a verdict refuses the fingerprint.
func (t *Tracker) term(v verdict, crashes int) time.Duration {
	switch v {
	case guiltySure:
		doublings := min(max(crashes-t.cfg.MaxCrashes, 0), maxDoublings)
		return t.cfg.QuarantineFor << doublings
	case guiltyWeak:
		return t.cfg.QuarantineFor / weakShare
	}
	return 0
}

// keepFor is how long a record is kept after its crash. It outlasts suspicion:
// a later crash still counts as a further one, and a late copy of the record is
// known to be old.
func (t *Tracker) keepFor() time.Duration {
	return t.cfg.SuspectFor + t.cfg.QuarantineFor<<maxDoublings
}
