package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Arrive takes a call. A nil answer means that w gets it later; the token then
// names this attachment to the call for Leave.
func (g *Guard) Arrive(now time.Time, call *Call, w Waiter) (token int, answer *Response) {
	g.mu.Lock()
	var d due
	token, answer = g.arriveLocked(now, call, w, &d)
	g.mu.Unlock()
	d.settle()
	return token, answer
}

func (g *Guard) arriveLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Response) {
	if e, ok := g.calls[call.Ctx.CallID]; ok {
		return e.attach(w)
	}
	token, answer := g.considerLocked(now, call, w, d)
	if answer != nil && !answer.Whole() {
		g.observer.refused(now, call, answer.Refusal)
	}
	if answer != nil && call.Reattach {
		g.remember(now, call, answer)
	}
	return token, answer
}

// attach joins a sending of a call that is already here: the connection of the
// first went silent, and the call must not run again by it.
func (e *execution) attach(w Waiter) (int, *Response) {
	if e.phase == phaseDone {
		return 0, e.answer
	}
	e.nextWaiter++
	e.waiters[e.nextWaiter] = w
	return e.nextWaiter, nil
}

// considerLocked decides on a call that was never seen here. A key that is
// remembered is answered from memory, also while draining: its first sending
// may have run here, and nobody else can say so.
func (g *Guard) considerLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Response) {
	if call.Keyed() {
		if answer, settled := g.beginKeyLocked(now, call, w); settled {
			return 0, answer
		}
	}
	if refusal := g.refuseLocked(now, call); refusal != nil {
		g.forgetKeyLocked(now, call)
		return 0, g.refusedLocked(call, refusal)
	}
	return g.admitLocked(now, call, w, d)
}

func (g *Guard) refuseLocked(now time.Time, call *Call) *result.Refusal {
	if call.Keyed() && !g.authority.NeedsClaim(call) {
		// Asked before draining: while slots move, the refusal names their
		// next owner.
		if _, refusal := g.authority.MayStart(now, call); refusal != nil {
			return refusal
		}
	}
	if g.draining {
		return result.Refuse(result.Draining, "the upstream is leaving")
	}
	if !g.endsBy.IsZero() && now.Add(usualTimes*g.admission.MedianLatency()).After(g.endsBy) {
		return result.Refuse(result.Draining, "the node ends in %v, calls usually take %v", g.endsBy.Sub(now), g.admission.MedianLatency())
	}
	if !g.upstreamUp {
		return result.Refuse(result.NoUpstream, "no upstream is announced to this node")
	}
	if refusal := g.countLocked(now, call); refusal != nil {
		return refusal
	}
	if len(call.CrashRecords) == 0 && !g.suspicion.Load() {
		return nil
	}
	for _, mark := range call.CrashRecords {
		g.quarantine.Merge(now, mark)
		g.suspicion.Store(true)
	}
	return g.quarantine.Admit(now, call.Fingerprint())
}

// beginKeyLocked looks the key up; settled says that the call does not go on
// to admission.
func (g *Guard) beginKeyLocked(now time.Time, call *Call, w Waiter) (answer *Response, settled bool) {
	begin := g.keys.Begin(now, call.IdempotencyKey(), call.BodyHash, call.Ctx.CallID)
	switch begin.Kind {
	case idempotency.Start:
		return nil, false
	case idempotency.Join:
		g.observer.joined(now, call, begin.RunningCallID)
		return g.joinLocked(call, begin.RunningCallID, w), true
	case idempotency.Replay:
		return replayed(call, begin.Answer), true
	case idempotency.Conflict:
		return g.refusedLocked(call, result.Refuse(result.KeyReused, "the key came before with a different body")), true
	case idempotency.TableFull:
		return g.refusedLocked(call, result.Refuse(result.NoAuthority, "the table of keys is full")), true
	default:
		return g.refusedLocked(call, result.Refuse(result.OutcomeUnknown, "an earlier attempt with this key may have run")), true
	}
}

func (g *Guard) joinLocked(call *Call, runningID string, w Waiter) *Response {
	e, ok := g.calls[runningID]
	if !ok || e.phase == phaseDone {
		return g.refusedLocked(call, result.Refuse(result.OutcomeUnknown, "the running attempt has ended without an answer"))
	}
	e.joins = append(e.joins, joined{call: call, wake: w})
	return nil
}

func (g *Guard) admitLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Response) {
	e := &execution{
		call:        call,
		fingerprint: call.Fingerprint(),
		account:     retry.NewAccount(call.Allowance),
		waiters:     make(map[int]Waiter, 1),
		arrived:     now,
		shedsFrom:   routing.NoThreshold,
	}
	g.calls[call.Ctx.CallID] = e
	decision, others := g.admission.Offer(now, requestOf(call))
	g.observer.offered(now, call, decision.Verdict, g.admission.Load())
	g.applyLocked(now, others, d)
	switch decision.Verdict {
	case admission.Refuse:
		delete(g.calls, call.Ctx.CallID)
		g.forgetKeyLocked(now, call)
		return 0, g.refusedLocked(call, decision.Refusal)
	case admission.Run:
		g.admittedLocked(now, e, d)
	}
	// Attached only now: a refusal at dispatch goes back as the answer, and
	// through the waiter the sender would get it a second time.
	return e.attach(w)
}

func (g *Guard) refusedLocked(call *Call, r *result.Refusal) *Response {
	a := Refused(call.Ctx.CallID, r)
	a.Unused = call.Allowance
	a.Load = g.loadLocked()
	return a
}

func requestOf(call *Call) admission.Request {
	return admission.Request{
		ID:           call.Ctx.CallID,
		Level:        call.Ctx.Level,
		CallerHash:   call.Ctx.CallerHash,
		Deadline:     call.Ctx.Deadline,
		RootAdmitted: call.Ctx.RootAdmitted,
		Depth:        call.Ctx.Depth,
		HasPriorWork: call.HasPriorWork,
	}
}
