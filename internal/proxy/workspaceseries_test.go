package proxy

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// Guards against thousands of workspaces with metrics of their own, and against those of
// workspaces that are gone.
func TestMetricsOfWorkspacesAreBounded(t *testing.T) {
	table := func(from, to int) *routes.Table {
		c := &routes.Config{Version: 1}
		for i := from; i < to; i++ {
			c.Workspaces = append(c.Workspaces, routes.Workspace{Name: fmt.Sprintf("w%d", i), Rate: float64(i + 1)})
		}
		return routes.NewTable(nil, c, 0)
	}
	m := &workspaceMetrics{metrics: metrics.New(1)}
	m.set(table(0, 1000))
	must.MapLen(t, maxWorkspaceSeries, *m.own.Load())
	must.True(t, m.of("w1") == m.of("w2"))
	must.False(t, m.of("w999") == m.of("w998"))
	largest := m.of("w999")
	m.set(table(0, 10))
	must.MapLen(t, 10, *m.own.Load())
	must.False(t, m.of("w999") == largest)
	must.True(t, m.of("w999") == m.of("w500"))
}
