package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/result"
)

// attachment is one transmission of a call to the guard, with the responses that it got.
type attachment struct {
	call  *Call
	token int
	left  bool
	got   []*Response
}

// guardModel drives a guard in random order and tracks the state needed to check its
// invariants.
type guardModel struct {
	t         *rapid.T
	g         *Guard
	runner    *fakeRunner
	now       time.Time
	callCount int

	attachments []*attachment
	calls       []*Call
	// started holds the end time of each call that ran, by call ID; zero while it runs.
	started map[string]time.Time
	// keys holds the ID of the call that started and may have run, by key.
	keys map[string]string
	// spent holds how much of a call's allowance its children used or lost, by call ID.
	spent map[string]int
	// refusedReattach holds the time at which a re-attachment was answered with `ran: no`, by
	// call ID.
	refusedReattach map[string]time.Time
	// delayed are the calls whose first transmission has not arrived yet.
	delayed []*Call
	// claimingAtCrash holds the calls that waited for their claim when the upstream crashed.
	claimingAtCrash map[string]bool
	// handedBack holds the calls that were returned to their senders while they waited.
	handedBack map[string]bool
	draining   bool
}

func newGuardModel(t *rapid.T) *guardModel {
	m := &guardModel{
		t: t, now: epoch, runner: &fakeRunner{},
		started: map[string]time.Time{}, keys: map[string]string{},
		spent: map[string]int{}, refusedReattach: map[string]time.Time{},
		claimingAtCrash: map[string]bool{}, handedBack: map[string]bool{},
	}
	authority := &fakeAuthority{claims: rapid.Bool().Draw(t, "claims"), refuse: func() *result.Refusal {
		if rapid.IntRange(0, 9).Draw(t, "authority") > 0 {
			return nil
		}
		return result.Refuse(result.NoAuthority, "test")
	}}
	m.runner.onRun = m.onRun
	m.g = newGuard(2, m.runner, authority)
	m.g.SetHandBack(rapid.Bool().Draw(t, "hands back"))
	return m
}

// onRun fails the test when a call or a key is executed a second time.
func (m *guardModel) onRun(call *Call) {
	id := call.Ctx.CallID
	if m.claimingAtCrash[id] {
		m.t.Fatalf("call %s started after it was refused because its upstream crashed", id)
	}
	if m.handedBack[id] {
		m.t.Fatalf("call %s started after it was handed back", id)
	}
	if _, twice := m.started[id]; twice {
		m.t.Fatalf("call %s started twice", id)
	}
	if at, refused := m.refusedReattach[id]; refused {
		m.t.Fatalf("call %s started after it was refused at %s", id, at)
	}
	m.started[id] = time.Time{}
	if call.Keyed() {
		if before, running := m.keys[call.Ctx.Key]; running {
			m.t.Fatalf("key %s started by %s, may have run by %s", call.Ctx.Key, id, before)
		}
		m.keys[call.Ctx.Key] = id
	}
}

func (m *guardModel) arrive(t *rapid.T) {
	m.callCount++
	call := newCall(fmt.Sprintf("c%d", m.callCount), m.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms"))*time.Millisecond))
	call.Ctx.Level = 2
	call.Allowance = rapid.IntRange(0, 4).Draw(t, "allowance")
	switch rapid.IntRange(0, 2).Draw(t, "kind") {
	case 0:
		call.Ctx.Idempotent = true
	case 1:
		call.Ctx.Key = rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
		call.BodyHash = uint64(rapid.IntRange(0, 4).Draw(t, "body") / 4)
	}
	call.HandBacks = rapid.IntRange(0, 2).Draw(t, "hand backs")
	call.Spare = handback.SpareSlots{Free: float64(rapid.IntRange(0, 9).Draw(t, "free")), ValidUntil: m.now.Add(time.Second)}
	sender := dedup.Sender{Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "sender"), Incarnation: 1}
	call.Origin = dedup.Origin{Sender: sender, Number: uint64(m.callCount)}
	m.calls = append(m.calls, call)
	if rapid.IntRange(0, 4).Draw(t, "delayed") == 0 {
		m.delayed = append(m.delayed, call)
		return
	}
	m.send(call)
}

// arriveLate delivers a first transmission that was delayed on its way.
func (m *guardModel) arriveLate(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("nothing is delayed")
	}
	call := m.delayed[0]
	m.delayed = m.delayed[1:]
	if call.Ctx.Idempotent && m.expired(call.Ctx.CallID) {
		t.Skip("no longer retained, and safe to run again")
	}
	m.send(call)
}

// expired reports whether the guard may have forgotten a call.
func (m *guardModel) expired(id string) bool {
	ended, ran := m.started[id]
	if ran && !ended.IsZero() && m.now.Sub(ended) >= m.g.cfg.KeepDone {
		return true
	}
	at, refused := m.refusedReattach[id]
	return refused && m.now.Sub(at) >= m.g.cfg.KeepDone
}

// attach sends a call ID again, as a sender does when its connection is unresponsive.
func (m *guardModel) attach(t *rapid.T) {
	if len(m.calls) == 0 {
		t.Skip("no call yet")
	}
	reattachment := *rapid.SampledFrom(m.calls).Draw(t, "call")
	if reattachment.Ctx.Idempotent && m.expired(reattachment.Ctx.CallID) {
		t.Skip("no longer retained, and safe to run again")
	}
	reattachment.Reattach = true
	m.send(&reattachment)
}

func (m *guardModel) send(call *Call) {
	s := &attachment{call: call}
	token, response := m.g.Arrive(m.now, call, func(a *Response) { m.deliver(s, a) })
	s.token = token
	m.attachments = append(m.attachments, s)
	if response != nil {
		m.deliver(s, response)
	}
}

func (m *guardModel) deliver(s *attachment, a *Response) {
	if len(s.got) > 0 {
		m.t.Fatalf("attachment of %s was answered twice", s.call.Ctx.CallID)
	}
	s.got = append(s.got, a)
	if a.CallID != s.call.Ctx.CallID {
		m.t.Fatalf("attachment of %s got the response of %s", s.call.Ctx.CallID, a.CallID)
	}
	_, ran := m.started[a.CallID]
	if a.Code == result.HandedBack {
		m.handedBack[a.CallID] = true
		if ran || s.call.HandBacks == 0 || a.UnusedAllowance != s.call.Allowance {
			m.t.Fatalf("call %s was handed back: started %t, may be handed back %d times, returns %d of %d", a.CallID, ran, s.call.HandBacks, a.UnusedAllowance, s.call.Allowance)
		}
	}
	if a.UnusedAllowance > s.call.Allowance-m.spent[a.CallID] {
		m.t.Fatalf("call %s returns %d of its allowance of %d, %d spent", a.CallID, a.UnusedAllowance, s.call.Allowance, m.spent[a.CallID])
	}
	if s.call.Reattach && !ran && a.Code.Ran() == result.RanNo {
		m.refusedReattach[a.CallID] = m.now
	}
}

func (m *guardModel) leave(t *rapid.T) {
	waiting := slices.DeleteFunc(slices.Clone(m.attachments), func(s *attachment) bool { return s.left || len(s.got) > 0 })
	if len(waiting) == 0 {
		t.Skip("no attachment waits")
	}
	s := rapid.SampledFrom(waiting).Draw(t, "who")
	s.left = true
	m.g.Leave(m.now, s.call.Ctx.CallID, s.token)
}

func (m *guardModel) spend(t *rapid.T) {
	if len(m.runner.runs) == 0 {
		t.Skip("nothing runs")
	}
	id := rapid.SampledFrom(m.runner.runs).Draw(t, "call").Ctx.CallID
	_, account, ok := m.g.Parent(id)
	if !ok {
		t.Fatalf("running call %s is not known as a parent", id)
	}
	if account.Spend() {
		m.spent[id]++
	}
	share := account.Lend()
	back := rapid.IntRange(0, 5).Draw(t, "back")
	share.Return(back)
	share.Return(back)
	m.spent[id] += share.Amount() - min(back, share.Amount())
}

func (m *guardModel) finish(t *rapid.T) {
	if len(m.runner.runs) == 0 {
		t.Skip("nothing runs")
	}
	i := rapid.IntRange(0, len(m.runner.runs)-1).Draw(t, "run")
	call := m.runner.runs[i]
	m.runner.runs = slices.Delete(m.runner.runs, i, i+1)
	code := rapid.SampledFrom([]result.Code{
		result.OK, result.OK, result.UpstreamFailed, result.LostAnswer, result.UpstreamShed, result.CancelledRunning, result.NoAuthority,
	}).Draw(t, "code")
	m.end(call, code)
}

func (m *guardModel) end(call *Call, code result.Code) {
	m.started[call.Ctx.CallID] = m.now
	if code.Ran() == result.RanNo {
		delete(m.keys, call.Ctx.Key)
	}
	a := completeResponseOf(call, "a body that exceeds KeepDoneBytes, so that the response of each call is dropped")
	if code != result.OK && code != result.UpstreamFailed {
		a = refusedWith(call, code)
	}
	a.Code = code
	m.g.Finish(m.now, call.Ctx.CallID, a)
	m.g.Finish(m.now, call.Ctx.CallID, a) // a repeated report changes nothing
}

func (m *guardModel) claimed(t *rapid.T) {
	if len(m.runner.claims) == 0 {
		t.Skip("nothing claims")
	}
	call := m.runner.claims[0]
	m.runner.claims = m.runner.claims[1:]
	var refusal *result.Refusal
	if rapid.IntRange(0, 2).Draw(t, "lost") == 0 {
		refusal = result.Refuse(result.NoAuthority, "the log is unavailable")
	}
	m.g.Claimed(m.now, call.Ctx.CallID, refusal)
}

// crash ends every running call, then starts the upstream again.
func (m *guardModel) crash(*rapid.T) {
	m.g.UpstreamDown(m.now, "n")
	for _, call := range m.runner.claims {
		m.claimingAtCrash[call.Ctx.CallID] = true
	}
	for _, call := range m.runner.runs {
		m.end(call, result.LostAnswer)
	}
	m.runner.runs = nil
	m.now = m.now.Add(time.Millisecond)
	m.g.UpstreamUp(m.now, limits(2))
}

func (m *guardModel) tick(t *rapid.T) {
	ms := rapid.SampledFrom([]int{1, 10, 100, 1000, 11_000}).Draw(t, "ms")
	m.now = m.now.Add(time.Duration(ms) * time.Millisecond)
	m.g.Tick(m.now)
}

func (m *guardModel) drain(t *rapid.T) {
	if rapid.IntRange(0, 9).Draw(t, "drain") > 0 {
		t.Skip("not yet")
	}
	m.draining = true
	m.g.Drain(m.now)
}

// check verifies the invariants that hold after every action.
func (m *guardModel) check(t *rapid.T) {
	load := m.g.admission.Load()
	if len(m.runner.runs) > 2 {
		t.Fatalf("%d calls run in 2 slots", len(m.runner.runs))
	}
	claims := 0
	for _, call := range m.runner.claims {
		if !m.claimingAtCrash[call.Ctx.CallID] {
			claims++
		}
	}
	if busy := m.g.Busy(); busy < len(m.runner.runs)+claims {
		t.Fatalf("busy %d, %d run and %d claim", busy, len(m.runner.runs), claims)
	}
	if !m.draining && load.InFlight > 2 {
		t.Fatalf("%d calls in 2 slots", load.InFlight)
	}
	if m.g.doneBytes < 0 || m.g.doneBytes > m.g.cfg.KeepDoneBytes {
		t.Fatalf("%d bytes of responses retained, bound %d", m.g.doneBytes, m.g.cfg.KeepDoneBytes)
	}
}

// settle completes all work: claims first, since they start runs.
func (m *guardModel) settle() {
	for len(m.runner.claims)+len(m.runner.runs) > 0 {
		claims := m.runner.claims
		m.runner.claims = nil
		for _, call := range claims {
			m.g.Claimed(m.now, call.Ctx.CallID, nil)
		}
		runs := m.runner.runs
		m.runner.runs = nil
		for _, call := range runs {
			m.end(call, result.OK)
		}
	}
	for range 3 {
		m.now = m.now.Add(time.Minute)
		m.g.Tick(m.now)
	}
}

func (m *guardModel) checkEnd(t *rapid.T) {
	for _, s := range m.attachments {
		if !s.left && len(s.got) != 1 {
			t.Fatalf("attachment of %s got %d responses", s.call.Ctx.CallID, len(s.got))
		}
	}
	load := m.g.admission.Load()
	if m.g.Busy() != 0 || load.InFlight != 0 || load.Queued != 0 || len(m.g.calls) != len(m.g.recall.awaited) {
		t.Fatalf("busy %d, in flight %d, queued %d, retained %d after the end", m.g.Busy(), load.InFlight, load.Queued, len(m.g.calls))
	}
}

// Guards against a call that is answered twice or never, started twice, or leaks a slot, in any
// order of events.
func TestGuardModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newGuardModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive too": m.arrive, "arrive late": m.arriveLate, "attach": m.attach, "leave": m.leave,
			"spend": m.spend, "finish": m.finish, "claimed": m.claimed,
			"crash": m.crash, "tick": m.tick, "drain": m.drain, "": m.check,
		})
		m.settle()
		m.checkEnd(t)
	})
}
