package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// UpstreamUp says that the local upstream takes work, with these limits.
func (g *Guard) UpstreamUp(now time.Time, cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.upstreamUp {
		return
	}
	g.upstreamUp = true
	g.slots = cfg.Slots
	g.upstreamIncarnation = uint64(now.UnixNano())
	g.admission = admission.New(cfg, now)
}

// UpstreamReplaced says that another process of the upstream serves from now on.
// What waited for the old one is refused as not run; what runs goes on until its
// connection ends. A drain of the old process does not bind the new one.
func (g *Guard) UpstreamReplaced(now time.Time, cfg admission.Config) {
	g.mu.Lock()
	var d due
	for _, e := range g.calls {
		if e.phase == phaseQueued {
			g.admission.Abandon(now, e.call.Ctx.CallID)
			g.diedWaitingLocked(now, e, &d)
		}
	}
	g.upstreamUp = true
	g.draining = false
	g.slots = cfg.Slots
	g.upstreamIncarnation = uint64(now.UnixNano())
	g.admission = admission.New(cfg, now)
	g.mu.Unlock()
	d.settle()
}

// reconfigureWith changes the limits of a running upstream; its slots stay.
func (g *Guard) reconfigureWith(now time.Time, config func(slots int) admission.Config) {
	g.mu.Lock()
	var d due
	if g.upstreamUp {
		g.applyLocked(now, g.admission.Reconfigure(now, config(g.slots)), &d)
	}
	g.mu.Unlock()
	d.settle()
}

// configureMemory sets how long keys, answers and crashing requests are known.
func (g *Guard) configureMemory(keys idempotency.Config, crashes quarantine.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keys.Reconfigure(keys)
	g.quarantine.Reconfigure(crashes)
}

// UpstreamDown says that the local upstream's process died. What it ran
// becomes suspect; what waited, also for its claim, is refused as not run: a
// claim that came after the upstream's return would start a call for which no
// slot is counted. Reports of the same
// death by several calls count once: only the first finds the upstream up.
func (g *Guard) UpstreamDown(now time.Time, upstream string) (incarnation uint64, suspects []quarantine.CrashRecord, first bool) {
	g.mu.Lock()
	incarnation = g.upstreamIncarnation
	if !g.upstreamUp {
		g.mu.Unlock()
		return incarnation, nil, false
	}
	g.upstreamUp = false
	var running []quarantine.Fingerprint
	var waiting, claiming []*execution
	for _, e := range g.calls {
		switch e.phase {
		case phaseRunning:
			running = append(running, e.fingerprint)
		case phaseQueued:
			waiting = append(waiting, e)
		case phaseClaiming:
			claiming = append(claiming, e)
		}
	}
	suspects = g.quarantine.Crashed(now, upstream, incarnation, running)
	g.suspicion.Store(true)
	var d due
	for _, e := range waiting {
		g.admission.Abandon(now, e.call.Ctx.CallID)
		g.diedWaitingLocked(now, e, &d)
	}
	for _, e := range claiming {
		g.admission.Finish(now, e.call.Ctx.CallID, admission.Cancelled, 0)
		g.diedWaitingLocked(now, e, &d)
	}
	g.mu.Unlock()
	d.settle()
	return incarnation, suspects, true
}

func (g *Guard) diedWaitingLocked(now time.Time, e *execution, d *due) {
	refusal := result.Refuse(result.NoUpstream, "the upstream died while the call waited")
	g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), d)
}

// usualTimes is how many times the usual time of a call a stopping node must have left
// to take one: hardly a call takes longer than that.
const usualTimes = 4

// EndBy says that the node's process ends at that time. Calls that would most likely
// still run then are refused, since they would be cut; a short one is still served.
func (g *Guard) EndBy(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.endsBy = at
}

// Drain refuses new calls from now on; those in flight go on.
func (g *Guard) Drain(now time.Time) {
	g.mu.Lock()
	var d due
	if !g.draining {
		g.draining = true
		g.applyLocked(now, g.admission.Drain(now), &d)
	}
	g.mu.Unlock()
	d.settle()
}

// Serving reports whether the local upstream is up.
func (g *Guard) Serving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreamUp
}

// Draining reports whether new calls are refused for good.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Load returns a reading of the guard's limits and what they hold.
func (g *Guard) Load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.admission.Load()
	l.Draining = l.Draining || g.draining
	return l
}

// Kept is what the guard remembers for resends.
type Kept struct{ Keys, MaxKeys, Bytes, MaxBytes int64 }

// Kept returns how many keys and bytes of answers are remembered.
func (g *Guard) Kept() Kept {
	g.mu.Lock()
	defer g.mu.Unlock()
	bounds := g.cfg.Keys
	return Kept{
		Keys:     int64(g.keys.Len()),
		MaxKeys:  int64(bounds.MaxKeys),
		Bytes:    g.keys.Bytes() + g.doneBytes,
		MaxBytes: bounds.MaxBytes + g.cfg.KeepDoneBytes,
	}
}

// Busy returns how many calls wait, claim or run.
func (g *Guard) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls) - len(g.done)
}

// Parent returns the context and account of a call that runs here, for the
// calls that its upstream makes.
func (g *Guard) Parent(callID string) (callctx.Context, *retry.Account, bool) {
	call, account, ok := g.parent(callID)
	if !ok {
		return callctx.Context{}, nil, false
	}
	return call.Ctx, account, true
}

// noteShedding records what a call made by the running call callID learned of the
// services behind.
func (g *Guard) noteShedding(callID string, shedsFrom uint32, by string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning && shedsFrom < e.shedsFrom {
		e.shedsFrom, e.shedsBy = shedsFrom, by
	}
}

// noteCause records what a failed call made by the running call callID comes down to.
func (g *Guard) noteCause(callID string, cause *result.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		e.cause = cause
	}
}

// noteServed records that a call made by the running call callID had a good answer.
func (g *Guard) noteServed(callID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		e.served = true
	}
}

// continues reports whether calls were served already for the tree of the running call
// callID.
func (g *Guard) continues(callID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.calls[callID]
	return ok && (e.served || e.call.HasPriorWork)
}

func (g *Guard) parent(callID string) (*Call, *retry.Account, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.calls[callID]
	if !ok || e.phase != phaseRunning {
		return nil, nil, false
	}
	return e.call, e.account, true
}
