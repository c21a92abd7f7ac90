package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against restarted nodes that are contacted without a time limit, or not at all.
func TestAbsentMembersAreContactedForAMinute(t *testing.T) {
	start := time.Unix(1000, 0)
	stopping := Member{Node: "b", Incarnation: 1, State: Stopping}
	dead := Member{Node: "c", Incarnation: 1, State: Serving, Slots: 1}
	healthy := Member{Node: "d", Incarnation: 1, State: Serving, Slots: 1}
	unreachable := func(node string) bool { return node == "c" }
	a := NewAbsent()
	due := func(after time.Duration, members ...Member) []string {
		var names []string
		for _, m := range a.Due(start.Add(after), members, unreachable) {
			names = append(names, m.Node)
		}
		return names
	}
	must.Eq(t, []string{"b", "c"}, due(0, stopping, dead, healthy))
	must.Eq(t, []string{"b", "c"}, due(introductionPeriod-time.Millisecond, stopping, dead, healthy))
	must.SliceEmpty(t, due(introductionPeriod, stopping, dead, healthy))
	restarted := Member{Node: "b", Incarnation: 2, State: Gone}
	must.Eq(t, []string{"b"}, due(introductionPeriod+time.Second, restarted, healthy))
	restarted.State, restarted.Slots = Serving, 1
	must.SliceEmpty(t, due(introductionPeriod+2*time.Second, restarted, healthy))
	must.Eq(t, []string{"b"}, due(introductionPeriod+3*time.Second, Member{Node: "b", Incarnation: 2, State: Stopping}))
}

// Guards against neighbours that are missing, out of order, of another zone or region, or the
// node itself.
func TestNeighboursAreOfTheZone(t *testing.T) {
	r := NewRegistry()
	for _, m := range []Member{
		{Node: "b", Region: "r", Zone: "z", Incarnation: 1}, {Node: "a", Region: "r", Zone: "z", Incarnation: 1},
		{Node: "me", Region: "r", Zone: "z", Incarnation: 1}, {Node: "c", Region: "r", Zone: "y", Incarnation: 1},
		{Node: "d", Region: "q", Zone: "z", Incarnation: 1},
	} {
		r.Apply(m)
	}
	got := r.Neighbours("me", "r", "z")
	must.Len(t, 2, got)
	must.EqOp(t, "a", got[0].Node)
	must.EqOp(t, "b", got[1].Node)
}

// BenchmarkNeighbours finds the neighbours of a node at the planned size, 14,000 nodes in 34
// zones. A node does so after each change of a member.
func BenchmarkNeighbours(b *testing.B) {
	r := NewRegistry()
	for i := range 14000 {
		r.Apply(Member{Node: fmt.Sprintf("vm-%05d", i), Region: "r", Zone: fmt.Sprint("z", i%34), Incarnation: 1, Slots: 1, State: Serving})
	}
	b.ReportAllocs()
	for b.Loop() {
		r.Neighbours("vm-00000", "r", "z0")
	}
}

// BenchmarkAbsent selects the absent members among the 412 nodes of a zone. A node does so twice
// a second.
func BenchmarkAbsent(b *testing.B) {
	members := make([]Member, 412)
	for i := range members {
		members[i] = Member{Node: fmt.Sprintf("vm-%05d", i), Incarnation: 1, State: Serving}
	}
	absent := NewAbsent()
	for b.Loop() {
		absent.Due(time.Unix(1, 0), members, func(string) bool { return false })
	}
}
