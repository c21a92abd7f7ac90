package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

type fixedClock struct{}

func (fixedClock) Now() time.Time { return epoch }

// nodeRunning returns a node whose upstream runs the call root.
func nodeRunning(t *testing.T, root *Call) *Node {
	n := New(Config{
		Identity: Identity{Node: "n", Incarnation: 1}, Clock: fixedClock{}, Runner: &fakeRunner{}, Authority: &fakeAuthority{},
		Routing: routing.DefaultConfig(), Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(), Guard: DefaultGuardConfig(),
	})
	n.Guard().UpstreamUp(epoch, admission.DefaultConfig(4))
	_, response := n.Guard().Arrive(epoch, root, func(*Response) {})
	must.Nil(t, response)
	return n
}

func acceptChild(t *testing.T, n *Node, parent string) *Call {
	call, _, ok := n.AcceptChild(epoch, RoutedRequest{RequestID: "q.1", Workspace: callctx.NoWorkspace, Service: "tracker", Timeout: time.Second}, parent)
	must.True(t, ok)
	return call
}

// Guards against a call being shed although the running call that makes it has made another call
// that was already served.
func TestCallAfterServedSiblingHasPriorWork(t *testing.T) {
	root := &Call{Routed: true, Ctx: callctx.Context{RequestID: "q", CallID: "c", Workspace: "north", Service: "letters", Deadline: epoch.Add(time.Minute)}}
	n := nodeRunning(t, root)
	first := acceptChild(t, n, "c")
	must.False(t, first.HasPriorWork)
	n.ChildEnded(epoch, first, &Response{Code: result.Shed, Refusal: result.Refuse(result.Shed, "full"), ShedThreshold: routing.NoThreshold})
	second := acceptChild(t, n, "c")
	must.False(t, second.HasPriorWork)
	n.ChildEnded(epoch, second, &Response{Code: result.OK, ShedThreshold: routing.NoThreshold})
	must.True(t, acceptChild(t, n, "c").HasPriorWork)
	must.EqOp(t, "north", second.Ctx.Workspace)
}

// Guards against a call being shed deep in a tree with prior work, because its parent does not pass
// HasPriorWork on.
func TestChildOfCallWithPriorWorkHasPriorWork(t *testing.T) {
	n := nodeRunning(t, &Call{Routed: true, HasPriorWork: true, Ctx: callctx.Context{RequestID: "q.1", CallID: "c", Workspace: "north", Service: "consent", Depth: 1, Deadline: epoch.Add(time.Minute)}})
	must.True(t, acceptChild(t, n, "c").HasPriorWork)
}
