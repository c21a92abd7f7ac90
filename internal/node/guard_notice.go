package node

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// noteLocked applies what the process with an upstreamIncarnation said about itself. An earlier process
// of the upstream is ignored.
func (g *Guard) noteLocked(now time.Time, process uint64, notice *routing.UpstreamNotice, deferred *callbacks) {
	if notice == nil || process != g.upstreamIncarnation {
		return
	}
	g.noticeConfirmed = true
	switch {
	case notice.RateLimited:
		g.applyLocked(now, g.admission.SetRateLimit(now, notice.RateLimit), deferred)
	case g.notice.RateLimited:
		g.admission.LiftRateLimit(now)
	}
	// Nothing ends a leave: a response without it was overtaken.
	next := *notice
	next.Leaving = next.Leaving || g.notice.Leaving
	g.setNoticeLocked(now, next, deferred)
}

// setNoticeLocked records what the upstream says about itself, and drains one that leaves.
func (g *Guard) setNoticeLocked(now time.Time, notice routing.UpstreamNotice, deferred *callbacks) {
	if notice == g.notice {
		return
	}
	g.notice = notice
	g.events.noticed(now, notice)
	if notice.Leaving {
		g.leaveLocked(now, deferred)
	}
}

// leaveLocked refuses new and queued calls because the upstream said that it leaves.
func (g *Guard) leaveLocked(now time.Time, deferred *callbacks) {
	if g.draining {
		return
	}
	g.draining = true
	g.applyLocked(now, g.admission.Drain(now), deferred)
	if g.onLeaving != nil {
		deferred.add(g.onLeaving)
	}
}

// ApplyNotice applies what the current process of the upstream said about itself outside of a call, for
// example in the response to a health check. A silent one proves nothing: such a response may lack what
// the responses to calls say.
func (g *Guard) ApplyNotice(now time.Time, notice routing.UpstreamNotice) {
	if notice == (routing.UpstreamNotice{}) {
		return
	}
	g.mu.Lock()
	var deferred callbacks
	g.noteLocked(now, g.upstreamIncarnation, &notice, &deferred)
	g.mu.Unlock()
	deferred.run()
}

// mergeNoticeLocked applies what the sender of a call knows about the upstream. A node that was
// restarted beside a running upstream knows nothing until its first response: it would start more calls
// than the rate limit allows, or calls at an upstream that leaves.
func (g *Guard) mergeNoticeLocked(now time.Time, known *routing.ProcessNotice, deferred *callbacks) {
	if known == nil || !g.upstreamUp || !g.isCurrentLocked(known.Process) {
		return
	}
	g.process = known.Process
	merged := g.notice
	if known.RateLimited && !g.noticeConfirmed && !merged.RateLimited {
		merged.RateLimited, merged.RateLimit = true, known.RateLimit
		g.applyLocked(now, g.admission.SetRateLimit(now, known.RateLimit), deferred)
	}
	merged.Leaving = merged.Leaving || known.Leaving
	g.setNoticeLocked(now, merged, deferred)
}

// isCurrentLocked reports whether p is the process in service. The start time of an adopted process
// may be unknown here.
func (g *Guard) isCurrentLocked(p routing.Process) bool {
	return p.ID != "" && p.ID == g.process.ID && (g.process.StartedAt == 0 || p.StartedAt == g.process.StartedAt)
}

// SetProcess sets the process in service if it is known better than before, without an effect on its
// calls.
func (g *Guard) SetProcess(p routing.Process) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.process = p
}

// Process returns the process of the upstream in service.
func (g *Guard) Process() routing.Process { return g.processNotice().Process }

func (g *Guard) processNotice() routing.ProcessNotice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return routing.ProcessNotice{Process: g.process, UpstreamNotice: g.notice}
}

// sharedNoticeLocked returns the notice for other nodes; nil if the upstream says nothing or its
// process is unknown.
func (g *Guard) sharedNoticeLocked() *routing.ProcessNotice {
	if g.process.ID == "" || g.notice == (routing.UpstreamNotice{}) {
		return nil
	}
	return &routing.ProcessNotice{Process: g.process, UpstreamNotice: g.notice}
}

// Notice returns what the local upstream said about itself last.
func (g *Guard) Notice() routing.UpstreamNotice {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.notice
}

// noticed records that the local upstream says something else about itself than before.
func (o *eventRecorder) noticed(now time.Time, notice routing.UpstreamNotice) {
	if o == nil {
		return
	}
	detail := "no rate limit"
	if notice.RateLimited {
		detail = fmt.Sprintf("rate limit %g calls/s", notice.RateLimit)
	}
	if notice.Leaving {
		detail += ", leaving"
	}
	o.node.Event(now, timeline.Event{Kind: timeline.UpstreamNotice, Upstream: o.node.ID(), Detail: detail})
}

// RecordInvalidNotice records a notice of the local upstream that can't be decoded and was ignored.
func (n *Node) RecordInvalidNotice(err error) {
	n.Event(n.Now(), timeline.Event{Kind: timeline.UpstreamNotice, Upstream: n.ID(), Detail: "ignored: " + err.Error()})
}
