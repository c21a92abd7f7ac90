package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Guards against memory that grows with every removed route.
func TestGatesOfRemovedRoutesAreDeleted(t *testing.T) {
	route := func(prefix string) routes.Route {
		return routes.Route{Name: prefix, Host: "h", Prefix: prefix, Targets: []routes.WeightedService{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1}
	}
	g := treeGates{metrics: metrics.New(1)}
	current, removed := g.forRoute("h", "/kept/"), g.forRoute("h", "/gone/")
	config := &routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{route("/kept/")}}
	must.NoError(t, config.Validate())
	g.retain(routes.NewTable(nil, config, 0))
	must.True(t, current == g.forRoute("h", "/kept/"))
	must.False(t, removed == g.forRoute("h", "/gone/"))
}

// rootCall returns a root call for treeGate.admit and treeGate.observe.
func rootCall(level callctx.Level) *node.Call {
	return &node.Call{Ctx: callctx.Context{Level: level, CallerHash: 1 << 31}}
}

// Guards against a gate that opens because its refused route receives no responses, although the
// responses of another route show that the shared service still sheds calls.
func TestRoutesShareServiceGate(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	lookups, filings := g.forRoute("h", "/lookups/"), g.forRoute("h", "/filings/")
	now := time.Unix(1000, 0)
	shed := &node.Response{Code: result.UpstreamFailed, ShedThreshold: admission.Rank(callctx.LevelHigh, 0), SheddingService: "registry"}
	for range 20 {
		lookups.observe(now, rootCall(callctx.LevelNormal), shed)
	}
	refused := func() int {
		n := 0
		for range 100 {
			if lookups.admit(now, rootCall(callctx.LevelNormal), time.Second) != nil {
				n++
			}
		}
		return n
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		filings.observe(now, rootCall(callctx.LevelCritical), &node.Response{Code: result.OK, ShedThreshold: shed.ShedThreshold, SheddingService: "registry"})
	}
	must.Greater(t, 90, refused())
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		filings.observe(now, rootCall(callctx.LevelCritical), &node.Response{Code: result.OK, ShedThreshold: routing.NoThreshold})
	}
	must.EqOp(t, 0, refused())
}

// Guards against a route that is refused because of a service that its calls do not reach.
func TestRouteWithoutSheddingServiceStaysOpen(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	now := time.Unix(1000, 0)
	for range 20 {
		g.forRoute("h", "/lookups/").observe(now, rootCall(callctx.LevelNormal), &node.Response{Code: result.OK, ShedThreshold: 0, SheddingService: "registry"})
	}
	must.Nil(t, g.forRoute("h", "/uploads/").admit(now, rootCall(callctx.LevelNormal), time.Second))
}

// Guards against a changed threshold or service after one hop, and against an invalid header value
// that is taken for a threshold.
func TestShedsHeaderRoundTrip(t *testing.T) {
	a := &node.Response{ShedThreshold: 7 << 20, SheddingService: "registry"}
	threshold, service := decodeSheds(encodeSheds(a))
	must.EqOp(t, a.ShedThreshold, threshold)
	must.EqOp(t, a.SheddingService, service)
	for _, text := range []string{"", "7", "x registry", "99999999999 registry", "7 no name"} {
		threshold, service := decodeSheds(text)
		must.EqOp(t, uint32(routing.NoThreshold), threshold)
		must.EqOp(t, "", service)
	}
}

// Guards against a gate that stays closed for seconds although calls of other routes show that the
// service sheds nothing any more, and against one that opens without any recent report.
func TestLoadReportsOpenGate(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	now := time.Unix(1000, 0)
	table := routing.NewTable(nil, routing.DefaultConfig(), routing.Self{Node: "self"}, []routing.Endpoint{{Node: "a", Incarnation: 1, Addr: "a:1", Service: "registry", Slots: 8}}, now)
	lookups := g.forRoute("h", "/lookups/")
	for range 30 {
		lookups.observe(now, rootCall(callctx.LevelNormal), &node.Response{Code: result.UpstreamFailed, ShedThreshold: 0, SheddingService: "registry"})
	}
	closed := func() bool {
		g.observeReports(now, table, "registry")
		return lookups.shedding.Load().state.Threshold(now) < admission.Rank(callctx.LevelLow, 1<<31)
	}
	must.True(t, closed())
	target := table.ByNode("a")
	for range 20 {
		now = now.Add(20 * time.Millisecond)
		target.Start(now)
		target.Done(now, routing.Answered, time.Millisecond, &routing.LoadReport{Limit: 8, Threshold: routing.NoThreshold})
		g.observeReports(now, table, "registry")
	}
	must.False(t, closed())
}

// Guards against refusing requests that may be repeated while few trees complete, and against letting
// in those that may run once at most.
func TestIdempotentRequestsAreAdmittedWhileTreesFail(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	now := time.Unix(1000, 0)
	lookups := g.forRoute("h", "/lookups/")
	for range 60 {
		lookups.observe(now, rootCall(callctx.LevelNormal), &node.Response{Code: result.UpstreamFailed, ShedThreshold: 0, SheddingService: "registry"})
	}
	refused := func(idempotent bool) int {
		n := 0
		for range 100 {
			call := rootCall(callctx.LevelNormal)
			call.Ctx.Idempotent = idempotent
			if lookups.admit(now, call, time.Second) != nil {
				n++
			}
		}
		return n
	}
	must.EqOp(t, 0, refused(true))
	must.Greater(t, 90, refused(false))
}
