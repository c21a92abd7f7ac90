// Package quarantine limits the number of upstreams that one request can crash to two. It is a
// pure state machine: the time is passed in as an argument, and the crash records to send to
// peers are returned as values.
//
// When an upstream crashes, all requests that it was running become suspected. A suspected
// request is delayed until the records of concurrent crashes have arrived. Then it runs as the
// only suspect of its guard, at the guard that AssignedGuard returns. A success clears the
// request; another crash quarantines it. A retry by an entry node carries the CrashRecords of the
// request, so that the next guard has them before it admits the request.
package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenagrade/galenagrade/internal/result"
)

// busyRetryAfter is the retry delay while another suspect is running here; that run has probably
// ended by then.
const busyRetryAfter = 100 * time.Millisecond

// Tracker holds the crash records known to one node. It is not safe for concurrent use.
type Tracker struct {
	cfg     Config
	entries map[Fingerprint]*entry
	// fingerprintsByCrash holds the fingerprints known to have been running at a crash.
	fingerprintsByCrash map[crashID][]Fingerprint
	// running holds the requests that run here. The slots of the upstream limit its size.
	running   map[Fingerprint]activeRuns
	successes recentSuccesses
}

// activeRuns describes the runs of one fingerprint. startedSuspected is set if one of them
// started while the fingerprint was suspected.
type activeRuns struct {
	count            int
	startedSuspected bool
}

// New returns an empty tracker. If cfg is invalid, it uses the default configuration.
func New(cfg Config) *Tracker {
	if cfg.Validate() != nil {
		cfg = DefaultConfig()
	}
	return &Tracker{
		cfg:                 cfg,
		entries:             make(map[Fingerprint]*entry),
		fingerprintsByCrash: make(map[crashID][]Fingerprint),
		running:             make(map[Fingerprint]activeRuns),
	}
}

// Reconfigure applies cfg. An invalid configuration is ignored.
func (t *Tracker) Reconfigure(cfg Config) {
	if cfg.Validate() == nil {
		t.cfg = cfg
	}
}

// Crashed records that the local upstream crashed while running the given requests, and returns
// the crash records to gossip. All runs count as ended; a later Finished of one of them changes
// no record.
func (t *Tracker) Crashed(now time.Time, upstream string, incarnation uint64, running []Fingerprint) []CrashRecord {
	fingerprints := t.successes.without(running)
	slices.Sort(fingerprints)
	fingerprints = slices.Compact(fingerprints)
	onlySuspect := t.onlyStartedSuspect(now, fingerprints)
	clear(t.running)

	out := make([]CrashRecord, 0, len(fingerprints))
	for _, f := range fingerprints {
		r := CrashRecord{Fingerprint: f, Upstream: upstream, Incarnation: incarnation, At: now}
		r.Alone = len(fingerprints) == 1 || (onlySuspect != nil && *onlySuspect == f)
		t.Merge(now, r)
		out = append(out, r)
	}
	return out
}

// onlyStartedSuspect returns the fingerprint that was already suspected when it started, or nil
// if another suspect was running as well. A request that became suspected only while it was
// running does not qualify: an unsuspected request that crashes upstreams may be running beside
// it, and the record would blame the wrong one.
func (t *Tracker) onlyStartedSuspect(now time.Time, fingerprints []Fingerprint) *Fingerprint {
	var found *Fingerprint
	suspects := 0
	for i, f := range fingerprints {
		if t.currentAssessment(now, f) != unsuspected {
			suspects++
		}
		if t.running[f].startedSuspected {
			found = &fingerprints[i]
		}
	}
	if suspects != 1 {
		return nil
	}
	return found
}

// CrashObserved records at an entry node that a call of f was lost when the given incarnation of
// the upstream disappeared. It returns the crash record to gossip. The guard's own record of the
// same crash is merged with it.
func (t *Tracker) CrashObserved(now time.Time, f Fingerprint, upstream string, incarnation uint64) CrashRecord {
	r := CrashRecord{Fingerprint: f, Upstream: upstream, Incarnation: incarnation, At: now}
	t.Merge(now, r)
	return r
}

// CrashRecords returns the uncleared records of f, at most 8. A retry must carry them, and the
// next guard merges them before Admit. Otherwise that guard would treat the request as
// unsuspected until the gossiped record arrives, and a third upstream could crash.
func (t *Tracker) CrashRecords(now time.Time, f Fingerprint) []CrashRecord {
	e := t.unexpiredEntry(now, f)
	if e == nil {
		return nil
	}
	var records []CrashRecord
	for _, r := range e.records {
		if !r.Cleared {
			records = append(records, r)
		}
	}
	return records
}

// Merge adds a record received from a peer. It reports whether the record contained new
// information; such a record must be gossiped further.
func (t *Tracker) Merge(now time.Time, r CrashRecord) bool {
	if r.At.After(now) {
		r.At = now
	}
	e := t.unexpiredEntry(now, r.Fingerprint)
	if e != nil {
		if known := e.find(r.crashID()); known != nil {
			return mergeRecord(known, &r)
		}
	}
	if now.Sub(r.At) >= t.retention() {
		return false
	}
	if e == nil {
		e = t.add(now, &r)
	}
	if e == nil {
		return false
	}
	if len(e.records) >= maxRecords {
		evicted := e.evictionIndex()
		if r.At.Before(e.records[evicted].At) {
			return false
		}
		t.removeFromCrash(r.Fingerprint, e.records[evicted].crashID())
		e.records = slices.Delete(e.records, evicted, evicted+1)
	}
	e.records = append(e.records, r)
	t.fingerprintsByCrash[r.crashID()] = append(t.fingerprintsByCrash[r.crashID()], r.Fingerprint)
	return true
}

// mergeRecord merges r into known, a record of the same crash: flags are kept, the earlier time
// wins. It reports whether known has changed.
func mergeRecord(known, r *CrashRecord) bool {
	before := *known
	known.Cleared = known.Cleared || r.Cleared
	known.Alone = known.Alone || r.Alone
	if r.At.Before(known.At) {
		known.At = r.At
	}
	return *known != before
}

// Admit returns nil if f may run here now; the caller must then call Started before any other
// method. Otherwise it returns a refusal with code result.Quarantined, and RetryAfter is the
// time until f may run.
func (t *Tracker) Admit(now time.Time, f Fingerprint) *result.Refusal {
	a := t.currentAssessment(now, f)
	if a == unsuspected {
		return nil
	}
	e := t.entries[f]
	age := now.Sub(e.latest())
	if remaining := t.quarantineDuration(a, e.crashes()) - age; remaining > 0 {
		return result.Refuse(result.Quarantined, "request was running at %d upstream crashes, limit is %d",
			e.crashes(), t.cfg.MaxCrashes).WithRetryAfter(remaining)
	}
	if remaining := t.cfg.SettleFor - age; remaining > 0 {
		return result.Refuse(result.Quarantined, "request was running at %d upstream crashes, delayed until %v after the latest one",
			e.crashes(), t.cfg.SettleFor).WithRetryAfter(remaining)
	}
	for g := range t.running {
		if g == f || t.currentAssessment(now, g) != unsuspected {
			return result.Refuse(result.Quarantined, "request was running at %d upstream crashes, and another suspected request is running here",
				e.crashes()).WithRetryAfter(busyRetryAfter)
		}
	}
	return nil
}

// Started records that a run of f has started here.
func (t *Tracker) Started(now time.Time, f Fingerprint) {
	r := t.running[f]
	r.count++
	r.startedSuspected = r.startedSuspected || t.currentAssessment(now, f) != unsuspected
	t.running[f] = r
}

// Finished records that a run of f has ended; ok means that it returned a complete response. A
// success clears a suspected request, and Finished returns the cleared records to gossip. It
// does not clear a confirmed crasher in quarantine: that run started before the quarantine.
func (t *Tracker) Finished(now time.Time, f Fingerprint, ok bool) []CrashRecord {
	r := t.running[f]
	if ok {
		t.successes.add(f, t.cfg.MaxRecentSuccesses)
	}
	if r.count == 0 {
		return nil
	}
	r.count--
	t.running[f] = r
	if r.count == 0 {
		delete(t.running, f)
	}
	e := t.unexpiredEntry(now, f)
	if !ok || e == nil {
		return nil
	}
	a := t.assess(f, e)
	if a == confirmedCrasher && now.Sub(e.latest()) < t.quarantineDuration(a, e.crashes()) {
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

// Snapshot returns all records, including cleared ones, for a peer that starts. They are ordered
// by fingerprint, time, upstream and incarnation.
func (t *Tracker) Snapshot(now time.Time) []CrashRecord {
	t.removeExpired(now)
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

// RecentlySucceeded reports whether f recently succeeded here; a crash then raises no suspicion
// against it.
func (t *Tracker) RecentlySucceeded(f Fingerprint) bool { return t.successes.has(f) }

// Suspected reports whether f is suspected. A suspected request may run only at the guard that
// AssignedGuard returns.
func (t *Tracker) Suspected(now time.Time, f Fingerprint) bool {
	return t.currentAssessment(now, f) != unsuspected
}

// AssignedGuard returns the candidate at which the suspected request f may run, or "" if there
// are no candidates. It uses rendezvous hashing, so all nodes with the same candidates select the
// same one. Otherwise two guards could each run f as their only suspect at the same time. Both
// upstreams would crash, three in total with the first crash.
func AssignedGuard(f Fingerprint, candidates []string) string {
	assigned := ""
	var maxScore uint64
	for _, c := range candidates {
		score := mix(xxhash.Sum64String(c) ^ uint64(f))
		if assigned == "" || score > maxScore || (score == maxScore && c < assigned) {
			assigned, maxScore = c, score
		}
	}
	return assigned
}

// mix is the finalizer of SplitMix64. Each bit of the input affects all bits of the output.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}
