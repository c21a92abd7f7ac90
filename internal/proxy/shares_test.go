package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/share"
)

// dividedWriter returns the writer of a route whose deeper service sheds the upper half of the normal
// level, at a node that knows that north asks 60 requests per second and south 10.
func dividedWriter(t *testing.T, now time.Time) gatedWriter {
	n := newCluster(t).startNode(nil, nil)
	p := New(n.node, n.peers, n.upstream)
	workspaces := []share.Workspace{{Name: "north"}, {Name: "south"}}
	d := &share.Divider{}
	d.Configure(workspaces, share.NewBook(workspaces, nil, now))
	top := []overview.WorkspaceDemand{{Workspace: "north", PerSecond: 60}, {Workspace: "south", PerSecond: 10}}
	must.True(t, d.Update(time.Second, &overview.View{Top: top, Total: overview.RestDemand{Workspaces: 2, PerSecond: 70}}))
	p.Divide(d)
	h := &routeHandler{p: p, treeGates: treeGates{metrics: metrics.New(1)}, workspaceMetrics: workspaceMetrics{metrics: metrics.New(1)}}
	gate := h.treeGates.forRoute("h", "/a/")
	shed := &node.Response{Code: result.UpstreamFailed, ShedThreshold: admission.Rank(callctx.LevelNormal, 1<<31), SheddingService: "registry"}
	for range 100 {
		gate.observe(now, rootCall(callctx.LevelNormal), shed)
	}
	return gatedWriter{routeHandler: h, gate: gate, startedAt: now}
}

// Guards against neighbours of a flooding workspace that are refused, and against a refusal that doesn't
// tell the caller what its workspace asks and gets.
func TestFloodingWorkspaceIsRefusedByItsShare(t *testing.T) {
	now := time.Unix(1000, 0)
	g := dividedWriter(t, now)
	refused := map[string]int{}
	for _, workspace := range []string{"north", "south"} {
		for range 300 {
			call := &node.Call{Ctx: callctx.Context{Workspace: workspace, Level: callctx.LevelNormal, CallerHash: 1 << 30}}
			g.divided = g.divide(call)
			must.True(t, g.divided)
			g.countReceived(call)
			refusal := g.gate.admit(now, call, time.Second)
			if refusal == nil {
				g.countEnded(call, result.OK, time.Millisecond)
				continue
			}
			g.countEnded(call, refusal.Code, 0)
			refused[workspace]++
			explained := g.withShare(now, call, refusal)
			must.StrContains(t, explained.Detail, "workspace north asks 15.0 requests/s of level normal")
			must.StrContains(t, explained.Detail, "share at weight 1.00 is")
			must.GreaterEq(t, refusal.RetryAfter, explained.RetryAfter)
		}
	}
	must.EqOp(t, 0, refused["south"])
	must.Between(t, 150, refused["north"], 200)
}

// Guards against calls made for a request that get another rank than their root, and against requests
// without a workspace that are divided.
func TestOnlyRootsOfWorkspacesAreDivided(t *testing.T) {
	g := dividedWriter(t, time.Unix(1000, 0))
	for _, ctx := range []callctx.Context{
		{Workspace: "north", Depth: 1, CallerHash: 7},
		{Workspace: callctx.NoWorkspace, CallerHash: 7},
		{Workspace: "unknown", CallerHash: 7},
	} {
		call := &node.Call{Ctx: ctx}
		must.False(t, g.divide(call))
		must.EqOp(t, 7, call.Ctx.CallerHash)
		refusal := result.Refuse(result.Shed, "full")
		must.True(t, g.withShare(time.Unix(1000, 0), call, refusal) == refusal)
	}
}
