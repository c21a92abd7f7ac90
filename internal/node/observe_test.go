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

type stillClock struct{ at time.Time }

func (c stillClock) Now() time.Time { return c.at }

func observedNode(at time.Time) *Node {
	return New(Config{
		Identity: Identity{Node: "a"}, Clock: stillClock{at}, Ring: timeline.NewRing("a", 64, &timeline.Clock{}),
		Routing: routing.DefaultConfig(), Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(),
		Guard: DefaultGuardConfig(), Sample: 1 << 20,
	})
}

// The time line of a busy node costs memory for each call although only one
// in 64 is kept, and garbage collection shows in the tail of every call.
func TestCallsThatAreNotKeptCostNoMemory(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	n := observedNode(at)
	call := &Call{}
	call.Ctx.RequestID = "r"
	e := &execution{call: call, arrived: at, started: at}
	whole := &Response{Code: result.OK, Status: 200}
	d := NewDispatch(n, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(1))
	d.attempts = 1
	allocs := testing.AllocsPerRun(1000, func() {
		n.began(at, call, 1)
		n.routed(at, d, call)
		n.guard.observer.offered(at, call, admission.Run, admission.Load{})
		n.guard.observer.started(at, e)
		n.guard.observer.finished(at, e, whole)
		n.Answered(call, whole, d)
		n.ObserveClock(n.Stamp(call))
	})
	must.Eq(t, 0, allocs)
	must.Eq(t, 0, n.Ring().Len())
	call.Sampled = true
	n.began(at, call, 1)
	must.Eq(t, 1, n.Ring().Len())
}

// A guard is overloaded for a while. Who reads the time line later sees it
// begin and end once each, not once a tick.
func TestOverloadIsRecordedOnceEachWay(t *testing.T) {
	at := time.Unix(1_700_000_000, 0)
	n := observedNode(at)
	o := n.guard.observer
	for i := range 10 {
		o.watch(at.Add(time.Duration(i)*time.Millisecond), admission.Load{Overloaded: i >= 3 && i < 7, Limit: 5})
	}
	var got []timeline.Kind
	for _, e := range n.Ring().Events(timeline.Filter{}) {
		got = append(got, e.Kind)
	}
	must.Eq(t, []timeline.Kind{timeline.LimitChanged, timeline.OverloadStarted, timeline.OverloadFinished}, got)
}
