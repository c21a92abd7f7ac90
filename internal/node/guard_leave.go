package node

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Leave detaches a caller that stopped waiting. A queued call without other callers leaves the
// queue. A running one is cancelled if it is safe to run again; a non-idempotent one continues
// to its deadline, because it may already have taken effect and its resend will need the
// response.
func (g *Guard) Leave(now time.Time, callID string, token int) {
	g.mu.Lock()
	var deferred callbacks
	if e, ok := g.joined[callID]; ok {
		g.leaveJoinLocked(callID, e)
		g.endUnwaitedLocked(now, e, &deferred)
	} else if e, ok := g.calls[callID]; ok && e.phase != phaseDone {
		e.leave(token)
		g.endUnwaitedLocked(now, e, &deferred)
	}
	g.mu.Unlock()
	deferred.run()
}

// StillWanted reports whether a caller waits for a running call that is about to be sent to the upstream. It is
// the last moment to end one that is not safe to run again.
func (g *Guard) StillWanted(callID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.calls[callID]
	return ok && e.isWaitedFor()
}

// isWaitedFor reports whether a caller waits for the response. All transmissions of a call have one sender:
// one that left by the newest transmission does not wait for the earlier ones, whose connections may
// have become unresponsive and never show it.
func (e *execution) isWaitedFor() bool {
	if len(e.joins) > 0 {
		return true
	}
	return len(e.waiters) > 0 && e.waiters[len(e.waiters)-1].token > e.leftThrough
}

// leave records that a caller left by a transmission. The last one of a queued call stays attached, to
// receive the refusal, which says that nothing ran.
func (e *execution) leave(token int) {
	e.leftThrough = max(e.leftThrough, token)
	if e.phase == phaseQueued && !e.isWaitedFor() {
		return
	}
	e.waiters = slices.DeleteFunc(e.waiters, func(x attachedWaiter) bool { return x.token == token })
}

// leaveJoinLocked detaches a call that waited for another one with its key.
func (g *Guard) leaveJoinLocked(callID string, e *execution) {
	delete(g.joined, callID)
	e.joins = slices.DeleteFunc(e.joins, func(j joinedCall) bool { return j.call.Ctx.CallID == callID })
}

// endUnwaitedLocked ends a call without callers, as far as it may end.
func (g *Guard) endUnwaitedLocked(now time.Time, e *execution, deferred *callbacks) {
	switch {
	case e.phase == phaseQueued && !e.isWaitedFor():
		decisions := g.admission.Abandon(now, e.call.Ctx.CallID)
		refusal := leaveRefusal(now, e.call)
		g.events.refused(now, e.call, refusal)
		g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), deferred)
		g.applyLocked(now, decisions, deferred)
	case e.cancellable() && e.cancel != nil:
		g.events.cancelled(now, e.call, "the running call has no caller left")
		deferred.add(e.cancel)
	}
}

// cancellable reports whether a running call should be cancelled: no caller waits for it, and
// it is safe to run again.
func (e *execution) cancellable() bool {
	return e.phase == phaseRunning && e.call.Ctx.Idempotent && !e.isWaitedFor()
}

// leaveRefusal returns the refusal of a call that its callers left before it ran.
func leaveRefusal(now time.Time, call *Call) *result.Refusal {
	if call.Remaining(now) <= 0 {
		return result.Refuse(result.DeadlineTooNear, "the deadline passed while the call waited")
	}
	return result.Refuse(result.Cancelled, "the caller left")
}
