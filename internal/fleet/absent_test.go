package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against restarted nodes that are looked for for ever, or not at all.
func TestAbsentMembersAreLookedForAMinute(t *testing.T) {
	start := time.Unix(1000, 0)
	stopping := Member{Node: "b", Incarnation: 1, State: Stopping}
	dead := Member{Node: "c", Incarnation: 1, State: Serving, Slots: 1}
	sound := Member{Node: "d", Incarnation: 1, State: Serving, Slots: 1}
	unreached := func(node string) bool { return node == "c" }
	a := NewAbsent()
	due := func(after time.Duration, members ...Member) []string {
		var names []string
		for _, m := range a.Due(start.Add(after), members, unreached) {
			names = append(names, m.Node)
		}
		return names
	}
	must.Eq(t, []string{"b", "c"}, due(0, stopping, dead, sound))
	must.Eq(t, []string{"b", "c"}, due(absentFor-time.Millisecond, stopping, dead, sound))
	must.SliceEmpty(t, due(absentFor, stopping, dead, sound))
	restarted := Member{Node: "b", Incarnation: 2, State: Gone}
	must.Eq(t, []string{"b"}, due(absentFor+time.Second, restarted, sound))
	restarted.State, restarted.Slots = Serving, 1
	must.SliceEmpty(t, due(absentFor+2*time.Second, restarted, sound))
	must.Eq(t, []string{"b"}, due(absentFor+3*time.Second, Member{Node: "b", Incarnation: 2, State: Stopping}))
}

// The neighbours of a node are those of its zone, in order, without itself.
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

// BenchmarkNeighbours is what finding the neighbours takes from a node at the planned
// size, 14,000 nodes in 34 zones, after each change of a member.
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

// BenchmarkAbsent is a turn of looking for absent members among the 412 nodes of a
// zone, twice a second.
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
