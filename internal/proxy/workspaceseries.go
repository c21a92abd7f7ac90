package proxy

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/routes"
)

const (
	// workspaceSeries is the kind of the metrics of workspaces.
	workspaceSeries = "workspace"
	// maxWorkspaceSeries limits the number of workspaces with metrics of their own. These are the
	// workspaces with the highest quotas; all others share one series.
	maxWorkspaceSeries = 64
	// otherWorkspaces is the label of the shared series. It is not a valid workspace name.
	otherWorkspaces = "(others)"
)

// workspaceMetrics maps workspaces to their series.
type workspaceMetrics struct {
	metrics *metrics.Set
	// series contains the workspaces with a series of their own.
	series atomic.Pointer[map[string]*metrics.Series]
}

// update applies the workspaces of new routes. It must not be called concurrently.
func (m *workspaceMetrics) update(t *routes.Table) {
	byRate := slices.Clone(t.Config().Workspaces)
	slices.SortFunc(byRate, func(a, b routes.Workspace) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), strings.Compare(a.Name, b.Name))
	})
	next := make(map[string]*metrics.Series)
	for _, w := range byRate[:min(len(byRate), maxWorkspaceSeries)] {
		next[w.Name] = m.metrics.Series(workspaceSeries, w.Name)
	}
	previous := m.series.Swap(&next)
	if previous == nil {
		return
	}
	for name := range *previous {
		if next[name] == nil {
			m.metrics.DropSeries(workspaceSeries, name)
		}
	}
}

// forWorkspace returns the series that counts the requests of a workspace.
func (m *workspaceMetrics) forWorkspace(workspace string) *metrics.Series {
	if series := m.series.Load(); series != nil && (*series)[workspace] != nil {
		return (*series)[workspace]
	}
	return m.metrics.Series(workspaceSeries, otherWorkspaces)
}
