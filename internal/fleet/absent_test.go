package fleet

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// A process is restarted while the store is out: its neighbours see a record that
// says it stops, or calls that fail. They look for it for a minute, not for ever,
// and again when a newer record turns up that doesn't serve yet.
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
