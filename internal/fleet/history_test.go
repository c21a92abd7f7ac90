package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// restart returns what the next process of the node knows, with the history as it is stored.
func restart(t interface{ Fatalf(string, ...any) }, u *LocalUpstream) *LocalUpstream {
	m := member("n", 1, 1, Gone)
	m.SetHistory(u.History())
	raw, err := m.Encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	stored, err := DecodeMember(raw, testNow)
	if err != nil {
		t.Fatalf("decode: %v", err)
	}
	next := &LocalUpstream{}
	next.Restore(stored.History())
	return next
}

// Guards against new work for a process that left, by a delayed report after its node was restarted.
func TestDepartureOutlivesTheNode(t *testing.T) {
	for _, startedAt := range []int64{0, 100} {
		u := &LocalUpstream{}
		u.Apply(report("u", startedAt, 7))
		must.EqOp(t, Left, u.Departed(time.UnixMilli(150), "u", startedAt))
		for range 3 {
			u = restart(t, u)
			must.NotEqOp(t, Started, u.Apply(report("u", startedAt, 6)))
			must.NotEqOp(t, Started, u.Apply(report("u", startedAt, 8)))
			must.False(t, u.Adopt(report("u", 0, 0)))
			_, serving := u.Current()
			must.False(t, serving)
		}
		must.EqOp(t, Started, u.Apply(report("v", 2*startedAt, 1)))
	}
}

// Guards against new work for a process whose departure is the first that a restarted node hears of it.
// Departures may lack the start time that reports have.
func TestDepartureBeforeTheFirstReport(t *testing.T) {
	for _, x := range []struct{ reported, departed int64 }{{0, 0}, {100, 100}, {100, 0}} {
		u := &LocalUpstream{}
		must.EqOp(t, Noted, u.Departed(time.UnixMilli(150), "u", x.departed))
		must.EqOp(t, Outdated, u.Departed(time.UnixMilli(150), "u", x.departed))
		must.EqOp(t, Outdated, u.Apply(report("u", x.reported, 6)))
		must.False(t, u.Adopt(report("u", x.reported, 0)))
		u = restart(t, u)
		must.EqOp(t, Outdated, u.Apply(report("u", x.reported, 6)))
		must.EqOp(t, Started, u.Apply(report("v", 2*x.reported, 1)))
		must.EqOp(t, Outdated, u.Departed(time.UnixMilli(150), "u", x.departed))
		_, serving := u.Current()
		must.True(t, serving)
	}
}

// Guards against new work for a process that departed without its start time, while the record that its
// restarted node has read is of an earlier start under the same ID.
func TestDepartureWithAnOlderRecord(t *testing.T) {
	for _, adopted := range []bool{false, true} {
		for _, recorded := range []int64{0, 100} {
			u := &LocalUpstream{}
			u.Restore(History{Process: routing.Process{ID: "u", StartedAt: recorded}})
			if adopted {
				must.True(t, u.Adopt(report("u", recorded, 0)))
			}
			must.EqOp(t, Left, u.Departed(time.UnixMilli(250), "u", 0))
			must.NotEqOp(t, Started, u.Apply(report("u", 200, 6)))
			must.NotEqOp(t, Started, u.Apply(report("u", recorded, 6)))
			next := restart(t, u)
			must.NotEqOp(t, Started, next.Apply(report("u", 200, 7)))
			must.EqOp(t, Started, u.Apply(report("v", 0, 1)))
			must.EqOp(t, Started, next.Apply(report("u", 300, 1)))
		}
	}
}

// Guards against a process that stays out of service because an earlier one with its ID departed.
func TestSameIDStartsAfterANotedDeparture(t *testing.T) {
	u := &LocalUpstream{}
	must.EqOp(t, Noted, u.Departed(time.UnixMilli(150), "u", 0))
	u = restart(t, u)
	must.EqOp(t, Outdated, u.Apply(report("u", 100, 6)))
	must.EqOp(t, Started, u.Apply(report("u", 200, 1)))
}

// Guards against new work for a process that departed before the record that names it was read.
func TestDepartureBeforeTheRecord(t *testing.T) {
	u := &LocalUpstream{}
	must.EqOp(t, Noted, u.Departed(time.UnixMilli(150), "u", 0))
	must.EqOp(t, Left, u.Restore(History{Process: routing.Process{ID: "u", StartedAt: 100}}))
	must.NotEqOp(t, Started, u.Apply(report("u", 100, 6)))
	must.False(t, u.Adopt(report("u", 0, 0)))
}

// Guards against a dead process that replaces the living one, by a delayed report after the node was
// restarted.
func TestReplacedProcessStaysReplaced(t *testing.T) {
	for _, startedAt := range []int64{0, 100} {
		u := &LocalUpstream{}
		u.Apply(report("old", startedAt, 7))
		u.Apply(report("new", 2*startedAt, 1))
		u = restart(t, u)
		must.EqOp(t, Outdated, u.Apply(report("old", startedAt, 8)))
		must.EqOp(t, Started, u.Apply(report("new", 2*startedAt, 2)))
		must.EqOp(t, Outdated, u.Apply(report("old", startedAt, 9)))
	}
}

// Guards against a living process that stays out of service, because the VM was replaced by one whose
// clock is behind.
func TestStartTimesOfAnotherVMAreNotCompared(t *testing.T) {
	for _, left := range []bool{false, true} {
		u := &LocalUpstream{}
		u.Restore(History{Process: routing.Process{ID: "old", StartedAt: 200}, Left: left})
		must.EqOp(t, Started, u.Apply(report("new", 100, 1)))
		must.EqOp(t, Outdated, u.Apply(report("old", 200, 9)))
		u = &LocalUpstream{}
		must.EqOp(t, Started, u.Apply(report("new", 100, 1)))
		must.EqOp(t, Unchanged, u.Restore(History{Process: routing.Process{ID: "old", StartedAt: 200}, Left: left}))
		_, serving := u.Current()
		must.True(t, serving)
	}
}

// Guards against a living process that is taken for a replaced one, because a delayed report of its
// predecessor came before the record.
func TestLivingProcessServesAfterALateRecord(t *testing.T) {
	for _, startedAt := range []int64{0, 100} {
		u := &LocalUpstream{}
		u.Apply(report("old", startedAt, 6))
		must.EqOp(t, Left, u.Restore(History{Process: routing.Process{ID: "new", StartedAt: 2 * startedAt}, Predecessors: []routing.Process{{ID: "old", StartedAt: startedAt}}}))
		must.EqOp(t, Outdated, u.Apply(report("old", startedAt, 7)))
		must.EqOp(t, Started, u.Apply(report("new", 2*startedAt, 3)))
	}
}

// Guards against a record that is read after a delayed report was taken for one of a new process.
func TestHistoryReadLateEndsTheService(t *testing.T) {
	left := History{Process: routing.Process{ID: "u", StartedAt: 100}, Left: true}
	for name, x := range map[string]struct {
		h    History
		want bool
	}{
		"left":      {left, false},
		"replaced":  {History{Process: routing.Process{ID: "v", StartedAt: 200}, Predecessors: []routing.Process{{ID: "u", StartedAt: 100}}}, false},
		"restarted": {History{Process: routing.Process{ID: "u", StartedAt: 200}}, false},
		"noted":     {History{Predecessors: []routing.Process{{ID: "u", StartedAt: 100}}}, false},
		"same":      {History{Process: routing.Process{ID: "u", StartedAt: 100}}, true},
		"older":     {History{Process: routing.Process{ID: "t", StartedAt: 50}, Left: true}, true},
	} {
		t.Run(name, func(t *testing.T) {
			u := &LocalUpstream{}
			u.Apply(report("u", 100, 6))
			must.EqOp(t, !x.want, u.Restore(x.h) == Left)
			_, serving := u.Current()
			must.EqOp(t, x.want, serving)
		})
	}
}

// Guards against new work for a process that left, in any order of reports, departures and restarts of
// the node, and against a living process that stays out of service.
func TestDeparturesAreFinalInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		withStart := rapid.Bool().Draw(t, "start time is reported")
		process := func(n int) (string, int64) {
			if withStart {
				return "u", int64(100 * (n + 1))
			}
			return string(rune('a' + n)), 0
		}
		u := &LocalUpstream{}
		current, sequence := 0, int64(0)
		left := map[int]bool{}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			n := rapid.IntRange(max(0, current-maxPublishedPredecessors+1), current).Draw(t, "process")
			id, startedAt := process(n)
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0:
				u = restart(t, u)
			case 1:
				if n == current && rapid.Bool().Draw(t, "departs without its start time") {
					startedAt = 0
				}
				u.Departed(time.UnixMilli(int64(100*(n+1)+50)), id, startedAt)
				left[n] = true
			case 2: // the next process starts and reports
				current++
				id, startedAt = process(current)
				must.EqOp(t, Started, u.Apply(report(id, startedAt, 1)))
			default:
				sequence++
				u.Apply(report(id, startedAt, sequence))
			}
			r, serving := u.Current()
			for n := range left {
				id, startedAt := process(n)
				must.False(t, serving && r.ID == id && r.StartedAt == startedAt)
			}
		}
		current++
		id, startedAt := process(current)
		must.EqOp(t, Started, u.Apply(report(id, startedAt, 1)))
	})
}
