package proxy

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/share"
)

// Divide makes the proxy rank requests by the shares of their workspaces. It must be called before
// ServeRoutes.
func (p *Proxy) Divide(d *share.Divider) { p.shares = d }

// divide ranks a root request by the share of its workspace, and reports whether it did so. Calls made
// for a request have its rank.
func (h *routeHandler) divide(call *node.Call) bool {
	if h.p.shares == nil || !countsAgainstQuota(call) {
		return false
	}
	hash, divided := h.p.shares.Receive(call.Ctx.Workspace, call.Ctx.Level, call.Ctx.CallerHash)
	call.Ctx.CallerHash = hash
	return divided
}

// isShed reports whether code refuses a request because of its rank.
func isShed(code result.Code) bool { return code == result.Shed || code == result.ShedEarly }

// countShare counts how a request of a workspace ended.
func (g gatedWriter) countShare(call *node.Call, code result.Code) {
	if g.p.shares == nil {
		return
	}
	series := g.workspaceMetrics.forWorkspace(call.Ctx.Workspace)
	switch {
	case g.divided && isShed(code):
		g.p.shares.Cut(call.Ctx.Workspace)
		series.CountCut()
	case code.Ran() != result.RanNo:
		g.p.shares.Admitted(call.Ctx.Workspace)
		series.CountAdmitted()
	}
}

// withShare returns the refusal of a request that was shed because of the share of its workspace. Its
// detail names the demand and the share. Callers of a workspace of which little fits are told to come
// back over a longer time.
func (g gatedWriter) withShare(now time.Time, call *node.Call, refusal *result.Refusal) *result.Refusal {
	if !g.divided || !isShed(refusal.Code) {
		return refusal
	}
	threshold := g.gate.threshold(now)
	if reported, known := g.p.node.Table().ShedThreshold(now, call.Ctx.Service); known {
		threshold = min(threshold, reported)
	}
	c := &call.Ctx
	s, ok := g.p.shares.ShareAt(c.Workspace, c.Level, admission.HashAt(c.Level, threshold))
	if !ok || s.Admitted >= s.Asked {
		return refusal
	}
	explained := *refusal
	explained.Detail = fmt.Sprintf("%s; workspace %s asks %.1f requests/s of level %s over all nodes, and its share at weight %.2f is %.1f",
		refusal.Detail, c.Workspace, s.Asked, c.Level, s.Weight, s.Admitted)
	explained.RetryAfter = s.RetryAfter(refusal.RetryAfter)
	return &explained
}
