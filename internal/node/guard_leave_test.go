package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// idempotentCall returns a call that may run again.
func idempotentCall(id string) *Call {
	call := newCall(id, epoch.Add(time.Minute))
	call.Ctx.Idempotent = true
	return call
}

// Guards against a run without a receiver: the sender has left, and the close of its first connection, which
// became unresponsive, never arrives.
func TestSenderLeavesByItsSecondTransmission(t *testing.T) {
	for _, queued := range []bool{false, true} {
		g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
		if queued {
			g.Arrive(epoch, newCall("busy", epoch.Add(time.Minute)), func(*Response) {})
		}
		var first, second inbox
		g.Arrive(epoch, idempotentCall("call"), first.put)
		cancelled := false
		g.OnCancel("call", func() { cancelled = true })
		token, response := g.Arrive(epoch, idempotentCall("call"), second.put)
		must.Nil(t, response)
		g.Leave(epoch.Add(time.Second), "call", token)
		must.EqOp(t, !queued, cancelled)
		if queued {
			must.EqOp(t, result.Cancelled, first.got[0].Code)
			continue
		}
		g.Finish(epoch.Add(time.Second), "call", Refused("call", result.Refuse(result.CancelledRunning, "cancelled")))
		must.Len(t, 1, first.got)
	}
}

// Guards against a run that is cancelled because the connection of its first transmission ends while the
// sender waits for the second one.
func TestSecondTransmissionKeepsTheRun(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	token, _ := g.Arrive(epoch, idempotentCall("call"), func(*Response) {})
	g.OnCancel("call", func() { t.Fatal("cancelled") })
	g.Arrive(epoch, idempotentCall("call"), func(*Response) {})
	g.Leave(epoch, "call", token)
}

// Guards against a call that runs after its claim though its caller left while the claim was written.
func TestCallIsNotRunAfterItsCallerLeftDuringTheClaim(t *testing.T) {
	runner := &fakeRunner{}
	g := newGuard(1, runner, &fakeAuthority{claims: true})
	call := newCall("letter", epoch.Add(time.Minute))
	call.Ctx.Key = "k"
	token, _ := g.Arrive(epoch, call, func(*Response) {})
	g.Leave(epoch, "letter", token)
	g.Claimed(epoch, "letter", nil)
	must.SliceEmpty(t, runner.runs)
	must.EqOp(t, 0, g.Busy())
}

// Guards against a call that stays queued for callers of its key that have all left.
func TestQueuedCallEndsWithItsLastJoinedCaller(t *testing.T) {
	g := newGuard(1, &fakeRunner{}, &fakeAuthority{})
	g.Arrive(epoch, newCall("busy", epoch.Add(time.Minute)), func(*Response) {})
	tokens := map[string]int{}
	for _, id := range []string{"own", "joined"} {
		call := newCall(id, epoch.Add(time.Minute))
		call.Ctx.Key = "k"
		var response *Response
		tokens[id], response = g.Arrive(epoch, call, func(*Response) {})
		must.Nil(t, response)
	}
	g.Leave(epoch, "own", tokens["own"])
	must.EqOp(t, 2, g.Busy())
	g.Leave(epoch, "joined", tokens["joined"])
	must.EqOp(t, 1, g.Busy())
	must.MapEmpty(t, g.joined)
}
