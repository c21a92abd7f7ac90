package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Event adds an event to the node's timeline.
func (n *Node) Event(now time.Time, e timeline.Event) {
	if n.cfg.Ring == nil {
		return
	}
	e = n.cfg.Ring.Put(now, e)
	if n.cfg.OnEvent != nil {
		n.cfg.OnEvent(&e)
	}
}

func callEvent(kind timeline.Kind, c *Call) timeline.Event {
	return timeline.Event{
		Kind:      kind,
		CallID:    c.Ctx.CallID,
		RequestID: c.Ctx.RequestID,
		Workspace: c.Ctx.Workspace,
		Service:   c.Ctx.Service,
	}
}

// RecordResponse records the end of a call at its entry or exit node. Successful calls are only
// recorded when sampled, so that they cost almost nothing.
func (n *Node) RecordResponse(call *Call, a *Response, d *Dispatch) {
	if n.cfg.Observer != nil {
		n.cfg.Observer.CallEnded(call.Ctx.RequestID, d.retries)
	}
	now := n.Now()
	total := now.Sub(d.startedAt)
	n.cfg.Metrics.Result(a.Code)
	n.cfg.Metrics.Observe(metrics.CallTime, total)
	n.cfg.Metrics.Observe(metrics.AddedTime, total-d.attemptTime)
	if !a.Complete() && n.cfg.OnRefused != nil {
		n.cfg.OnRefused(call, a.Refusal)
	}
	attempts := d.attempts
	if a.Complete() && a.Code != result.UpstreamFailed && attempts == 1+len(d.handedBackBy) && !call.Sampled {
		return
	}
	kind := timeline.CallAnswered
	detail := fmt.Sprintf("attempts %d", attempts)
	if !a.Complete() {
		kind = timeline.CallRefused
		detail = fmt.Sprintf("attempts %d: %s", attempts, a.Refusal.Detail)
	}
	if len(d.handedBackBy) > 0 {
		detail += fmt.Sprintf("; handed back while waiting by %s", strings.Join(d.handedBackBy, ", "))
	}
	e := callEvent(kind, call)
	e.Code = a.Code
	e.Upstream = a.Upstream
	if e.Upstream == "" && d.target != nil {
		e.Upstream = d.target.Endpoint().Node
	}
	e.Detail = detail
	e.Cause = a.Cause
	n.Event(now, e)
}

// RecordReattach records that an attempt was sent again on a new connection.
func (n *Node) RecordReattach(call *Call, upstream string, a *Response) {
	n.cfg.Metrics.Inc(metrics.CallsReattached, 1)
	n.cfg.Metrics.Inc(metrics.ConnectionsReplaced, 1)
	n.Event(n.Now(), timeline.Event{Kind: timeline.ConnReplaced, Upstream: upstream, Detail: "no response on the reused connection; a new connection works"})
	e := callEvent(timeline.CallReattached, call)
	e.Code = a.Code
	e.Upstream = upstream
	n.Event(n.Now(), e)
}
