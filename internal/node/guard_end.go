package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// endLocked settles the key, closes the account and owes everyone the answer.
func (g *Guard) endLocked(now time.Time, e *execution, a *Response, d *due) {
	e.phase = phaseDone
	e.ended = now
	a.Unused = e.account.Close()
	a.Load = g.loadLocked()
	a.ShedsFrom = e.shedsFrom
	a.ShedsBy = e.shedsBy
	e.answer = a
	g.settleKeyLocked(now, e.call, a)
	for _, w := range e.waiters {
		*d = append(*d, func() { w(a) })
	}
	for _, j := range e.joins {
		answer := joinedAnswer(j.call.Ctx.CallID, a)
		if j.call.Reattach && !a.Whole() {
			g.remember(now, j.call, answer)
		}
		*d = append(*d, func() { j.wake(answer) })
	}
	e.waiters = nil
	e.joins = nil
	g.keepLocked(now, e)
}

// settleKeyLocked records what is now known about the key. Only a code that
// promises "not run" lets a resend run again.
func (g *Guard) settleKeyLocked(now time.Time, call *Call, a *Response) {
	if !call.Keyed() {
		return
	}
	key := call.IdempotencyKey()
	switch {
	case a.Whole():
		g.keys.Finish(now, key, call.Ctx.CallID, idempotency.Response{
			Code: a.Code, Status: a.Status, Header: a.Header, Body: a.Body,
		})
	case a.Code.Ran() == result.RanNo:
		g.keys.NotRun(now, key, call.Ctx.CallID)
	default:
		g.keys.Lost(now, key, call.Ctx.CallID)
	}
}

func (g *Guard) forgetKeyLocked(now time.Time, call *Call) {
	if call.Keyed() {
		g.keys.NotRun(now, call.IdempotencyKey(), call.Ctx.CallID)
	}
}

// keepLocked keeps a finished call for re-attachments, within its bounds.
func (g *Guard) keepLocked(now time.Time, e *execution) {
	if len(e.call.Body) > 0 {
		// Nothing bounds the bodies of requests once they have ended.
		e.call = &Call{Ctx: e.call.Ctx}
	}
	g.done = append(g.done, e)
	g.doneBytes += int64(len(e.answer.Body))
	g.trimLocked(now)
}

func (g *Guard) trimLocked(now time.Time) {
	n := 0
	for n < len(g.done) && now.Sub(g.done[n].ended) >= g.cfg.KeepDone {
		oldest := g.done[n]
		g.doneBytes -= int64(len(oldest.answer.Body))
		delete(g.calls, oldest.call.Ctx.CallID)
		g.done[n] = nil
		n++
	}
	g.done = g.done[n:]
	g.bare = max(0, g.bare-n)
	for g.doneBytes > g.cfg.KeepDoneBytes && g.bare < len(g.done) {
		g.stripLocked(g.done[g.bare])
		g.bare++
	}
}

// stripLocked gives up the answer of a finished call but not its call ID: were
// the ID forgotten too, a re-attachment would run the call a second time. A
// refusal has no body and stays as it was.
func (g *Guard) stripLocked(e *execution) {
	if len(e.answer.Body) == 0 {
		return
	}
	g.doneBytes -= int64(len(e.answer.Body))
	e.answer = Refused(e.call.Ctx.CallID, result.Refuse(result.LostAnswer, "the call ran, and its answer is no longer held"))
}

// remember keeps the answer given to a re-attachment whose call was never seen
// here. The first sending may lie in the connection that went silent and be
// delivered yet: it must find the same answer, or a call said not to have run
// would run after all.
func (g *Guard) remember(now time.Time, call *Call, a *Response) {
	if _, known := g.calls[call.Ctx.CallID]; known {
		return
	}
	e := &execution{call: call, phase: phaseDone, arrived: now, ended: now, answer: a}
	g.calls[call.Ctx.CallID] = e
	g.keepLocked(now, e)
}

// Leave says that the holder of an attachment is gone. Waiting calls nobody
// waits for give up their place. Running ones are cancelled if running them
// again does no harm; a non-idempotent one goes on to its deadline, because
// its effect may have begun and its resend will want the answer.
func (g *Guard) Leave(now time.Time, callID string, token int) {
	g.mu.Lock()
	e, ok := g.calls[callID]
	if !ok || e.phase == phaseDone {
		g.mu.Unlock()
		return
	}
	var d due
	_, attached := e.waiters[token]
	last := attached && len(e.waiters) == 1 && len(e.joins) == 0
	if e.phase == phaseQueued && last {
		// The leaver is still attached and hears that nothing ran.
		decisions := g.admission.Abandon(now, callID)
		refusal := leftRefusal(now, e.call)
		g.observer.refused(now, e.call, refusal)
		g.endLocked(now, e, Refused(callID, refusal), &d)
		g.applyLocked(now, decisions, &d)
	} else {
		delete(e.waiters, token)
		if e.doomed() && e.cancel != nil {
			g.observer.cancelled(now, e.call, "nobody waits for the running call")
			d = append(d, e.cancel)
		}
	}
	g.mu.Unlock()
	d.settle()
}

// leftRefusal says why a call left the queue before it ran.
func leftRefusal(now time.Time, call *Call) *result.Refusal {
	if call.Ctx.Remaining(now) <= 0 {
		return result.Refuse(result.DeadlineTooNear, "the deadline passed while the call waited")
	}
	return result.Refuse(result.Cancelled, "the caller left")
}

func replayed(call *Call, kept *idempotency.Response) *Response {
	return &Response{
		CallID: call.Ctx.CallID,
		Code:   result.Replayed,
		Status: kept.Status,
		Header: kept.Header,
		Body:   kept.Body,
		Unused: call.Allowance,

		ShedsFrom: routing.NoThreshold,
	}
}

// joinedAnswer gives the answer of the running attempt to another with its
// key. The joined call used nothing of its allowance, and its share is not
// reported: an unreported share counts as spent, which errs on the safe side.
func joinedAnswer(callID string, a *Response) *Response {
	c := *a
	c.CallID = callID
	c.Unused = 0
	if c.Whole() {
		c.Code = result.Replayed
	}
	return &c
}
