package node

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// noteLocked applies what the upstream said about itself in its response to a call. A response of an
// earlier process of the upstream is ignored.
func (g *Guard) noteLocked(now time.Time, e *execution, notice *routing.UpstreamNotice, deferred *callbacks) {
	if notice == nil || e.process != g.upstreamIncarnation {
		return
	}
	switch {
	case notice.RateLimited:
		g.applyLocked(now, g.admission.SetRateLimit(now, notice.RateLimit), deferred)
	case g.notice.RateLimited:
		g.admission.LiftRateLimit(now)
	}
	if *notice == g.notice {
		return
	}
	g.notice = *notice
	g.events.noticed(now, g.notice)
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
		*deferred = append(*deferred, g.onLeaving)
	}
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
