package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
)

// moves is the state by which a guard hands back waiting calls.
type moves struct {
	enabled bool
	decider handback.Decider
	// bySender is what the sender of a recent call knew, and byView what the view of the deployment
	// holds. bySender is newer and comes first.
	bySender, byView handback.SpareSlots
}

// note records what the sender of a call knows of the upstreams of the service.
func (m *moves) note(now time.Time, call *Call) {
	if m.enabled && call.HandBacks > 0 && call.Spare.Usable(now) {
		m.bySender = call.Spare
	}
}

func (m *moves) spareSlots(now time.Time) handback.SpareSlots {
	if m.bySender.Usable(now) {
		return m.bySender
	}
	return m.byView
}

// SetHandBack sets whether waiting calls are handed back to senders that take them.
func (g *Guard) SetHandBack(enabled bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moves.enabled = enabled
}

// SetRoom sets what is known of the upstreams of the service from the view of the deployment.
func (g *Guard) SetSpareSlots(r handback.SpareSlots) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.moves.byView = r
}

// handBackLocked returns calls to their senders that wait here while other upstreams have free slots.
// Only a queued call is handed back: it has not started, and it never starts here afterwards.
func (g *Guard) handBackLocked(now time.Time, deferred *callbacks) {
	if !g.moves.enabled || g.draining || !g.upstreamUp {
		return
	}
	backlog := g.admission.Backlog()
	spare := g.moves.spareSlots(now)
	n := g.moves.decider.Allow(now, backlog, spare)
	if n == 0 {
		return
	}
	ids := g.admission.HandBack(now, n, g.mayHandBackLocked)
	g.moves.decider.Spend(len(ids))
	for _, id := range ids {
		e := g.calls[id]
		refusal := result.Refuse(result.HandedBack, "expected wait %v with %d calls queued, %.0f slots free elsewhere",
			backlog.Wait.Round(time.Millisecond), backlog.Queued, spare.Free)
		g.events.handedBack(now, e.call, refusal)
		g.endLocked(now, e, Refused(id, refusal), deferred)
	}
}

// mayHandBackLocked reports whether a call waits for one caller only and may run at any upstream. A
// call with joins stays, since the senders of the joined calls may not know the result, and so does a
// re-attached one, whose first transmission may still arrive.
func (g *Guard) mayHandBackLocked(id string) bool {
	e, ok := g.calls[id]
	if !ok || e.phase != phaseQueued || e.call.Reattach {
		return false
	}
	pinned := e.call.Keyed() && !g.authority.NeedsClaim(e.call)
	return !pinned && len(e.waiters) == 1 && len(e.joins) == 0 && len(e.call.CrashRecords) == 0
}

// handedBack records that a waiting call was returned to its sender.
func (o *eventRecorder) handedBack(now time.Time, call *Call, r *result.Refusal) {
	o.inc(metrics.CallsHandedBack)
	if o.sampled(call) {
		o.refused(now, call, r)
	}
}
