package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Arrive handles a call that was sent to this guard. When it returns no response, w receives
// the response later, and the token identifies this attachment to the call for Leave.
func (g *Guard) Arrive(now time.Time, call *Call, w Waiter) (token int, response *Response) {
	g.mu.Lock()
	var deferred callbacks
	g.mergeNoticeLocked(now, call.KnownNotice, &deferred)
	g.moves.note(now, call)
	token, response = g.arriveLocked(now, call, w, &deferred)
	g.handBackLocked(now, &deferred)
	g.mu.Unlock()
	deferred.run()
	return token, response
}

func (g *Guard) arriveLocked(now time.Time, call *Call, w Waiter, deferred *callbacks) (int, *Response) {
	if e, ok := g.calls[call.Ctx.CallID]; ok {
		return e.attach(w)
	}
	token, response := g.decideLocked(now, call, w, deferred)
	if response != nil && !response.Complete() {
		g.events.refused(now, call, response.Refusal)
	}
	if response != nil && call.Reattach {
		g.keepReattachmentLocked(now, call, response)
	}
	return token, response
}

// attach adds a waiter to a call that is already here. The connection of an earlier
// transmission became unresponsive, and the call must not run again because of that.
func (e *execution) attach(w Waiter) (int, *Response) {
	if e.phase == phaseDone {
		return 0, e.response
	}
	e.lastToken++
	e.waiters = append(e.waiters, attachedWaiter{e.lastToken, w})
	return e.lastToken, nil
}

// decideLocked decides on a call whose ID this guard has not received before. A known key gets its
// response from the key table even while draining: an earlier call with the key may have run here,
// and no other guard has a record of it.
func (g *Guard) decideLocked(now time.Time, call *Call, w Waiter, deferred *callbacks) (int, *Response) {
	duplicate := g.recall.check(call)
	if call.Keyed() {
		if response, settled := g.beginKeyLocked(now, call, w); settled {
			if duplicate != nil && response != nil {
				response.UnusedAllowance = 0 // the earlier run may have spent it
			}
			return 0, response
		}
	}
	if duplicate != nil {
		return 0, g.duplicateResponseLocked(now, call, duplicate)
	}
	if refusal := g.checkLocked(now, call); refusal != nil {
		g.releaseKeyLocked(now, call)
		return 0, g.refusalResponseLocked(call, refusal)
	}
	return g.admitLocked(now, call, w, deferred)
}

func (g *Guard) checkLocked(now time.Time, call *Call) *result.Refusal {
	if call.Keyed() && !g.authority.NeedsClaim(call) {
		// This check precedes the check for draining: while the slots of the keys are handed over to
		// another node, its refusal names the next owner.
		if _, refusal := g.authority.MayStart(now, call); refusal != nil {
			return refusal
		}
	}
	if g.draining {
		return result.Refuse(result.Draining, "the upstream is leaving")
	}
	if !g.stopAt.IsZero() && now.Add(stopLatencyFactor*g.admission.MedianLatency()).After(g.stopAt) {
		return result.Refuse(result.Draining, "the node stops in %v, the median latency is %v", g.stopAt.Sub(now), g.admission.MedianLatency())
	}
	if !g.upstreamUp {
		return result.Refuse(result.NoUpstream, "no upstream is announced to this node")
	}
	if refusal := g.countRetryLocked(now, call); refusal != nil {
		return refusal
	}
	if len(call.CrashRecords) == 0 && !g.hasCrashRecords.Load() {
		return nil
	}
	for _, record := range call.CrashRecords {
		g.quarantine.Merge(now, record)
		g.hasCrashRecords.Store(true)
	}
	return g.quarantine.Admit(now, call.Fingerprint())
}

// beginKeyLocked looks the key up. It returns settled when the call does not go on to
// admission: it is answered, or waits for the running call with the same key.
func (g *Guard) beginKeyLocked(now time.Time, call *Call, w Waiter) (response *Response, settled bool) {
	begin := g.keys.Begin(now, call.IdempotencyKey(), call.BodyHash, call.Ctx.CallID)
	switch begin.Kind {
	case idempotency.Start:
		return nil, false
	case idempotency.Join:
		g.events.joined(now, call, begin.RunningCallID)
		return g.joinLocked(call, begin.RunningCallID, w), true
	case idempotency.Replay:
		return replayedResponse(call, begin.Response), true
	case idempotency.Conflict:
		return g.refusalResponseLocked(call, result.Refuse(result.KeyReused, "the key was used before with a different body")), true
	case idempotency.TableFull:
		return g.refusalResponseLocked(call, result.Refuse(result.NoAuthority, "the guard's table of idempotency keys is full")), true
	default:
		return g.refusalResponseLocked(call, result.Refuse(result.OutcomeUnknown, "an earlier attempt with this key may have run")), true
	}
}

func (g *Guard) joinLocked(call *Call, runningID string, w Waiter) *Response {
	e, ok := g.calls[runningID]
	if !ok || e.phase == phaseDone {
		return g.refusalResponseLocked(call, result.Refuse(result.OutcomeUnknown, "the running attempt has ended without a response"))
	}
	e.joins = append(e.joins, joinedCall{call: call, waiter: w})
	g.joined[call.Ctx.CallID] = e
	return nil
}

func (g *Guard) admitLocked(now time.Time, call *Call, w Waiter, deferred *callbacks) (int, *Response) {
	e := &execution{
		call:          call,
		fingerprint:   call.Fingerprint(),
		account:       retry.NewAccount(call.Allowance),
		arrived:       now,
		shedThreshold: routing.NoThreshold,
	}
	if refusal := g.reserveLocked(now, e); refusal != nil {
		g.releaseKeyLocked(now, call)
		return 0, g.refusalResponseLocked(call, refusal)
	}
	g.calls[call.Ctx.CallID] = e
	decision, queuedDecisions := g.admission.Offer(now, requestOf(e))
	g.events.offered(now, call, decision.Verdict, g.admission.Load())
	g.applyLocked(now, queuedDecisions, deferred)
	switch decision.Verdict {
	case admission.Refuse:
		delete(g.calls, call.Ctx.CallID)
		g.releaseKeyLocked(now, call)
		return 0, g.refusalResponseLocked(call, decision.Refusal)
	case admission.Run:
		g.claimOrStartLocked(now, e, deferred)
	}
	g.updateLedgerLocked(now)
	// The waiter is attached only now. A refusal at dispatch is returned as the response; an
	// attached waiter would give it to the sender a second time.
	return e.attach(w)
}

func (g *Guard) refusalResponseLocked(call *Call, r *result.Refusal) *Response {
	a := Refused(call.Ctx.CallID, r)
	a.UnusedAllowance = call.Allowance
	a.Load = g.loadLocked()
	return a
}

// duplicateResponseLocked returns the response to a call that may have run here before, and may have
// spent its allowance.
func (g *Guard) duplicateResponseLocked(now time.Time, call *Call, r *result.Refusal) *Response {
	if call.Keyed() {
		g.keys.MarkOutcomeUnknown(now, call.IdempotencyKey(), call.Ctx.CallID)
	}
	g.events.inc(metrics.CallsDuplicate)
	a := Refused(call.Ctx.CallID, r)
	a.Load = g.loadLocked()
	return a
}

func requestOf(e *execution) admission.Request {
	call := e.call
	return admission.Request{
		ID:              call.Ctx.CallID,
		Level:           call.Ctx.Level,
		CallerHash:      call.Ctx.CallerHash,
		Deadline:        call.EndsBy(),
		RootAdmitted:    call.Ctx.RootAdmitted,
		Depth:           call.Ctx.Depth,
		HasPriorWork:    call.HasPriorWork,
		Promised:        e.promised,
		MayBeHandedBack: call.HandBacks > 0,
	}
}
