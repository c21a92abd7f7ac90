package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/result"
)

// claimOrStartLocked starts the claim of an admitted call's key, or its run when no claim is
// needed.
func (g *Guard) claimOrStartLocked(now time.Time, e *execution, deferred *callbacks) {
	if e.call.Keyed() && g.authority.NeedsClaim(e.call) {
		e.phase = phaseClaiming
		call := e.call
		deferred.add(func() { g.runner.Claim(call) })
		return
	}
	g.startLocked(now, e, deferred)
}

// startLocked makes the last checks before dispatch and starts the run. The authority is
// checked right before the dispatch: when the process was paused after the admission, its
// authority may have expired in the meantime.
func (g *Guard) startLocked(now time.Time, e *execution, deferred *callbacks) {
	var startBy time.Time
	if e.call.Keyed() {
		var refusal *result.Refusal
		startBy, refusal = g.authority.MayStart(now, e.call)
		if refusal != nil {
			g.refuseAdmittedLocked(now, e, refusal, deferred)
			return
		}
	}
	if g.hasCrashRecords.Load() {
		// Another suspected request may have started while this call waited.
		if refusal := g.quarantine.Admit(now, e.fingerprint); refusal != nil {
			g.refuseAdmittedLocked(now, e, refusal, deferred)
			return
		}
	}
	e.phase = phaseRunning
	e.started = now
	e.process = g.upstreamIncarnation
	g.quarantine.Started(now, e.fingerprint)
	g.events.started(now, e)
	call := e.call
	deferred.add(func() { g.runner.Run(call, startBy) })
}

// refuseAdmittedLocked refuses a call that was admitted and provably did not run.
func (g *Guard) refuseAdmittedLocked(now time.Time, e *execution, refusal *result.Refusal, deferred *callbacks) {
	g.events.refused(now, e.call, refusal)
	decisions := g.admission.Finish(now, e.call.Ctx.CallID, admission.Cancelled, 0)
	g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), deferred)
	g.applyLocked(now, decisions, deferred)
}

// Claimed reports the outcome of a claim: refusal is nil when this guard now owns the key.
func (g *Guard) Claimed(now time.Time, callID string, refusal *result.Refusal) {
	g.mu.Lock()
	var deferred callbacks
	if e, ok := g.calls[callID]; ok && e.phase == phaseClaiming {
		if refusal == nil && !e.isWaitedFor() {
			refusal = leaveRefusal(now, e.call)
		}
		if refusal != nil {
			g.refuseAdmittedLocked(now, e, refusal, &deferred)
		} else {
			g.startLocked(now, e, &deferred)
		}
	}
	g.mu.Unlock()
	deferred.run()
}

// OnCancel sets the function that cancels the running call when no caller waits for it any
// more.
func (g *Guard) OnCancel(callID string, cancel func()) {
	g.mu.Lock()
	e, ok := g.calls[callID]
	if ok {
		e.cancel = cancel
	}
	// All callers may have left between the start and this call. Without this check, the
	// upstream would run the call to its end without a receiver.
	cancelNow := ok && e.cancellable()
	g.mu.Unlock()
	if cancelNow {
		cancel()
	}
}

// Finish reports the end of a run.
func (g *Guard) Finish(now time.Time, callID string, a *Response) {
	g.mu.Lock()
	var deferred callbacks
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		g.ended++
		decisions := g.admission.Finish(now, callID, outcomeOf(a), now.Sub(e.started))
		cleared := g.quarantine.Finished(now, e.fingerprint, a.Complete())
		if a.Crashed != 0 && g.quarantine.RecentlySucceeded(e.fingerprint) {
			a.Crashed = 0
		}
		if len(cleared) > 0 {
			deferred.add(func() { g.onCrashRecords(cleared) })
		}
		g.events.cleared(now, cleared)
		if !a.Succeeded() {
			a.Cause = e.cause
		}
		g.events.finished(now, e, a)
		if e.process == g.upstreamIncarnation {
			g.pace.observe(now, e.call, a, now.Sub(e.started))
		}
		g.noteLocked(now, e.process, a.Notice, &deferred)
		call := e.call
		g.endLocked(now, e, a, &deferred)
		g.applyLocked(now, decisions, &deferred)
		g.roomEndedLocked(now, e, call, a)
	}
	g.mu.Unlock()
	deferred.run()
}

// Tick expires waiting calls, retained responses, keys and crash records. Call it every few
// milliseconds while calls wait.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	var deferred callbacks
	g.applyLocked(now, g.admission.Tick(now), &deferred)
	g.handBackLocked(now, &deferred)
	g.pace.update(now)
	g.updateLedgerLocked(now)
	g.trimLocked(now)
	g.keys.Expire(now)
	g.refreshHasCrashRecordsLocked(now)
	g.events.recordLoad(now, g.admission.Load())
	g.mu.Unlock()
	deferred.run()
}

// applyLocked carries out admission decisions on waiting calls.
func (g *Guard) applyLocked(now time.Time, decisions []admission.Decision, deferred *callbacks) {
	for _, dec := range decisions {
		e, ok := g.calls[dec.ID]
		if !ok || e.phase != phaseQueued {
			continue
		}
		if dec.Verdict == admission.Refuse {
			g.events.refused(now, e.call, dec.Refusal)
			g.endLocked(now, e, Refused(dec.ID, dec.Refusal), deferred)
			continue
		}
		g.claimOrStartLocked(now, e, deferred)
	}
}

func outcomeOf(a *Response) admission.Outcome {
	switch a.Code {
	case result.OK, result.UpstreamFailed:
		return admission.Answered
	case result.UpstreamShed:
		return admission.UpstreamShed
	case result.DeadlinePassed:
		return admission.TimedOut
	case result.Cancelled, result.CancelledRunning:
		return admission.Cancelled
	default:
		return admission.Failed
	}
}
