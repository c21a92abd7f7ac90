// Package quarantine keeps a request that crashes upstreams from crashing more
// than two of them. It is a pure state machine: the time comes in as an
// argument, records to spread to peers come out as values.
//
// When an upstream dies, all that it ran becomes suspected. A suspect is held
// back until word of other crashes had time to arrive, and then runs as the
// only suspect of its guard, at the one guard that Home names. One success
// clears it; a crash more puts it into quarantine. A retry by an entry node
// carries Marks, so the next guard knows at once.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenagrade/galenagrade/internal/result"
)

// busyRetryAfter is when the suspect that runs here has probably ended.
const busyRetryAfter = 100 * time.Millisecond

// Tracker keeps the records of one node. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[Fingerprint]*entry
	// members lists the fingerprints that ran at a crash, as far as known.
	members map[event][]Fingerprint
	// running holds the runs here; the upstream's slots bound it.
	running map[Fingerprint]runs
	proven  proven
}

// runs are those of one fingerprint; asSuspect says that one of them started
// under suspicion.
type runs struct {
	count     int
	asSuspect bool
}

// New returns an empty tracker. An invalid configuration is replaced by the
// default one.
func New(cfg Config) *Tracker {
	if cfg.Validate() != nil {
		cfg = DefaultConfig()
	}
	return &Tracker{
		cfg:     cfg,
		entries: make(map[Fingerprint]*entry),
		members: make(map[event][]Fingerprint),
		running: make(map[Fingerprint]runs),
	}
}

// Reconfigure puts cfg in force; an invalid one changes nothing.
func (t *Tracker) Reconfigure(cfg Config) {
	if cfg.Validate() == nil {
		t.cfg = cfg
	}
}

// Crashed records that the local upstream died running these, and returns the
// records to spread. All runs count as ended; a later Finished changes nothing.
func (t *Tracker) Crashed(now time.Time, upstream string, incarnation uint64, running []Fingerprint) []CrashRecord {
	fingerprints := t.proven.unproven(running)
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	only := t.onlySuspect(now, fingerprints)
	clear(t.running)

	out := make([]CrashRecord, 0, len(fingerprints))
	for _, f := range fingerprints {
		s := CrashRecord{Fingerprint: f, Upstream: upstream, Incarnation: incarnation, At: now}
		s.Alone = len(fingerprints) == 1 || (only != nil && *only == f)
		t.Merge(now, s)
		out = append(out, s)
	}
	return out
}

// onlySuspect returns the one that started as a suspect, nil when another one is
// suspected too. What became suspected only while it ran is no such evidence:
// beside it may run a request that no one here suspects yet, and the marks of an
// innocent would turn against it.
func (t *Tracker) onlySuspect(now time.Time, fingerprints []Fingerprint) *Fingerprint {
	var found *Fingerprint
	suspects := 0
	for i, f := range fingerprints {
		if t.verdict(now, f) != innocent {
			suspects++
		}
		if t.running[f].asSuspect {
			found = &fingerprints[i]
		}
	}
	if suspects != 1 {
		return nil
	}
	return found
}

// CrashObserved records at an entry node that a call of f was lost when that
// incarnation of the upstream went away. It returns the record to spread; the
// guard's own record of the same crash merges with it.
func (t *Tracker) CrashObserved(now time.Time, f Fingerprint, upstream string, incarnation uint64) CrashRecord {
	s := CrashRecord{Fingerprint: f, Upstream: upstream, Incarnation: incarnation, At: now}
	t.Merge(now, s)
	return s
}

// CrashRecords returns the records against f, at most eight, that a retry has to
// carry. The next guard merges them before Admit. Without them it would take
// the request for a fresh one until word of the crash has come around, and
// a third upstream could die.
func (t *Tracker) CrashRecords(now time.Time, f Fingerprint) []CrashRecord {
	e := t.current(now, f)
	if e == nil {
		return nil
	}
	var marks []CrashRecord
	for _, r := range e.records {
		if !r.Cleared {
			marks = append(marks, r)
		}
	}
	return marks
}

// Merge takes in a record of a peer and reports whether it was new, which is
// then to be passed on.
func (t *Tracker) Merge(now time.Time, s CrashRecord) bool {
	if s.At.After(now) {
		s.At = now
	}
	e := t.current(now, s.Fingerprint)
	if e != nil {
		if known := e.find(s.event()); known != nil {
			return join(known, &s)
		}
	}
	if now.Sub(s.At) >= t.keepFor() {
		return false
	}
	if e == nil {
		e = t.add(now, &s)
	}
	if e == nil {
		return false
	}
	if len(e.records) >= maxRecords {
		oldest := e.oldest()
		if s.At.Before(e.records[oldest].At) {
			return false
		}
		t.leave(s.Fingerprint, e.records[oldest].event())
		e.records = slices.Delete(e.records, oldest, oldest+1)
	}
	e.records = append(e.records, s)
	t.members[s.event()] = append(t.members[s.event()], s.Fingerprint)
	return true
}

// join merges two records of the same crash: flags stay, the earlier time wins.
func join(known, s *CrashRecord) bool {
	before := *known
	known.Cleared = known.Cleared || s.Cleared
	known.Alone = known.Alone || s.Alone
	if s.At.Before(known.At) {
		known.At = s.At
	}
	return *known != before
}

// Admit returns nil when f may run here now; Started has to follow before any
// other call of the tracker. The refusal's code is result.Quarantined, its
// RetryAfter the time until f may run.
func (t *Tracker) Admit(now time.Time, f Fingerprint) *result.Refusal {
	v := t.verdict(now, f)
	if v == innocent {
		return nil
	}
	e := t.entries[f]
	since := now.Sub(e.latest())
	if left := t.term(v, e.crashes()) - since; left > 0 {
		return result.Refuse(result.Quarantined, "ran at %d crashes of upstreams, %d allowed",
			e.crashes(), t.cfg.MaxCrashes).After(left)
	}
	if left := t.cfg.SettleFor - since; left > 0 {
		return result.Refuse(result.Quarantined, "ran at %d crashes of upstreams, held back for %v after the last",
			e.crashes(), t.cfg.SettleFor).After(left)
	}
	for g := range t.running {
		if g == f || t.verdict(now, g) != innocent {
			return result.Refuse(result.Quarantined, "ran at %d crashes of upstreams and another suspect runs here",
				e.crashes()).After(busyRetryAfter)
		}
	}
	return nil
}

// Started tells that f runs here.
func (t *Tracker) Started(now time.Time, f Fingerprint) {
	r := t.running[f]
	r.count++
	r.asSuspect = r.asSuspect || t.verdict(now, f) != innocent
	t.running[f] = r
}

// Finished tells that a run of f ended; ok means a whole answer. A success
// clears a suspect, and the cleared records are returned to be spread. Only a
// fingerprint found guilty for sure is not cleared by a run that was still
// going elsewhere.
func (t *Tracker) Finished(now time.Time, f Fingerprint, ok bool) []CrashRecord {
	r := t.running[f]
	if ok {
		t.proven.add(f, t.cfg.Proven)
	}
	if r.count == 0 {
		return nil
	}
	r.count--
	t.running[f] = r
	if r.count == 0 {
		delete(t.running, f)
	}
	e := t.current(now, f)
	if !ok || e == nil {
		return nil
	}
	v := t.weigh(f, e)
	if v == guiltySure && now.Sub(e.latest()) < t.term(v, e.crashes()) {
		return nil
	}
	var out []CrashRecord
	for i := range e.records {
		if !e.records[i].Cleared {
			e.records[i].Cleared = true
			out = append(out, e.records[i])
		}
	}
	return out
}

// Snapshot returns all records, cleared ones included, for a peer that starts.
// They are ordered by fingerprint, time and upstream.
func (t *Tracker) Snapshot(now time.Time) []CrashRecord {
	t.sweep(now)
	var out []CrashRecord
	for _, e := range t.entries {
		out = append(out, e.records...)
	}
	slices.SortFunc(out, compareRecords)
	return out
}

func compareRecords(a, b CrashRecord) int {
	return cmp.Or(
		cmp.Compare(a.Fingerprint, b.Fingerprint),
		a.At.Compare(b.At),
		cmp.Compare(a.Upstream, b.Upstream),
		cmp.Compare(a.Incarnation, b.Incarnation),
	)
}

// Proven reports whether f succeeded here lately, so that its crash is not held
// against it.
func (t *Tracker) Proven(f Fingerprint) bool { return t.proven.has(f) }

// Suspected reports whether f is under suspicion, and so belongs to Home.
func (t *Tracker) Suspected(now time.Time, f Fingerprint) bool {
	return t.verdict(now, f) != innocent
}

// Home returns the one of the candidates at which the suspect f may run; empty
// without candidates. Every node that knows the same candidates names the same
// one. It guards against two guards that each run the suspect as their only
// one at the same time: both upstreams would die, and with the first crash it
// would be three.
func Home(f Fingerprint, candidates []string) string {
	best := ""
	var top uint64
	for _, c := range candidates {
		score := mix(xxhash.Sum64String(c) ^ uint64(f))
		if best == "" || score > top || (score == top && c < best) {
			best, top = c, score
		}
	}
	return best
}

// mix is the finalizer of SplitMix64: each bit of the input moves all others.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
