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

// Publications add and remove routes for months. What is kept for each of them
// must go with it, or memory grows without end.
func TestGatesOfRemovedRoutesAreForgotten(t *testing.T) {
	route := func(prefix string) routes.Route {
		return routes.Route{Name: prefix, Host: "h", Prefix: prefix, Targets: []routes.WeightedService{{Service: "s", Weight: 1}}, Timeout: time.Second, MaxAttempts: 1}
	}
	g := treeGates{metrics: metrics.New(1)}
	kept, gone := g.of("h", "/kept/"), g.of("h", "/gone/")
	config := &routes.Config{Version: 1, Services: []routes.Service{{Name: "s"}}, Routes: []routes.Route{route("/kept/")}}
	must.NoError(t, config.Validate())
	g.retain(routes.NewTable(nil, config, 0))
	must.True(t, kept == g.of("h", "/kept/"))
	must.False(t, gone == g.of("h", "/gone/"))
}

// gatedCall is a root request as a gate sees it.
func gatedCall(level callctx.Level) *node.Call {
	return &node.Call{Ctx: callctx.Context{Level: level, CallerHash: 1 << 31}}
}

// Guards against a gate that opens because its own refused route learns nothing.
func TestRoutesLearnOfASharedServiceTogether(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	lookups, filings := g.of("h", "/lookups/"), g.of("h", "/filings/")
	now := time.Unix(1000, 0)
	shed := &node.Response{Code: result.UpstreamFailed, ShedsFrom: admission.Rank(callctx.LevelHigh, 0), ShedsBy: "registry"}
	for range 20 {
		lookups.learn(now, gatedCall(callctx.LevelNormal), shed)
	}
	refused := func() int {
		n := 0
		for range 100 {
			if lookups.admit(now, gatedCall(callctx.LevelNormal), time.Second) != nil {
				n++
			}
		}
		return n
	}
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		filings.learn(now, gatedCall(callctx.LevelCritical), &node.Response{Code: result.OK, ShedsFrom: shed.ShedsFrom, ShedsBy: "registry"})
	}
	must.Greater(t, 90, refused())
	for range 40 {
		now = now.Add(20 * time.Millisecond)
		filings.learn(now, gatedCall(callctx.LevelCritical), &node.Response{Code: result.OK, ShedsFrom: routing.NoThreshold})
	}
	must.EqOp(t, 0, refused())
}

// A route that calls nothing behind its upstream goes on, whatever others met.
func TestRouteThatMeetsNoServiceStaysOpen(t *testing.T) {
	g := treeGates{metrics: metrics.New(1)}
	now := time.Unix(1000, 0)
	for range 20 {
		g.of("h", "/lookups/").learn(now, gatedCall(callctx.LevelNormal), &node.Response{Code: result.OK, ShedsFrom: 0, ShedsBy: "registry"})
	}
	must.Nil(t, g.of("h", "/uploads/").admit(now, gatedCall(callctx.LevelNormal), time.Second))
}

// What a hop says of the services behind arrives as it was, and what can't be read sheds
// nothing.
func TestShedsOverOneHop(t *testing.T) {
	a := &node.Response{ShedsFrom: 7 << 20, ShedsBy: "registry"}
	from, by := decodeSheds(encodeSheds(a))
	must.EqOp(t, a.ShedsFrom, from)
	must.EqOp(t, a.ShedsBy, by)
	for _, text := range []string{"", "7", "x registry", "99999999999 registry", "7 no name"} {
		from, by := decodeSheds(text)
		must.EqOp(t, uint32(routing.NoThreshold), from)
		must.EqOp(t, "", by)
	}
}
