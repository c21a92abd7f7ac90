package node

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

type frozenClock struct{ at time.Time }

func (c frozenClock) Now() time.Time { return c.at }

func observedNode(at time.Time) *Node {
	return New(Config{
		Identity: Identity{Node: "a"}, Clock: frozenClock{at}, Ring: timeline.NewRing("a", 64, &timeline.Clock{}),
		Routing: routing.DefaultConfig(), Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(),
		Guard: DefaultGuardConfig(), Sample: 1 << 20,
	})
}

// Guards against memory allocations for calls whose events are not recorded. Only one in 64 is
// sampled on a busy node, and the garbage collection of the others shows in the tail latency of every
// call.
func TestCallsWithoutEventsDoNotAllocate(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	n := observedNode(at)
	call := &Call{}
	call.Ctx.RequestID = "r"
	e := &execution{call: call, arrived: at, started: at}
	complete := &Response{Code: result.OK, Status: 200}
	d := NewDispatch(n, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(1))
	d.attempts = 1
	allocs := testing.AllocsPerRun(1000, func() {
		n.recordReceived(at, call, 1)
		n.recordRouted(at, d, call)
		n.guard.events.offered(at, call, admission.Run, admission.Load{})
		n.guard.events.started(at, e)
		n.guard.events.finished(at, e, complete)
		n.RecordResponse(call, complete, d)
		n.ObserveClock(n.Stamp(call))
	})
	must.Eq(t, 0, allocs)
	must.Eq(t, 0, n.Ring().Len())
	call.Sampled = true
	n.recordReceived(at, call, 1)
	must.Eq(t, 1, n.Ring().Len())
}

// Guards against an overload being recorded at every tick, instead of once at its begin and
// once at its end.
func TestOverloadStartAndEndAreRecordedOnce(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	n := observedNode(at)
	o := n.guard.events
	for i := range 10 {
		o.recordLoad(at.Add(time.Duration(i)*time.Millisecond), admission.Load{Overloaded: i >= 3 && i < 7, Limit: 5})
	}
	var got []timeline.Kind
	for _, e := range n.Ring().Events(timeline.Filter{}) {
		got = append(got, e.Kind)
	}
	must.Eq(t, []timeline.Kind{timeline.LimitChanged, timeline.OverloadStarted, timeline.OverloadFinished}, got)
}
