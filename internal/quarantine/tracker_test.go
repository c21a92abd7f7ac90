package quarantine

import (
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/result"
)

// A fixed seed makes the property tests deterministic; -rapid.seed on the command line overrides
// it.
func init() { _ = flag.Set("rapid.seed", "1") }

const crasher Fingerprint = 0xdead

func mergeAll(now time.Time, records []CrashRecord, to ...*Tracker) {
	for _, t := range to {
		for _, r := range records {
			t.Merge(now, r)
		}
	}
}

// Guards against a request that crashes further upstreams after its second crash. The request runs
// as the only suspect at its second crash, and this crash must confirm it as a crasher at all
// nodes.
func TestSecondCrashAsOnlySuspectConfirms(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	must.Nil(t, a.Admit(now, crasher))
	mergeAll(now, a.Crashed(now, "up-a", 1, []Fingerprint{crasher, 1, 2}), b)

	refusal := b.Admit(now, crasher)
	must.Eq(t, result.Quarantined, refusal.Code)
	must.Eq(t, 2500*time.Millisecond, refusal.RetryAfter)
	now = now.Add(refusal.RetryAfter)
	must.Nil(t, b.Admit(now, crasher))
	b.Started(now, crasher)
	mergeAll(now, b.Crashed(now, "up-b", 1, []Fingerprint{crasher, 7}), a)

	for _, tr := range []*Tracker{a, b} {
		now := now.Add(9 * time.Minute)
		refusal := tr.Admit(now, crasher)
		must.Eq(t, result.Quarantined, refusal.Code)
		must.Eq(t, time.Minute, refusal.RetryAfter)
	}
}

// Guards against requests that stay suspected after a crash that another request caused.
// Suspects run one at a time, and a success clears each of them.
func TestSuspectsRunOneAtATimeAndAreCleared(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	var running []Fingerprint
	for f := range Fingerprint(20) {
		running = append(running, f)
	}
	mergeAll(now, a.Crashed(now, "up-a", 1, running), b)
	now = now.Add(3 * time.Second)
	for f := range Fingerprint(19) {
		must.Nil(t, b.Admit(now, f))
		b.Started(now, f)
		must.Eq(t, busyRetryAfter, b.Admit(now, 19).RetryAfter)
		cleared := b.Finished(now, f, true)
		must.Len(t, 1, cleared)
		mergeAll(now, cleared, a)
		must.False(t, a.Suspected(now, f))
		must.False(t, b.Suspected(now, f))
	}
}

// Guards against a bystander that is quarantined as long as the crasher. It was running at two
// crashes by coincidence.
func TestProbableCrasherHasShortQuarantine(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const bystander Fingerprint = 5
	tr := New(DefaultConfig())
	tr.Crashed(now, "up-a", 1, []Fingerprint{bystander, crasher, 6})
	tr.Crashed(now, "up-b", 1, []Fingerprint{bystander, 6, 9})
	refusal := tr.Admit(now, bystander)
	must.Eq(t, time.Minute, refusal.RetryAfter)

	tr.Started(now, crasher)
	tr.Crashed(now, "up-c", 1, []Fingerprint{crasher, 10})
	must.Eq(t, 10*time.Minute, tr.Admit(now, crasher).RetryAfter)
	must.Eq(t, 2500*time.Millisecond, tr.Admit(now, bystander).RetryAfter)
}

// Guards against a third crash by a request of which two concurrent copies have crashed two
// upstreams.
func TestTwoConcurrentCopiesConfirm(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	fromA := a.Crashed(now, "up-a", 1, []Fingerprint{crasher, 1, 2})
	fromB := b.Crashed(now, "up-b", 1, []Fingerprint{crasher, 3, 4})
	mergeAll(now, fromA, b)
	mergeAll(now, fromB, a)
	must.Eq(t, 10*time.Minute, a.Admit(now, crasher).RetryAfter)
	must.Eq(t, 10*time.Minute, b.Admit(now, crasher).RetryAfter)
	must.Eq(t, 2500*time.Millisecond, a.Admit(now, 3).RetryAfter)
}

// Guards against a crash record that marks a bystander as alone and so blames it. The bystander
// became suspected only after its run had started, and an unsuspected crasher was running beside
// it.
func TestRunSuspectedWhileRunningIsNotAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tr := New(DefaultConfig())
	tr.Started(now, 5)
	tr.Merge(now, CrashRecord{Fingerprint: 5, Upstream: "up-x", Incarnation: 1, At: now})
	must.False(t, tr.Crashed(now, "up-a", 1, []Fingerprint{5, crasher})[0].Alone)
	tr.Started(now, 5)
	must.False(t, tr.Crashed(now, "up-a", 2, []Fingerprint{5, crasher})[0].Alone)
}

// Guards against a third crash when the VM of the guard fails together with the upstream, so
// that only the entry node has a crash record. Its retry carries the record, and the next guard
// delays the request at once.
func TestRetryCarriesCrashRecords(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	entry, guard := New(DefaultConfig()), New(DefaultConfig())
	entry.CrashObserved(now, crasher, "up-a", 4)
	must.Nil(t, guard.Admit(now, crasher))
	mergeAll(now, entry.CrashRecords(now, crasher), guard)
	must.NotNil(t, guard.Admit(now, crasher))
	// The guard's own record of this crash is not a second crash.
	must.False(t, guard.Merge(now, CrashRecord{Fingerprint: crasher, Upstream: "up-a", Incarnation: 4, At: now}))
	must.Nil(t, guard.Admit(now.Add(3*time.Second), crasher))
}

// Guards against a late copy of a record that makes a cleared request suspected again.
func TestClearedRecordOutlastsLateCopies(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tr := New(DefaultConfig())
	s := CrashRecord{Fingerprint: 3, Upstream: "up-a", Incarnation: 1, At: now}
	cleared := s
	cleared.Cleared = true
	must.True(t, tr.Merge(now, cleared))
	must.False(t, tr.Merge(now, s))
	must.False(t, tr.Suspected(now, 3))
}

// Guards against a quarantined request that is admitted again because a flood of new suspects
// evicted its entry.
func TestFullTableKeepsQuarantinedEntry(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig()
	cfg.MaxEntries = 10
	tr := New(cfg)
	tr.Crashed(now, "up-a", 1, []Fingerprint{crasher})
	tr.Crashed(now, "up-b", 1, []Fingerprint{crasher})
	for f := range Fingerprint(100) {
		now = now.Add(time.Second)
		tr.Merge(now, CrashRecord{Fingerprint: f, Upstream: "up-c", Incarnation: uint64(f), At: now})
	}
	must.Len(t, 11, tr.Snapshot(now)) // nine with one record, one with two
	must.NotNil(t, tr.Admit(now, crasher))
}

// Guards against nodes that hold different records after they have merged the same ones, in
// another order or repeatedly.
func TestMergeConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		record := rapid.Custom(func(t *rapid.T) CrashRecord {
			return CrashRecord{
				Fingerprint: Fingerprint(rapid.IntRange(1, 3).Draw(t, "f")),
				Upstream:    fmt.Sprint("up-", rapid.IntRange(1, 2).Draw(t, "upstream")),
				Incarnation: rapid.Uint64Range(1, 2).Draw(t, "incarnation"),
				At:          now.Add(-time.Duration(rapid.IntRange(0, 3).Draw(t, "age")) * time.Second),
				Cleared:     rapid.Bool().Draw(t, "cleared"),
				Alone:       rapid.Bool().Draw(t, "alone"),
			}
		})
		records := rapid.SliceOfN(record, 1, 20).Draw(t, "records")
		a, b := New(DefaultConfig()), New(DefaultConfig())
		mergeAll(now, records, a)
		mergeAll(now, rapid.Permutation(records).Draw(t, "order"), b)
		for _, s := range records {
			if a.Merge(now, s) {
				t.Fatalf("merged record %+v is reported as new", s)
			}
		}
		if ra, rb := a.Snapshot(now), b.Snapshot(now); !slices.Equal(ra, rb) {
			t.Fatalf("trackers differ after merging the same records: %v and %v", ra, rb)
		}
	})
}

// cluster simulates a service with several guards in steps of 100 ms. A run of the crasher crashes
// its upstream after at most 400 ms, and the caller resends the crasher to any entry node. A record
// reaches the other guards after 1 s.
type cluster struct {
	now          time.Time
	names        []string
	guards       []*Tracker
	runs         []map[Fingerprint]time.Time // end time of each run, by guard
	incarnations []uint64
	inTransit    []delivery
	crashes      int
	// startedUnsuspected counts copies of the crasher that started unsuspected. observed holds the
	// crash records that the caller's entry nodes have received.
	startedUnsuspected int
	observed           []CrashRecord
}

type delivery struct {
	at      time.Time
	records []CrashRecord
}

func (c *cluster) gossip(records []CrashRecord) {
	c.inTransit = append(c.inTransit, delivery{c.now.Add(time.Second), records})
}

func (c *cluster) send(f Fingerprint, guard int, duration time.Duration) {
	tr := c.guards[guard]
	if tr.Suspected(c.now, f) {
		for i, name := range c.names {
			if name == AssignedGuard(f, c.names) {
				mergeAll(c.now, tr.CrashRecords(c.now, f), c.guards[i])
				guard, tr = i, c.guards[i]
			}
		}
	}
	if _, busy := c.runs[guard][f]; busy || tr.Admit(c.now, f) != nil {
		return
	}
	tr.Started(c.now, f)
	c.runs[guard][f] = c.now.Add(duration)
}

func (c *cluster) step() {
	c.now = c.now.Add(100 * time.Millisecond)
	for len(c.inTransit) > 0 && !c.inTransit[0].at.After(c.now) {
		mergeAll(c.now, c.inTransit[0].records, c.guards...)
		c.inTransit = c.inTransit[1:]
	}
	for i := range c.guards {
		c.endRuns(i)
	}
}

func (c *cluster) endRuns(guard int) {
	if end, runs := c.runs[guard][crasher]; runs && !c.now.Before(end) {
		c.crashes++
		c.incarnations[guard]++
		running := slices.Collect(maps.Keys(c.runs[guard]))
		records := c.guards[guard].Crashed(c.now, c.names[guard], c.incarnations[guard], running)
		c.observed = append(c.observed, c.guards[guard].CrashRecords(c.now, crasher)...)
		c.gossip(records)
		clear(c.runs[guard])
		return
	}
	for f, end := range c.runs[guard] {
		if !c.now.Before(end) {
			delete(c.runs[guard], f)
			c.gossip(c.guards[guard].Finished(c.now, f, true))
		}
	}
}

// Guards against more than two upstreams crashed by one request. The caller resends the request to
// any guard while the crash records are still on their way to the guards.
func TestTwoCrashesAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: time.Unix(1_000_000, 0)}
		for i := range rapid.IntRange(2, 5).Draw(t, "guards") {
			c.names = append(c.names, fmt.Sprint("up-", i))
			c.guards = append(c.guards, New(DefaultConfig()))
			c.runs = append(c.runs, map[Fingerprint]time.Time{})
			c.incarnations = append(c.incarnations, 1)
		}
		someGuard := rapid.IntRange(0, len(c.guards)-1)
		drawDuration := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 4).Draw(t, "takes")) * 100 * time.Millisecond
		}
		stepsUntilResend := 0
		for range 120 {
			if stepsUntilResend--; stepsUntilResend <= 0 {
				c.resendCrasher(someGuard.Draw(t, "guard"), drawDuration())
				stepsUntilResend = rapid.IntRange(1, 9).Draw(t, "pause")
			}
			c.send(Fingerprint(rapid.IntRange(1, 8).Draw(t, "innocent")), someGuard.Draw(t, "guard"), drawDuration())
			c.step()
		}
		if c.crashes > 2 {
			t.Fatalf("%d upstreams crashed", c.crashes)
		}
		c.now = c.now.Add(time.Minute)
		for f := range Fingerprint(8) {
			for i := range c.guards {
				clear(c.guards[i].running)
				if r := c.guards[i].Admit(c.now, f+1); r != nil {
					t.Fatalf("unrelated request %d is still refused a minute later: %v", f+1, r)
				}
			}
		}
	})
}

// resendCrasher sends the crasher to a guard. Once two copies have started unsuspected, each
// further one carries the crash records that the entry nodes have received.
func (c *cluster) resendCrasher(guard int, duration time.Duration) {
	if c.startedUnsuspected >= 2 {
		mergeAll(c.now, c.observed, c.guards[guard])
		if len(c.observed) == 0 {
			return // both copies are still running
		}
	}
	if !c.guards[guard].Suspected(c.now, crasher) {
		c.startedUnsuspected++
	}
	c.send(crasher, guard, duration)
}

// Guards against nodes that select different guards for one suspect, and against suspects that
// change their guard when another one disappears.
func TestAssignedGuardIsStable(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	moved := 0
	for f := range Fingerprint(1000) {
		assigned := AssignedGuard(f, names)
		must.Eq(t, assigned, AssignedGuard(f, []string{"d", "c", "b", "a"}))
		if rest := AssignedGuard(f, names[:3]); assigned != "d" && rest != assigned {
			moved++
		}
	}
	must.Eq(t, 0, moved)
	must.Eq(t, "", AssignedGuard(1, nil))
}

// Guards against a configuration error that does not name the field, its value and the bound.
func TestValidateNamesFieldValueAndBound(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	cfg := DefaultConfig()
	cfg.MaxCrashes = 9
	must.EqError(t, cfg.Validate(), "quarantine: MaxCrashes is 9, want 1 to 8")
}

func BenchmarkAdmitUnsuspected(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	tr := New(DefaultConfig())
	b.ReportAllocs()
	for b.Loop() {
		tr.Admit(now, 1)
		tr.Started(now, 1)
		tr.Finished(now, 1, true)
	}
}
