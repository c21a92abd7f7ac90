package node

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// inbox records the responses delivered to one attachment.
type inbox struct{ got []*Response }

func (i *inbox) put(a *Response) { i.got = append(i.got, a) }

// Guards against a call that left the queue before it ran being reported with an unknown
// outcome.
func TestLeavingTheQueueIsReportedAsNotRun(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(1, runner, &fakeAuthority{})
	var busy, waiting inbox
	g.Arrive(epoch, newCall("busy", epoch.Add(time.Minute)), busy.put)
	token, response := g.Arrive(epoch, newCall("queued", epoch.Add(time.Second)), waiting.put)
	must.Nil(t, response)
	g.Leave(epoch.Add(time.Second), "queued", token)
	must.Len(t, 1, waiting.got)
	must.EqOp(t, result.DeadlineTooNear, waiting.got[0].Code)
	must.EqOp(t, result.RanNo, waiting.got[0].Code.Ran())
	must.Len(t, 1, runner.runs)
	must.EqOp(t, 1, g.Busy())
}

// Guards against a run without a receiver. A caller leaves just after its call got a slot,
// before the runner has set the cancel function, and the upstream runs the call to its end.
func TestLeaveBeforeOnCancelCancelsTheRun(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("early", epoch.Add(time.Minute))
	call.Ctx.Idempotent = true
	token, _ := g.Arrive(epoch, call, func(*Response) {})
	g.Leave(epoch, "early", token)
	cancelled := false
	g.OnCancel("early", func() { cancelled = true })
	must.True(t, cancelled)
}

// Guards against a keyed call being cancelled when its caller leaves. A resend of the key needs
// its response.
func TestKeyedCallIsNotCancelled(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("letter", epoch.Add(time.Minute))
	call.Ctx.Key = "k"
	token, _ := g.Arrive(epoch, call, func(*Response) {})
	cancelled := false
	g.OnCancel("letter", func() { cancelled = true })
	g.Leave(epoch, "letter", token)
	must.False(t, cancelled)
	g.Finish(epoch, "letter", completeResponseOf(call, "signed"))
	again := newCall("letter-again", epoch.Add(time.Minute))
	again.Ctx.Key = "k"
	_, response := g.Arrive(epoch, again, func(*Response) {})
	must.EqOp(t, result.Replayed, response.Code)
	must.Eq(t, "signed", string(response.Body))
	must.EqOp(t, "letter-again", response.CallID)
}

// Guards against a refusal being delivered twice, as the result of Arrive and through the
// waiter. The authority permits the call on arrival and refuses it right before dispatch.
func TestRefusalAtDispatchIsDeliveredOnce(t *testing.T) {
	checks := 0
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{refuse: func() *result.Refusal {
		checks++
		if checks == 1 {
			return nil
		}
		return result.Refuse(result.NoAuthority, "lapsed")
	}})
	call := newCall("lapsed", epoch.Add(time.Minute))
	call.Ctx.Key = "k"
	var waiter inbox
	_, response := g.Arrive(epoch, call, waiter.put)
	must.EqOp(t, result.NoAuthority, response.Code)
	must.SliceEmpty(t, waiter.got)
}

// Guards against a second run of a call whose ID was evicted along with its response. A re-attachment
// arrives after the response was dropped to stay within KeepDoneBytes.
func TestEvictedResponseKeepsItsCallID(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(2, runner, &fakeAuthority{})
	first := newCall("first", epoch.Add(time.Minute))
	g.Arrive(epoch, first, func(*Response) {})
	g.Finish(epoch, "first", completeResponseOf(first, "done"))
	large := newCall("large", epoch.Add(time.Minute))
	g.Arrive(epoch, large, func(*Response) {})
	g.Finish(epoch, "large", completeResponseOf(large, strings.Repeat("x", 100)))
	again := newCall("first", epoch.Add(time.Minute))
	again.Reattach = true
	_, response := g.Arrive(epoch.Add(time.Second), again, func(*Response) {})
	must.Len(t, 2, runner.runs)
	must.NotNil(t, response)
	must.EqOp(t, result.LostAnswer, response.Code)
	g.Tick(epoch.Add(time.Minute))
	must.EqOp(t, 0, g.Busy())
	must.MapEmpty(t, g.calls)
}

// Guards against queued calls that get crash records, or are never answered, when the upstream
// crashes.
func TestUpstreamCrashRefusesQueuedCalls(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(1, runner, &fakeAuthority{})
	var ran, second, third inbox
	running := newCall("a", epoch.Add(time.Minute))
	g.Arrive(epoch, running, ran.put)
	g.Arrive(epoch, newCall("b", epoch.Add(time.Minute)), second.put)
	g.Arrive(epoch, newCall("c", epoch.Add(time.Minute)), third.put)
	_, records, first := g.UpstreamDown(epoch.Add(time.Second), "n")
	must.True(t, first)
	must.Len(t, 1, records)
	g.Finish(epoch.Add(time.Second), "a", refusedWith(running, result.LostAnswer))
	must.EqOp(t, result.NoUpstream, second.got[0].Code)
	must.EqOp(t, result.NoUpstream, third.got[0].Code)
	must.EqOp(t, result.RanUnknown, ran.got[0].Code.Ran())
	must.Len(t, 1, runner.runs)
	must.EqOp(t, 0, g.Busy())
}

// Guards against two different requests running under one key. The second one arrives with
// another body and must be refused.
func TestResendWithAnotherBodyIsRefused(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(2, runner, &fakeAuthority{})
	one := newCall("one", epoch.Add(time.Minute))
	one.Ctx.Key, one.BodyHash = "k", 1
	two := newCall("two", epoch.Add(time.Minute))
	two.Ctx.Key, two.BodyHash = "k", 2
	g.Arrive(epoch, one, func(*Response) {})
	_, response := g.Arrive(epoch, two, func(*Response) {})
	must.EqOp(t, result.KeyReused, response.Code)
	must.EqOp(t, 422, response.Code.HTTPStatus())
	must.Len(t, 1, runner.runs)
}

// Guards against a call running after its re-attachment was answered with `ran: no`. The re-attachment
// joined another call with the same key, and the claim of that call failed; the first
// transmission arrives afterwards.
func TestJoinedReattachmentRefusalIsFinal(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(2, runner, &fakeAuthority{claims: true})
	one := newCall("one", epoch.Add(time.Minute))
	one.Ctx.Key = "k"
	late := newCall("two", epoch.Add(time.Minute))
	late.Ctx.Key = "k"
	again := *late
	again.Reattach = true
	var joined inbox
	g.Arrive(epoch, one, func(*Response) {})
	g.Arrive(epoch, &again, joined.put)
	g.Claimed(epoch, "one", result.Refuse(result.NoAuthority, "the log is unavailable"))
	must.EqOp(t, result.RanNo, joined.got[0].Code.Ran())
	_, response := g.Arrive(epoch, late, func(*Response) {})
	must.NotNil(t, response)
	must.EqOp(t, result.NoAuthority, response.Code)
	must.Len(t, 1, runner.claims)
	must.SliceEmpty(t, runner.runs)
}

// Guards against the bodies of finished requests being retained as long as their responses,
// without a bound.
func TestFinishedCallsReleaseTheirBody(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("large", epoch.Add(time.Minute))
	call.Body = make([]byte, 1<<20)
	g.Arrive(epoch, call, func(*Response) {})
	g.Finish(epoch, "large", completeResponseOf(call, "x"))
	must.Nil(t, g.calls["large"].call)
}

// Guards against a call running after its re-attachment was answered with `ran: no`. The first
// transmission arrives after the re-attachment.
func TestReattachmentRefusalIsFinal(t *testing.T) {
	runner := &fakeRunner{}
	g := NewGuard(DefaultGuardConfig(), 1, runner, &fakeAuthority{}, epoch)
	late := newCall("a", epoch.Add(time.Minute))
	reattachment := *late
	reattachment.Reattach = true
	_, response := g.Arrive(epoch, &reattachment, func(*Response) {})
	must.EqOp(t, result.NoUpstream, response.Code)
	g.UpstreamUp(epoch, limits(2))
	_, response = g.Arrive(epoch.Add(time.Second), late, func(*Response) {})
	must.NotNil(t, response)
	must.EqOp(t, result.NoUpstream, response.Code)
	must.SliceEmpty(t, runner.runs)
}

// Guards against a stopping node refusing calls that are short enough to finish before the
// stop, when it runs the last upstream.
func TestStoppingNodeServesShortCalls(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	now := epoch
	for i := range 40 {
		id := "usual-" + strconv.Itoa(i)
		g.Arrive(now, newCall(id, now.Add(time.Minute)), func(*Response) {})
		now = now.Add(50 * time.Millisecond)
		g.Finish(now, id, completeResponseOf(newCall(id, now), "ok"))
	}
	g.SetStopTime(now.Add(time.Second))
	var in inbox
	_, response := g.Arrive(now.Add(700*time.Millisecond), newCall("short", now.Add(time.Minute)), in.put)
	must.Nil(t, response)
	g.Finish(now.Add(750*time.Millisecond), "short", completeResponseOf(newCall("short", now), "ok"))
	_, response = g.Arrive(now.Add(900*time.Millisecond), newCall("late", now.Add(time.Minute)), in.put)
	must.NotNil(t, response)
	must.EqOp(t, result.Draining, response.Code)
}
