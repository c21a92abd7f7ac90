package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const modelGuards, modelSlots = 3, 2

// moveModel sends calls from one node to three guards, which hand back those that wait, and kills
// guards meanwhile. Messages arrive in random order.
type moveModel struct {
	t      *rapid.T
	now    time.Time
	entry  *Node
	guards [modelGuards]*modelGuard
	calls  []*movedCall
	// messages are requests and responses on their way.
	messages []func()
}

// modelGuard is a guard that can be killed: what reaches it then is lost.
type modelGuard struct {
	guard   *Guard
	runner  *fakeRunner
	dead    bool
	pending map[*movedCall]bool
}

// movedCall is one request of a caller.
type movedCall struct {
	dispatch   *Dispatch
	idempotent bool
	// starts is the number of runs.
	starts    int
	responses []*Response
}

type modelClock struct{ m *moveModel }

func (c modelClock) Now() time.Time { return c.m.now }

func newMoveModel(t *rapid.T) *moveModel {
	m := &moveModel{t: t, now: epoch}
	cfg := Config{Identity: Identity{Node: "entry", Zone: "z"}, Clock: modelClock{m}, Runner: &fakeRunner{}, Authority: &fakeAuthority{}, Routing: routing.DefaultConfig(), Retry: retry.DefaultPolicy(), Throttle: retry.DefaultThrottleConfig(), Guard: DefaultGuardConfig(), MaxReroutes: 3}
	m.entry = New(cfg)
	m.entry.SetHandBack(true)
	var endpoints []routing.Endpoint
	for i := range m.guards {
		g := &modelGuard{runner: &fakeRunner{}, pending: map[*movedCall]bool{}}
		g.guard = NewGuard(DefaultGuardConfig(), 1, g.runner, &fakeAuthority{}, epoch)
		g.guard.SetHandBack(true)
		g.guard.UpstreamUp(epoch, admission.DefaultConfig(modelSlots))
		m.guards[i] = g
		endpoints = append(endpoints, routing.Endpoint{Node: fmt.Sprintf("n%d", i), Incarnation: 1, Zone: "z", Service: "s", Slots: modelSlots, Joined: epoch.Add(-time.Hour)})
	}
	m.entry.SetEndpoints(epoch, endpoints)
	return m
}

func (m *moveModel) request(t *rapid.T) {
	call := newCall(fmt.Sprintf("c%d", len(m.calls)), m.now.Add(2*time.Second))
	c := &movedCall{idempotent: rapid.Bool().Draw(t, "idempotent")}
	call.Ctx.Idempotent = c.idempotent
	c.dispatch = NewDispatch(m.entry, rand.New(rand.NewPCG(1, uint64(len(m.calls)))), call, retry.NewAccount(1))
	m.calls = append(m.calls, c)
	m.next(c)
}

// next carries out the next action of a call.
func (m *moveModel) next(c *movedCall) {
	action := c.dispatch.Next(m.now)
	switch action.Kind {
	case ActionDone:
		c.responses = append(c.responses, action.Response)
	case ActionPause:
		m.messages = append(m.messages, func() { m.next(c) })
	case ActionSend:
		var i int
		_, _ = fmt.Sscanf(action.Target.Endpoint().Node, "n%d", &i)
		// The spare slots that guards are told here are always many, so that they hand back often.
		action.Attempt.Spare = handback.SpareSlots{Free: 9, ValidUntil: m.now.Add(time.Second)}
		m.messages = append(m.messages, func() { m.arrive(c, m.guards[i], action.Attempt) })
	}
}

func (m *moveModel) arrive(c *movedCall, g *modelGuard, attempt *Call) {
	if g.dead {
		m.observe(c, refusedWith(attempt, result.Unreachable))
		return
	}
	g.pending[c] = true
	g.runner.onRun = func(call *Call) { m.started(call) }
	answer := func(a *Response) {
		m.messages = append(m.messages, func() {
			if g.pending[c] {
				delete(g.pending, c)
				m.observe(c, a)
			}
		})
	}
	if _, a := g.guard.Arrive(m.now, attempt, answer); a != nil {
		answer(a)
	}
}

func (m *moveModel) observe(c *movedCall, a *Response) {
	c.dispatch.Observe(m.now, a)
	m.next(c)
}

func (m *moveModel) started(call *Call) {
	for _, c := range m.calls {
		if c.dispatch.call.Ctx.RequestID != call.Ctx.RequestID {
			continue
		}
		c.starts++
		if c.starts > 1 && !c.idempotent {
			m.t.Fatalf("%s is not idempotent and started %d times", call.Ctx.RequestID, c.starts)
		}
	}
}

// deliver delivers one message.
func (m *moveModel) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message")
	}
	m.deliverAt(rapid.IntRange(0, len(m.messages)-1).Draw(t, "message"))
}

func (m *moveModel) deliverAt(i int) {
	f := m.messages[i]
	m.messages = append(m.messages[:i:i], m.messages[i+1:]...)
	f()
}

func (m *moveModel) finish(t *rapid.T) {
	m.finishAt(rapid.SampledFrom(m.guards[:]).Draw(t, "guard"))
}

func (m *moveModel) finishAt(g *modelGuard) {
	if g.dead || len(g.runner.runs) == 0 {
		return
	}
	call := g.runner.runs[0]
	g.runner.runs = g.runner.runs[1:]
	g.guard.Finish(m.now, call.Ctx.CallID, completeResponseOf(call, "x"))
}

func (m *moveModel) tick(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "ms")) * time.Millisecond)
	for _, g := range m.guards {
		if !g.dead {
			g.guard.Tick(m.now)
		}
	}
}

// kill ends a guard's process. Senders lose the response of every call there.
func (m *moveModel) kill(t *rapid.T) {
	g := rapid.SampledFrom(m.guards[:]).Draw(t, "guard")
	if g.dead || rapid.IntRange(0, 5).Draw(t, "kill") > 0 {
		t.Skip("not now")
	}
	g.dead = true
	for c := range g.pending {
		delete(g.pending, c)
		m.messages = append(m.messages, func() { m.observe(c, refusedWith(c.dispatch.call, result.LostAnswer)) })
	}
}

func (m *moveModel) settle() {
	for range 10_000 {
		for len(m.messages) > 0 {
			m.deliverAt(0)
		}
		m.now = m.now.Add(10 * time.Millisecond)
		for _, g := range m.guards {
			m.finishAt(g)
			if !g.dead {
				g.guard.Tick(m.now)
			}
		}
		if m.now.Sub(epoch) > time.Minute {
			return
		}
	}
}

func (m *moveModel) checkEnd(t *rapid.T) {
	for _, c := range m.calls {
		if len(c.responses) != 1 {
			t.Fatalf("%s got %d responses", c.dispatch.call.Ctx.RequestID, len(c.responses))
		}
		a := c.responses[0]
		if c.starts > 0 && a.Code.Ran() == result.RanNo {
			t.Fatalf("%s started %d times, its caller gets %s", c.dispatch.call.Ctx.RequestID, c.starts, a.Code)
		}
		if a.Complete() && c.starts == 0 {
			t.Fatalf("%s never started, its caller gets %s", c.dispatch.call.Ctx.RequestID, a.Code)
		}
		if n := len(c.dispatch.handedBackBy); n > handback.MaxPerCall {
			t.Fatalf("%s was handed back %d times", c.dispatch.call.Ctx.RequestID, n)
		}
	}
}

// Guards against a call that is lost or starts twice because its guard is killed, or its sender sends
// it elsewhere, while it is handed back. By hand: -rapid.checks=10000.
func TestMovedCallsRunOnceAndAreAnswered(t *testing.T) {
	moved := 0
	rapid.Check(t, func(t *rapid.T) {
		m := newMoveModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"request": m.request, "request too": m.request, "deliver": m.deliver, "deliver too": m.deliver,
			"finish": m.finish, "tick": m.tick, "kill": m.kill,
		})
		m.settle()
		m.checkEnd(t)
		for _, c := range m.calls {
			moved += len(c.dispatch.handedBackBy)
		}
	})
	if moved == 0 {
		t.Fatal("no call was handed back")
	}
	t.Logf("%d hand-backs", moved)
}
