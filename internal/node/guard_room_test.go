package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// scarceGuard returns a guard whose slots have all been in use for a while.
func scarceGuard(t *testing.T) (*Guard, time.Time) {
	g := NewGuard(DefaultGuardConfig(), 1, &fakeRunner{}, &fakeAuthority{}, epoch)
	g.SetReserve(epoch, true, 1)
	g.UpstreamUp(epoch, admission.DefaultConfig(4))
	now := epoch
	for _, id := range []string{"a", "b", "c", "d"} {
		_, response := g.Arrive(now, treeCall(id, 1, RoomGrant{}), func(*Response) {})
		must.Nil(t, response)
	}
	now = now.Add(2 * time.Second)
	g.Tick(now)
	state, on := g.Room(now)
	must.True(t, on && state.Tight)
	return g, now
}

func treeCall(id string, depth int, grant RoomGrant) *Call {
	return &Call{Routed: true, Room: grant, Ctx: callctx.Context{
		RequestID: id, CallID: id, Workspace: "north", Service: "tracker", Level: callctx.LevelLow, CallerHash: 1<<32 - 1,
		Depth: depth, RootAdmitted: epoch, Deadline: epoch.Add(time.Minute),
	}}
}

// exhaust asks for room until the guard has none.
func exhaust(t *testing.T, g *Guard, now time.Time) {
	r := &room.Request{Kind: treeKindForTest, Rank: 1, Objective: time.Second}
	for range 1000 {
		answer, ok := g.AskRoom(now, r, 0.5)
		must.True(t, ok)
		if !answer.Granted {
			return
		}
	}
	t.Fatal("the guard grants more than its room")
}

const treeKindForTest = 1 << 31

// Guards against a single call that takes the room which the guard promised to trees.
func TestSingleCallIsRefusedWithoutRoom(t *testing.T) {
	g, now := scarceGuard(t)
	exhaust(t, g, now)
	_, response := g.Arrive(now, treeCall("root", 0, RoomGrant{}), func(*Response) {})
	must.NotNil(t, response)
	must.EqOp(t, result.Shed, response.Code)
	must.EqOp(t, result.RanNo, response.Code.Ran())
	must.Positive(t, response.Refusal.RetryAfter)
	_, response = g.Arrive(now, treeCall("deep", 1, RoomGrant{Kind: treeKindForTest, Services: "consent tracker"}), func(*Response) {})
	must.Nil(t, response)
}

// Guards against calls that are exempt from shedding because another service granted room for their
// tree.
func TestGrantOfAnotherServiceDoesNotCount(t *testing.T) {
	g, now := scarceGuard(t)
	g.Arrive(now, treeCall("other", 1, RoomGrant{Kind: treeKindForTest, Services: "letters"}), func(*Response) {})
	must.False(t, g.calls["other"].promised)
	g.Arrive(now, treeCall("own", 1, RoomGrant{Kind: treeKindForTest, Services: "consent tracker"}), func(*Response) {})
	must.True(t, g.calls["own"].promised)
}

// Guards against entry nodes that don't ask because the reports of a scarce service name no threshold.
func TestReportsNameAScarceService(t *testing.T) {
	g, now := scarceGuard(t)
	g.mu.Lock()
	reported := g.loadLocked().Threshold
	g.mu.Unlock()
	must.Less(t, room.OpenThreshold, reported)
	g.SetReserve(now, false, 1)
	_, on := g.AskRoom(now, &room.Request{Kind: 1}, 0)
	must.False(t, on)
}

// Guards against deep calls whose tree was granted room and that are shed nevertheless, because the
// running call does not pass the grant on.
func TestChildCarriesTheGrantOfItsTree(t *testing.T) {
	grant := RoomGrant{Kind: treeKindForTest, Services: "consent tracker"}
	n := nodeRunning(t, &Call{Routed: true, Room: grant, Ctx: callctx.Context{RequestID: "q", CallID: "c", Workspace: "north", Service: "letters", Deadline: epoch.Add(time.Minute)}})
	child := acceptChild(t, n, "c")
	must.EqOp(t, grant, child.Room)
	must.EqOp(t, 0, (&Dispatch{call: child}).rank())
}

// Guards against a timeline in which a service remains scarce after its guard stopped to promise room.
func TestScarcityEndsWithTheSetting(t *testing.T) {
	g, now := scarceGuard(t)
	ring := timeline.NewRing("a", 16, &timeline.Clock{})
	g.events = &eventRecorder{node: &Node{cfg: Config{Ring: ring}}, wasTight: true}
	g.SetReserve(now, false, 1)
	events := ring.Events(timeline.Filter{})
	must.Len(t, 1, events)
	must.EqOp(t, timeline.ScarcityFinished, events[0].Kind)
}
