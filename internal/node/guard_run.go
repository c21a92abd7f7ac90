package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/result"
)

// admittedLocked moves a call that got a slot on to its claim or its run.
func (g *Guard) admittedLocked(now time.Time, e *execution, d *due) {
	if e.call.Keyed() && g.authority.NeedsClaim(e.call) {
		e.phase = phaseClaiming
		*d = append(*d, func() { g.runner.Claim(e.call) })
		return
	}
	g.startLocked(now, e, d)
}

// startLocked is the last check before dispatch. A holder that was paused
// finds its authority too old here, not when it was admitted.
func (g *Guard) startLocked(now time.Time, e *execution, d *due) {
	var before time.Time
	if e.call.Keyed() {
		var refusal *result.Refusal
		before, refusal = g.authority.MayStart(now, e.call)
		if refusal != nil {
			g.notRunLocked(now, e, refusal, d)
			return
		}
	}
	if g.suspicion.Load() {
		// Another suspect may have started while this one waited.
		if refusal := g.quarantine.Admit(now, e.fingerprint); refusal != nil {
			g.notRunLocked(now, e, refusal, d)
			return
		}
	}
	e.phase = phaseRunning
	e.started = now
	g.quarantine.Started(now, e.fingerprint)
	g.observer.started(now, e)
	*d = append(*d, func() { g.runner.Run(e.call, before) })
}

// notRunLocked ends a call that got a slot and provably did not run.
func (g *Guard) notRunLocked(now time.Time, e *execution, refusal *result.Refusal, d *due) {
	g.observer.refused(now, e.call, refusal)
	decisions := g.admission.Finish(now, e.call.Ctx.CallID, admission.Cancelled, 0)
	g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), d)
	g.applyLocked(now, decisions, d)
}

// Claimed reports how the claim of a call ended: refusal is nil when this
// guard holds the key.
func (g *Guard) Claimed(now time.Time, callID string, refusal *result.Refusal) {
	g.mu.Lock()
	var d due
	if e, ok := g.calls[callID]; ok && e.phase == phaseClaiming {
		if refusal != nil {
			g.notRunLocked(now, e, refusal, &d)
		} else {
			g.startLocked(now, e, &d)
		}
	}
	g.mu.Unlock()
	d.settle()
}

// OnCancel sets what stops the running call when nobody waits for it any more.
func (g *Guard) OnCancel(callID string, cancel func()) {
	g.mu.Lock()
	e, ok := g.calls[callID]
	if ok {
		e.cancel = cancel
	}
	// Everybody may have left between the start and this report; the upstream
	// would then work to the end for nobody.
	doomed := ok && e.doomed()
	g.mu.Unlock()
	if doomed {
		cancel()
	}
}

// doomed reports whether a running call may and should be stopped: nobody
// waits for it, and running it again does no harm.
func (e *execution) doomed() bool {
	alone := len(e.waiters) == 0 && len(e.joins) == 0
	return e.phase == phaseRunning && e.call.Ctx.Idempotent && alone
}

// Finish reports the end of a run.
func (g *Guard) Finish(now time.Time, callID string, a *Response) {
	g.mu.Lock()
	var d due
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		decisions := g.admission.Finish(now, callID, outcomeOf(a), now.Sub(e.started))
		cleared := g.quarantine.Finished(now, e.fingerprint, a.Whole())
		if a.Crashed != 0 && g.quarantine.Proven(e.fingerprint) {
			a.Crashed = 0
		}
		if len(cleared) > 0 {
			d = append(d, func() { g.onSuspects(cleared) })
		}
		g.observer.cleared(now, cleared)
		if !a.Good() {
			a.Cause = e.cause
		}
		g.observer.finished(now, e, a)
		g.endLocked(now, e, a, &d)
		g.applyLocked(now, decisions, &d)
	}
	g.mu.Unlock()
	d.settle()
}

// Tick expires waits; call it every few milliseconds while calls wait.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	var d due
	g.applyLocked(now, g.admission.Tick(now), &d)
	g.trimLocked(now)
	g.keys.Expire(now)
	g.refreshSuspicionLocked(now)
	g.observer.watch(now, g.admission.Load())
	g.mu.Unlock()
	d.settle()
}

// applyLocked carries out decisions on waiting calls.
func (g *Guard) applyLocked(now time.Time, decisions []admission.Decision, d *due) {
	for _, dec := range decisions {
		e, ok := g.calls[dec.ID]
		if !ok || e.phase != phaseQueued {
			continue
		}
		if dec.Verdict == admission.Refuse {
			g.observer.refused(now, e.call, dec.Refusal)
			g.endLocked(now, e, Refused(dec.ID, dec.Refusal), d)
			continue
		}
		g.admittedLocked(now, e, d)
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
