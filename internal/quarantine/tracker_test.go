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

// A fixed seed gives the same verdict each run; -rapid.seed on the command line
// overrides it.
func init() { _ = flag.Set("rapid.seed", "1") }

const poison Fingerprint = 0xdead

func spread(now time.Time, records []CrashRecord, to ...*Tracker) {
	for _, t := range to {
		for _, r := range records {
			t.Merge(now, r)
		}
	}
}

// Guards against a crashing request that goes on killing upstreams after its second crash.
func TestSecondCrashAsOnlySuspectIsSureGuilt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	must.Nil(t, a.Admit(now, poison))
	spread(now, a.Crashed(now, "up-a", 1, []Fingerprint{poison, 1, 2}), b)

	held := b.Admit(now, poison)
	must.Eq(t, result.Quarantined, held.Code)
	must.Eq(t, 2500*time.Millisecond, held.RetryAfter)
	now = now.Add(held.RetryAfter)
	must.Nil(t, b.Admit(now, poison))
	b.Started(now, poison)
	spread(now, b.Crashed(now, "up-b", 1, []Fingerprint{poison, 7}), a)

	for _, tr := range []*Tracker{a, b} {
		now := now.Add(9 * time.Minute)
		refusal := tr.Admit(now, poison)
		must.Eq(t, result.Quarantined, refusal.Code)
		must.Eq(t, time.Minute, refusal.RetryAfter)
	}
}

// Guards against innocent requests that stay suspected after a crash.
func TestInnocentsRunAloneAndAreCleared(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	var running []Fingerprint
	for f := range Fingerprint(20) {
		running = append(running, f)
	}
	spread(now, a.Crashed(now, "up-a", 1, running), b)
	now = now.Add(3 * time.Second)
	for f := range Fingerprint(19) {
		must.Nil(t, b.Admit(now, f))
		b.Started(now, f)
		must.Eq(t, busyRetryAfter, b.Admit(now, 19).RetryAfter)
		cleared := b.Finished(now, f, true)
		must.Len(t, 1, cleared)
		spread(now, cleared, a)
		must.False(t, a.Suspected(now, f))
		must.False(t, b.Suspected(now, f))
	}
}

// Guards against an unlucky request refused for the time of a guilty one.
func TestBadLuckIsShortAndExplainedByTheCulprit(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const unlucky Fingerprint = 5
	tr := New(DefaultConfig())
	tr.Crashed(now, "up-a", 1, []Fingerprint{unlucky, poison, 6})
	tr.Crashed(now, "up-b", 1, []Fingerprint{unlucky, 6, 9})
	refusal := tr.Admit(now, unlucky)
	must.Eq(t, time.Minute, refusal.RetryAfter)

	tr.Started(now, poison)
	tr.Crashed(now, "up-c", 1, []Fingerprint{poison, 10})
	must.Eq(t, 10*time.Minute, tr.Admit(now, poison).RetryAfter)
	must.Eq(t, 2500*time.Millisecond, tr.Admit(now, unlucky).RetryAfter)
}

// Guards against a third upstream lost to a request whose two copies crashed two.
func TestTwoCopiesAtOnceAreSureGuilt(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	a, b := New(DefaultConfig()), New(DefaultConfig())
	fromA := a.Crashed(now, "up-a", 1, []Fingerprint{poison, 1, 2})
	fromB := b.Crashed(now, "up-b", 1, []Fingerprint{poison, 3, 4})
	spread(now, fromA, b)
	spread(now, fromB, a)
	must.Eq(t, 10*time.Minute, a.Admit(now, poison).RetryAfter)
	must.Eq(t, 10*time.Minute, b.Admit(now, poison).RetryAfter)
	must.Eq(t, 2500*time.Millisecond, a.Admit(now, 3).RetryAfter)
}

// Guards against a run beside others counted as a run alone.
func TestSuspicionDuringRunIsNotAlone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	tr := New(DefaultConfig())
	tr.Started(now, 5)
	tr.Merge(now, CrashRecord{Fingerprint: 5, Upstream: "up-x", Incarnation: 1, At: now})
	must.False(t, tr.Crashed(now, "up-a", 1, []Fingerprint{5, poison})[0].Alone)
	tr.Started(now, 5)
	must.False(t, tr.Crashed(now, "up-a", 2, []Fingerprint{5, poison})[0].Alone)
}

// The guard's whole VM dies with the upstream, so only the entry node knows. Its
// retry carries the mark, and the next guard holds the request back at once.
func TestRetryCarriesMarks(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	entry, guard := New(DefaultConfig()), New(DefaultConfig())
	entry.CrashObserved(now, poison, "up-a", 4)
	must.Nil(t, guard.Admit(now, poison))
	spread(now, entry.CrashRecords(now, poison), guard)
	must.NotNil(t, guard.Admit(now, poison))
	// The guard's own record of this crash is no second crash.
	must.False(t, guard.Merge(now, CrashRecord{Fingerprint: poison, Upstream: "up-a", Incarnation: 4, At: now}))
	must.Nil(t, guard.Admit(now.Add(3*time.Second), poison))
}

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

func TestFloodKeepsTheGuilty(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig()
	cfg.MaxEntries = 10
	tr := New(cfg)
	tr.Crashed(now, "up-a", 1, []Fingerprint{poison})
	tr.Crashed(now, "up-b", 1, []Fingerprint{poison})
	for f := range Fingerprint(100) {
		now = now.Add(time.Second)
		tr.Merge(now, CrashRecord{Fingerprint: f, Upstream: "up-c", Incarnation: uint64(f), At: now})
	}
	must.Len(t, 11, tr.Snapshot(now)) // nine with one record, one with two
	must.NotNil(t, tr.Admit(now, poison))
}

// Merging is idempotent and independent of order: any two nodes that have seen
// the same records hold the same ones.
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
		spread(now, records, a)
		spread(now, rapid.Permutation(records).Draw(t, "order"), b)
		for _, s := range records {
			if a.Merge(now, s) {
				t.Fatalf("known record %+v is new", s)
			}
		}
		if ra, rb := a.Snapshot(now), b.Snapshot(now); !slices.Equal(ra, rb) {
			t.Fatalf("%v and %v", ra, rb)
		}
	})
}

// cluster is a service of several guards in steps of 100 ms. The poison kills
// the upstream that runs it within 400 ms; its caller sends it again and again
// to any entry. A record takes a second to come around.
type cluster struct {
	now     time.Time
	names   []string
	guards  []*Tracker
	runs    []map[Fingerprint]time.Time // end of each run, by guard
	lives   []uint64
	onWay   []delayed
	crashes int
	// ignorant counts copies of the poison that started unsuspected; marks are
	// the records that the entry nodes of the caller have by then.
	ignorant int
	marks    []CrashRecord
}

type delayed struct {
	at      time.Time
	records []CrashRecord
}

func (c *cluster) tell(records []CrashRecord) {
	c.onWay = append(c.onWay, delayed{c.now.Add(time.Second), records})
}

func (c *cluster) send(f Fingerprint, guard int, takes time.Duration) {
	tr := c.guards[guard]
	if tr.Suspected(c.now, f) {
		for i, name := range c.names {
			if name == Home(f, c.names) {
				spread(c.now, tr.CrashRecords(c.now, f), c.guards[i])
				guard, tr = i, c.guards[i]
			}
		}
	}
	if _, busy := c.runs[guard][f]; busy || tr.Admit(c.now, f) != nil {
		return
	}
	tr.Started(c.now, f)
	c.runs[guard][f] = c.now.Add(takes)
}

func (c *cluster) step() {
	c.now = c.now.Add(100 * time.Millisecond)
	for len(c.onWay) > 0 && !c.onWay[0].at.After(c.now) {
		spread(c.now, c.onWay[0].records, c.guards...)
		c.onWay = c.onWay[1:]
	}
	for i := range c.guards {
		c.endRuns(i)
	}
}

func (c *cluster) endRuns(guard int) {
	if end, runs := c.runs[guard][poison]; runs && !c.now.Before(end) {
		c.crashes++
		c.lives[guard]++
		running := slices.Collect(maps.Keys(c.runs[guard]))
		records := c.guards[guard].Crashed(c.now, c.names[guard], c.lives[guard], running)
		c.marks = append(c.marks, c.guards[guard].CrashRecords(c.now, poison)...)
		c.tell(records)
		clear(c.runs[guard])
		return
	}
	for f, end := range c.runs[guard] {
		if !c.now.Before(end) {
			delete(c.runs[guard], f)
			c.tell(c.guards[guard].Finished(c.now, f, true))
		}
	}
}

// Guards against more than two upstreams lost to one crashing request.
func TestTwoCrashesAtMost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := &cluster{now: time.Unix(1_000_000, 0)}
		for i := range rapid.IntRange(2, 5).Draw(t, "guards") {
			c.names = append(c.names, fmt.Sprint("up-", i))
			c.guards = append(c.guards, New(DefaultConfig()))
			c.runs = append(c.runs, map[Fingerprint]time.Time{})
			c.lives = append(c.lives, 1)
		}
		someGuard := rapid.IntRange(0, len(c.guards)-1)
		takes := func() time.Duration {
			return time.Duration(rapid.IntRange(1, 4).Draw(t, "takes")) * 100 * time.Millisecond
		}
		pause := 0
		for range 120 {
			if pause--; pause <= 0 {
				c.resendPoison(someGuard.Draw(t, "guard"), takes())
				pause = rapid.IntRange(1, 9).Draw(t, "pause")
			}
			c.send(Fingerprint(rapid.IntRange(1, 8).Draw(t, "innocent")), someGuard.Draw(t, "guard"), takes())
			c.step()
		}
		if c.crashes > 2 {
			t.Fatalf("%d upstreams died", c.crashes)
		}
		c.now = c.now.Add(time.Minute)
		for f := range Fingerprint(8) {
			for i := range c.guards {
				clear(c.guards[i].running)
				if r := c.guards[i].Admit(c.now, f+1); r != nil {
					t.Fatalf("innocent %d refused a minute later: %v", f+1, r)
				}
			}
		}
	})
}

func (c *cluster) resendPoison(guard int, takes time.Duration) {
	if c.ignorant >= 2 {
		spread(c.now, c.marks, c.guards[guard])
		if len(c.marks) == 0 {
			return // both copies still run
		}
	}
	if !c.guards[guard].Suspected(c.now, poison) {
		c.ignorant++
	}
	c.send(poison, guard, takes)
}

func TestHomeIsStable(t *testing.T) {
	names := []string{"a", "b", "c", "d"}
	moved := 0
	for f := range Fingerprint(1000) {
		home := Home(f, names)
		must.Eq(t, home, Home(f, []string{"d", "c", "b", "a"}))
		if rest := Home(f, names[:3]); home != "d" && rest != home {
			moved++
		}
	}
	must.Eq(t, 0, moved)
	must.Eq(t, "", Home(1, nil))
}

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
