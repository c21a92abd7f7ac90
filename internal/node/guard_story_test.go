package node

import (
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// inbox is the waiter of one attachment.
type inbox struct{ got []*Response }

func (i *inbox) put(a *Response) { i.got = append(i.got, a) }

// Guards against a call that left the queue unrun being told that its outcome is unknown.
func TestLeavingTheQueueIsToldNotRun(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(1, runner, &fakeAuthority{})
	var busy, waiting inbox
	g.Arrive(epoch, newCall("busy", epoch.Add(time.Minute)), busy.put)
	token, answer := g.Arrive(epoch, newCall("queued", epoch.Add(time.Second)), waiting.put)
	must.Nil(t, answer)
	g.Leave(epoch.Add(time.Second), "queued", token)
	must.Len(t, 1, waiting.got)
	must.EqOp(t, result.DeadlineTooNear, waiting.got[0].Code)
	must.EqOp(t, result.RanNo, waiting.got[0].Code.Ran())
	must.Len(t, 1, runner.runs)
	must.EqOp(t, 1, g.Busy())
}

// A caller leaves just after its call got a slot, before the runner said how
// to cancel it. The upstream then worked to the end for nobody.
func TestLeavingBeforeTheCancelIsKnown(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("early", epoch.Add(time.Minute))
	call.Ctx.Idempotent = true
	token, _ := g.Arrive(epoch, call, func(*Response) {})
	g.Leave(epoch, "early", token)
	cancelled := false
	g.OnCancel("early", func() { cancelled = true })
	must.True(t, cancelled)
}

// A call that must run once loses its caller; a resend will want the answer.
func TestKeyedCallIsNotCancelled(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("letter", epoch.Add(time.Minute))
	call.Ctx.Key = "k"
	token, _ := g.Arrive(epoch, call, func(*Response) {})
	cancelled := false
	g.OnCancel("letter", func() { cancelled = true })
	g.Leave(epoch, "letter", token)
	must.False(t, cancelled)
	g.Finish(epoch, "letter", wholeAnswerOf(call, "signed"))
	again := newCall("letter-again", epoch.Add(time.Minute))
	again.Ctx.Key = "k"
	_, answer := g.Arrive(epoch, again, func(*Response) {})
	must.EqOp(t, result.Replayed, answer.Code)
	must.Eq(t, "signed", string(answer.Body))
	must.EqOp(t, "letter-again", answer.CallID)
}

// A guard is refused its authority right before dispatch. The sender got the
// refusal twice, as the result of Arrive and through its waiter.
func TestRefusalAtDispatchIsToldOnce(t *testing.T) {
	asked := 0
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{refuse: func() *result.Refusal {
		asked++
		if asked == 1 {
			return nil
		}
		return result.Refuse(result.NoAuthority, "lapsed")
	}})
	call := newCall("lapsed", epoch.Add(time.Minute))
	call.Ctx.Key = "k"
	var waiter inbox
	_, answer := g.Arrive(epoch, call, waiter.put)
	must.EqOp(t, result.NoAuthority, answer.Code)
	must.SliceEmpty(t, waiter.got)
}

// Guards against a second run of a call whose ID was evicted along with its answer.
func TestBytesOfAnswersDoNotForgetCallIDs(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(2, runner, &fakeAuthority{})
	first := newCall("first", epoch.Add(time.Minute))
	g.Arrive(epoch, first, func(*Response) {})
	g.Finish(epoch, "first", wholeAnswerOf(first, "done"))
	large := newCall("large", epoch.Add(time.Minute))
	g.Arrive(epoch, large, func(*Response) {})
	g.Finish(epoch, "large", wholeAnswerOf(large, strings.Repeat("x", 100)))
	again := newCall("first", epoch.Add(time.Minute))
	again.Reattach = true
	_, answer := g.Arrive(epoch.Add(time.Second), again, func(*Response) {})
	must.Len(t, 2, runner.runs)
	must.NotNil(t, answer)
	must.EqOp(t, result.LostAnswer, answer.Code)
	g.Tick(epoch.Add(time.Minute))
	must.EqOp(t, 0, g.Busy())
	must.MapEmpty(t, g.calls)
}

// Guards against queued calls that are suspected, or left waiting, when the upstream dies.
func TestUpstreamDiesWithCallsQueued(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(1, runner, &fakeAuthority{})
	var ran, second, third inbox
	running := newCall("a", epoch.Add(time.Minute))
	g.Arrive(epoch, running, ran.put)
	g.Arrive(epoch, newCall("b", epoch.Add(time.Minute)), second.put)
	g.Arrive(epoch, newCall("c", epoch.Add(time.Minute)), third.put)
	_, suspects, first := g.UpstreamDown(epoch.Add(time.Second), "n")
	must.True(t, first)
	must.Len(t, 1, suspects)
	g.Finish(epoch.Add(time.Second), "a", refusedWith(running, result.LostAnswer))
	must.EqOp(t, result.NoUpstream, second.got[0].Code)
	must.EqOp(t, result.NoUpstream, third.got[0].Code)
	must.EqOp(t, result.RanUnknown, ran.got[0].Code.Ran())
	must.Len(t, 1, runner.runs)
	must.EqOp(t, 0, g.Busy())
}

// A resend of a key comes with another body: two different letters under one
// key. The second is refused and does not run.
func TestResendWithAnotherBody(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(2, runner, &fakeAuthority{})
	one := newCall("one", epoch.Add(time.Minute))
	one.Ctx.Key, one.BodyHash = "k", 1
	two := newCall("two", epoch.Add(time.Minute))
	two.Ctx.Key, two.BodyHash = "k", 2
	g.Arrive(epoch, one, func(*Response) {})
	_, answer := g.Arrive(epoch, two, func(*Response) {})
	must.EqOp(t, result.KeyReused, answer.Code)
	must.EqOp(t, 422, answer.Code.HTTPStatus())
	must.Len(t, 1, runner.runs)
}

// Guards against a call running after its joined re-attachment was told `ran: no`.
func TestRefusalOfAJoinedReattachmentStays(t *testing.T) {
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
	g.Claimed(epoch, "one", result.Refuse(result.NoAuthority, "the log is out"))
	must.EqOp(t, result.RanNo, joined.got[0].Code.Ran())
	_, answer := g.Arrive(epoch, late, func(*Response) {})
	must.NotNil(t, answer)
	must.EqOp(t, result.NoAuthority, answer.Code)
	must.Len(t, 1, runner.claims)
	must.SliceEmpty(t, runner.runs)
}

// Large requests end one after another. Their bodies stayed in memory for as
// long as their answers, and nothing bounded them.
func TestEndedCallsHoldNoBody(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	call := newCall("large", epoch.Add(time.Minute))
	call.Body = make([]byte, 1<<20)
	g.Arrive(epoch, call, func(*Response) {})
	g.Finish(epoch, "large", wholeAnswerOf(call, "x"))
	must.SliceEmpty(t, g.calls["large"].call.Body)
}

// Guards against a call running after its re-attachment was told `ran: no`.
func TestRefusalOfAReattachmentStays(t *testing.T) {
	runner := &fakeRunner{}
	g := NewGuard(DefaultGuardConfig(), 1, runner, &fakeAuthority{}, epoch)
	late := newCall("a", epoch.Add(time.Minute))
	again := *late
	again.Reattach = true
	_, answer := g.Arrive(epoch, &again, func(*Response) {})
	must.EqOp(t, result.NoUpstream, answer.Code)
	g.UpstreamUp(epoch, limits(2))
	_, answer = g.Arrive(epoch.Add(time.Second), late, func(*Response) {})
	must.NotNil(t, answer)
	must.EqOp(t, result.NoUpstream, answer.Code)
	must.SliceEmpty(t, runner.runs)
}

// Guards against short calls refused by a stopping node that holds the last upstream.
func TestStoppingNodeTakesWhatEndsInTime(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	now := epoch
	for i := range 40 {
		id := "usual-" + strconv.Itoa(i)
		g.Arrive(now, newCall(id, now.Add(time.Minute)), func(*Response) {})
		now = now.Add(50 * time.Millisecond)
		g.Finish(now, id, wholeAnswerOf(newCall(id, now), "ok"))
	}
	g.EndBy(now.Add(time.Second))
	var in inbox
	_, answer := g.Arrive(now.Add(700*time.Millisecond), newCall("short", now.Add(time.Minute)), in.put)
	must.Nil(t, answer)
	g.Finish(now.Add(750*time.Millisecond), "short", wholeAnswerOf(newCall("short", now), "ok"))
	_, answer = g.Arrive(now.Add(900*time.Millisecond), newCall("late", now.Add(time.Minute)), in.put)
	must.NotNil(t, answer)
	must.EqOp(t, result.Draining, answer.Code)
}
