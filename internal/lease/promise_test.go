package lease

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against slots that stay without an owner for seconds after a planned hand-over, because
// the receiver's earlier promise to the sender blocks its takeover.
func TestHandOverEndsThePromiseGivenToItsSender(t *testing.T) {
	now := time.Unix(1000, 0)
	owner, receiver := Identity{Node: "a", Incarnation: 1}, Identity{Node: "b", Incarnation: 1}
	l := NewLessor(DefaultConfig(), Options{Self: receiver, Addr: "b:1", Service: "s"})
	l.ApplyJoin(now, 0, owner, "a:1", true)
	l.ApplyJoin(now, 1, receiver, "b:1", true)
	var all []int
	for i := range DefaultConfig().Slots {
		all = append(all, i)
	}
	l.ApplyTakeover(now, 2, Takeover{Service: "s", Slots: all, NewOwner: owner, Addr: "a:1", Folded: 2, At: now})
	l.ObservePeerHead(owner, 3)
	must.True(t, l.OnPromiseRequest(now, owner, []int{7, 8}))
	must.True(t, l.ImportedHandOver(now, HandOver{From: owner, Slots: []HandedSlot{{Slot: 7, Offset: 2}}}))
	actions := l.Plan(now, []Identity{owner, receiver})
	must.SliceLen(t, 1, actions)
	must.Eq(t, []int{7}, actions[0].(AppendTakeover).Record.Slots)
}

// Guards against a hand-over from one of two requesters that ends the promise to the other, whose
// slot could then be taken over while it starts calls.
func TestPromiseToTwoRequestersLasts(t *testing.T) {
	now := time.Unix(1000, 0)
	a, b := Identity{Node: "a", Incarnation: 1}, Identity{Node: "b", Incarnation: 1}
	p := givenPromise{}.extended(now, a, now.Add(time.Second))
	must.Eq(t, a, p.to)
	p = p.extended(now, b, now.Add(2*time.Second))
	must.Eq(t, Identity{}, p.to)
	must.Eq(t, now.Add(2*time.Second), p.until)
}
