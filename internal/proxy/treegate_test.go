package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/routes"
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
