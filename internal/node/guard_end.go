package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// endLocked ends a call: it records the outcome of the key, closes the account and schedules
// the response for every waiter.
func (g *Guard) endLocked(now time.Time, e *execution, a *Response, deferred *callbacks) {
	e.phase = phaseDone
	e.ended = now
	a.UnusedAllowance = e.account.Close()
	a.Load = g.loadLocked()
	a.ShedThreshold = e.shedThreshold
	a.SheddingService = e.sheddingService
	e.response = a
	g.settleKeyLocked(now, e.call, a)
	for _, x := range e.waiters {
		deferred.add(func() { x.waiter(a) })
	}
	for _, j := range e.joins {
		delete(g.joined, j.call.Ctx.CallID)
		response := joinedResponse(j.call.Ctx.CallID, a)
		if j.call.Reattach && !a.Complete() {
			g.keepReattachmentLocked(now, j.call, response)
		}
		deferred.add(func() { j.waiter(response) })
	}
	e.waiters = nil
	e.joins = nil
	g.keepLocked(now, e)
}

// settleKeyLocked records the outcome of the call's key. A resend with the key runs only after a
// code that guarantees "not run".
func (g *Guard) settleKeyLocked(now time.Time, call *Call, a *Response) {
	if !call.Keyed() {
		return
	}
	key := call.IdempotencyKey()
	switch {
	case a.Complete():
		g.keys.Finish(now, key, call.Ctx.CallID, idempotency.Response{
			Code: a.Code, Status: a.Status, Header: a.Header, Body: a.Body,
		})
	case a.Code.Ran() == result.RanNo:
		g.keys.NotRun(now, key, call.Ctx.CallID)
	default:
		g.keys.MarkOutcomeUnknown(now, key, call.Ctx.CallID)
	}
}

func (g *Guard) releaseKeyLocked(now time.Time, call *Call) {
	if call.Keyed() {
		g.keys.NotRun(now, call.IdempotencyKey(), call.Ctx.CallID)
	}
}

// keepLocked retains a finished call for re-attachments, within the limits of the
// configuration. These cover responses only, so its request is not retained.
func (g *Guard) keepLocked(now time.Time, e *execution) {
	e.finished = finishedOf(e.call)
	e.served = e.served || e.call.HasPriorWork
	e.call, e.account, e.cancel = nil, nil, nil
	g.done = append(g.done, e)
	g.doneBytes += int64(len(e.response.Body))
	g.trimLocked(now)
}

func (g *Guard) trimLocked(now time.Time) {
	n := 0
	for n < len(g.done) && now.Sub(g.done[n].ended) >= g.cfg.KeepDone {
		g.expireLocked(g.done[n])
		g.done[n] = nil
		n++
	}
	g.done = g.done[n:]
	g.strippedCount = max(0, g.strippedCount-n)
	for g.doneBytes > g.cfg.KeepDoneBytes && g.strippedCount < len(g.done) {
		g.stripLocked(g.done[g.strippedCount])
		g.strippedCount++
	}
}

// expireLocked ends the retention of a finished call.
func (g *Guard) expireLocked(e *execution) {
	forgotten := e
	if e.finished.awaitsFirstTransmission() {
		g.stripLocked(e)
		forgotten = g.recall.keep(e)
	}
	if forgotten == nil {
		return
	}
	g.doneBytes -= int64(len(forgotten.response.Body))
	delete(g.calls, forgotten.finished.id)
	g.recall.forget(&forgotten.finished)
}

// stripLocked drops the response of a finished call but keeps its call ID: without the ID, a
// re-attachment would run the call a second time. A refusal has no body and is kept.
func (g *Guard) stripLocked(e *execution) {
	if len(e.response.Body) == 0 {
		return
	}
	g.doneBytes -= int64(len(e.response.Body))
	e.response = Refused(e.finished.id, result.Refuse(result.LostAnswer, "the call ran, and its response is no longer stored"))
}

// keepReattachmentLocked retains the response to a re-attachment whose call ID was never seen
// here. The first transmission may still be delivered by the unresponsive connection. It must
// get the same response, or a call that was reported as not run would run after all.
func (g *Guard) keepReattachmentLocked(now time.Time, call *Call, a *Response) {
	if _, known := g.calls[call.Ctx.CallID]; known {
		return
	}
	e := &execution{call: call, phase: phaseDone, arrived: now, ended: now, response: a}
	g.calls[call.Ctx.CallID] = e
	g.keepLocked(now, e)
}

func replayedResponse(call *Call, stored *idempotency.Response) *Response {
	return &Response{
		CallID:          call.Ctx.CallID,
		Code:            result.Replayed,
		Status:          stored.Status,
		Header:          stored.Header,
		Body:            stored.Body,
		UnusedAllowance: call.Allowance,

		ShedThreshold: routing.NoThreshold,
	}
}

// joinedResponse returns the response of a running attempt for another attempt with its key.
// The joined call spent nothing of its allowance, but its share is not returned: an unreturned
// share counts as spent, so that the allowance is never exceeded.
func joinedResponse(callID string, a *Response) *Response {
	c := *a
	c.CallID = callID
	c.UnusedAllowance = 0
	if c.Complete() {
		c.Code = result.Replayed
	}
	return &c
}
