package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// UpstreamUp puts the local upstream into service with these limits.
func (g *Guard) UpstreamUp(now time.Time, cfg admission.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.upstreamUp {
		return
	}
	g.upstreamUp = true
	g.slots = cfg.Slots
	g.upstreamIncarnation = uint64(now.UnixNano())
	g.process, g.notice, g.noticeConfirmed = routing.Process{}, routing.UpstreamNotice{}, false
	g.admission = admission.New(cfg, now)
	g.pace.reset()
}

// UpstreamReplaced puts another process of the upstream into service. Calls that wait for the
// old process are refused as not run; running calls continue until their connection ends. A
// drain of the old process does not apply to the new one.
func (g *Guard) UpstreamReplaced(now time.Time, process routing.Process, cfg admission.Config) {
	g.startServing(now, cfg, routing.ProcessNotice{Process: process})
}

// UpstreamResumed puts a process of the upstream into service again that was considered dead and is
// not. What it said about itself still holds.
func (g *Guard) UpstreamResumed(now time.Time, cfg admission.Config) {
	g.startServing(now, cfg, g.processNotice())
}

// startServing puts a process of the upstream into service, with what it last said about itself.
func (g *Guard) startServing(now time.Time, cfg admission.Config, notice routing.ProcessNotice) {
	g.mu.Lock()
	var deferred callbacks
	for _, e := range g.calls {
		if e.phase == phaseQueued {
			g.admission.Abandon(now, e.call.Ctx.CallID)
			g.refuseWaitingLocked(now, e, &deferred)
		}
	}
	g.upstreamUp = true
	g.draining = false
	g.slots = cfg.Slots
	g.upstreamIncarnation = uint64(now.UnixNano())
	g.admission = admission.New(cfg, now)
	g.pace.reset()
	g.process, g.notice = notice.Process, notice.UpstreamNotice
	g.noticeConfirmed = false
	if notice.RateLimited {
		g.admission.SetRateLimit(now, notice.RateLimit)
	}
	g.mu.Unlock()
	deferred.run()
}

// reconfigureWith changes the limits of a running upstream; its slots stay.
func (g *Guard) reconfigureWith(now time.Time, config func(slots int) admission.Config) {
	g.mu.Lock()
	var deferred callbacks
	if g.upstreamUp {
		g.applyLocked(now, g.admission.Reconfigure(now, config(g.slots)), &deferred)
	}
	g.mu.Unlock()
	deferred.run()
}

// configureRetention sets how long keys, responses and crash records are retained.
func (g *Guard) configureRetention(keys idempotency.Config, crashes quarantine.Config) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.keys.Reconfigure(keys)
	g.quarantine.Reconfigure(crashes)
}

// UpstreamDown reports that the process of the local upstream crashed. The requests that it ran
// get crash records. Calls that wait in the queue or for their claim are refused as not run: a
// claim that completes after the upstream's return would start a call for which no slot is
// counted. A crash that several calls report counts once: only the first report finds the
// upstream up.
func (g *Guard) UpstreamDown(now time.Time, upstream string) (incarnation uint64, records []quarantine.CrashRecord, first bool) {
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
	records = g.quarantine.Crashed(now, upstream, incarnation, running)
	g.hasCrashRecords.Store(true)
	var deferred callbacks
	for _, e := range waiting {
		g.admission.Abandon(now, e.call.Ctx.CallID)
		g.refuseWaitingLocked(now, e, &deferred)
	}
	for _, e := range claiming {
		g.admission.Finish(now, e.call.Ctx.CallID, admission.Cancelled, 0)
		g.refuseWaitingLocked(now, e, &deferred)
	}
	g.mu.Unlock()
	deferred.run()
	return incarnation, records, true
}

func (g *Guard) refuseWaitingLocked(now time.Time, e *execution, deferred *callbacks) {
	refusal := result.Refuse(result.NoUpstream, "the process of the upstream ended while the call waited")
	g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), deferred)
}

// stopLatencyFactor times the median latency is the time before the planned stop of the node from
// which new calls are refused. Hardly any call takes longer than that.
const stopLatencyFactor = 4

// SetStopTime sets the time at which the node's process stops. A call that would probably still run
// then is refused, since it would be interrupted; a short one is still served.
func (g *Guard) SetStopTime(at time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopAt = at
}

// Drain makes the guard refuse new and queued calls. Calls that run or wait for their claim are
// completed.
func (g *Guard) Drain(now time.Time) {
	g.mu.Lock()
	var deferred callbacks
	if !g.draining {
		g.draining = true
		g.applyLocked(now, g.admission.Drain(now), &deferred)
	}
	g.mu.Unlock()
	deferred.run()
}

// Serving reports whether the local upstream is up.
func (g *Guard) Serving() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.upstreamUp
}

// Draining reports whether new calls are refused because of a drain.
func (g *Guard) Draining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// Load returns the current limits of the guard and their usage.
func (g *Guard) Load() admission.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	l := g.admission.Load()
	l.Draining = l.Draining || g.draining
	return l
}

// RetentionUsage is the number of keys, and of bytes of responses, that are retained for resends,
// with their bounds.
type RetentionUsage struct{ Keys, MaxKeys, Bytes, MaxBytes int64 }

// RetentionUsage returns the number of keys, and of bytes of responses, that are retained for resends.
func (g *Guard) RetentionUsage() RetentionUsage {
	g.mu.Lock()
	defer g.mu.Unlock()
	bounds := g.cfg.Keys
	return RetentionUsage{
		Keys:     int64(g.keys.Len()),
		MaxKeys:  int64(bounds.MaxKeys),
		Bytes:    g.keys.Bytes() + g.doneBytes,
		MaxBytes: bounds.MaxBytes + g.cfg.KeepDoneBytes,
	}
}

// Busy returns the number of calls that wait, claim or run.
func (g *Guard) Busy() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.calls) - len(g.done) - len(g.recall.awaited)
}

// Parent returns the context and account of a call that runs here, for the calls that the
// upstream makes on its behalf.
func (g *Guard) Parent(callID string) (callctx.Context, *retry.Account, bool) {
	call, account, ok := g.parent(callID)
	if !ok {
		return callctx.Context{}, nil, false
	}
	return call.Ctx, account, true
}

// noteShedding records the shedding threshold of a deeper service, as received by a call that the
// running call callID made. The lowest threshold is kept.
func (g *Guard) noteShedding(callID string, threshold uint32, service string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning && threshold < e.shedThreshold {
		e.shedThreshold, e.sheddingService = threshold, service
	}
}

// noteCause records the root cause of a failed call that the running call callID made.
func (g *Guard) noteCause(callID string, cause *result.Cause) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		e.cause = cause
	}
}

// noteServed records that a call made by the running call callID succeeded.
func (g *Guard) noteServed(callID string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		e.served = true
	}
}

// hasPriorWork reports whether calls of the tree of the running call callID were already
// served.
func (g *Guard) hasPriorWork(callID string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	e, ok := g.calls[callID]
	return ok && (e.served || (e.call != nil && e.call.HasPriorWork))
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

// Ended returns the number of runs that ended so far.
func (g *Guard) Ended() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.ended
}
