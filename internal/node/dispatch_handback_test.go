package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// newSender returns a node that takes calls back and knows some upstreams of the service s.
func newSender(upstreams int) *Node {
	n := New(Config{
		Identity: Identity{Node: "entry", Zone: "z"}, Clock: fixedClock{}, Runner: &fakeRunner{}, Authority: &fakeAuthority{},
		Routing: routing.DefaultConfig(), Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(), Guard: DefaultGuardConfig(),
		Ring: timeline.NewRing("entry", 64, &timeline.Clock{}), Sample: 1, MaxReroutes: 3,
	})
	n.SetHandBack(true)
	var endpoints []routing.Endpoint
	for i := range upstreams {
		endpoints = append(endpoints, routing.Endpoint{Node: fmt.Sprintf("n%d", i), Incarnation: 1, Zone: "z", Service: "s", Slots: 4, Joined: epoch.Add(-time.Hour)})
	}
	n.SetEndpoints(epoch, endpoints)
	return n
}

// sendUntilPlaced hands the call back as often as its attempts allow, then answers it. It returns the
// nodes of the attempts.
func sendUntilPlaced(t *testing.T, n *Node, allowance int) (nodes []string, d *Dispatch) {
	call := newCall("root", epoch.Add(time.Minute))
	call.Sampled = true
	d = NewDispatch(n, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(allowance))
	for {
		action := d.Next(epoch)
		if action.Kind == ActionDone {
			must.True(t, action.Response.Complete())
			n.RecordResponse(call, action.Response, d)
			return nodes, d
		}
		must.EqOp(t, ActionSend, action.Kind)
		nodes = append(nodes, action.Target.Endpoint().Node)
		a := completeResponseOf(action.Attempt, "x")
		if action.Attempt.HandBacks > 0 {
			a = refusedWith(action.Attempt, result.HandedBack)
		}
		a.UnusedAllowance = action.Attempt.Allowance
		d.Observe(epoch, a)
	}
}

// Guards against a hand-back that costs the call its retries, sends it to a guard that handed it back,
// or can't be found afterwards.
func TestHandedBackCallGoesElsewhere(t *testing.T) {
	n := newSender(3)
	nodes, d := sendUntilPlaced(t, n, 0)
	must.SliceLen(t, 3, nodes)
	must.SliceContainsAll(t, []string{"n0", "n1", "n2"}, nodes)
	must.EqOp(t, 0, d.retries+d.reroutes)
	events := n.Ring().Events(timeline.Filter{})
	must.StrContains(t, events[len(events)-1].Detail, "handed back while waiting by "+nodes[0]+", "+nodes[1])
	throttled, _ := sendUntilPlaced(t, n, 0)
	must.SliceLen(t, 3, throttled)
}

// Guards against a call that is refused because all upstreams but the first are excluded: it has to
// wait where it was.
func TestHandedBackCallReturnsIfNoOtherTakesIt(t *testing.T) {
	nodes, _ := sendUntilPlaced(t, newSender(1), 0)
	must.Eq(t, []string{"n0", "n0"}, nodes)
}

// Guards against a node that weighs upstreams by reported speeds although the setting is off.
func TestSpeedsAreUsedOnlyIfSet(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		n := newSender(1)
		n.SetSpeeds(enabled)
		call := newCall("root", epoch.Add(time.Minute))
		d := NewDispatch(n, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(0))
		a := completeResponseOf(d.Next(epoch).Attempt, "x")
		a.Load = &routing.LoadReport{Incarnation: 1, Limit: 4, Speed: 0.5}
		d.Observe(epoch, a)
		must.EqOp(t, enabled, n.Table().Placement(epoch)[0].Speed == 0.5)
	}
}
