package proxy

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// Guards against memory and metrics that grow with the number of workspaces, and against metrics of
// removed workspaces.
func TestMetricsOfWorkspacesAreBounded(t *testing.T) {
	table := func(from, to int) *routes.Table {
		c := &routes.Config{Version: 1}
		for i := from; i < to; i++ {
			c.Workspaces = append(c.Workspaces, routes.Workspace{Name: fmt.Sprintf("w%d", i), Rate: float64(i + 1)})
		}
		return routes.NewTable(nil, c, 0)
	}
	m := &workspaceMetrics{metrics: metrics.New(1)}
	m.update(table(0, 1000))
	must.MapLen(t, maxWorkspaceSeries, *m.series.Load())
	must.True(t, m.forWorkspace("w1") == m.forWorkspace("w2"))
	must.False(t, m.forWorkspace("w999") == m.forWorkspace("w998"))
	largest := m.forWorkspace("w999")
	m.update(table(0, 10))
	must.MapLen(t, 10, *m.series.Load())
	must.False(t, m.forWorkspace("w999") == largest)
	must.True(t, m.forWorkspace("w999") == m.forWorkspace("w500"))
}
