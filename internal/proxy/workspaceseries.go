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
	// maxWorkspaceSeries bounds the workspaces with metrics of their own: those with the
	// highest quotas. All others share one series.
	maxWorkspaceSeries = 64
	// otherWorkspaces is the label of those; no workspace may have this name.
	otherWorkspaces = "(others)"
)

// workspaceMetrics finds the series of a workspace.
type workspaceMetrics struct {
	metrics *metrics.Set
	// own are the workspaces with a series of their own.
	own atomic.Pointer[map[string]*metrics.Series]
}

// set puts the workspaces of routes in force. One caller at a time.
func (m *workspaceMetrics) set(t *routes.Table) {
	ordered := slices.Clone(t.Config().Workspaces)
	slices.SortFunc(ordered, func(a, b routes.Workspace) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), strings.Compare(a.Name, b.Name))
	})
	next := make(map[string]*metrics.Series)
	for _, w := range ordered[:min(len(ordered), maxWorkspaceSeries)] {
		next[w.Name] = m.metrics.Series(workspaceSeries, w.Name)
	}
	before := m.own.Swap(&next)
	if before == nil {
		return
	}
	for name := range *before {
		if next[name] == nil {
			m.metrics.Drop(workspaceSeries, name)
		}
	}
}

// of returns the series that counts a workspace's requests.
func (m *workspaceMetrics) of(workspace string) *metrics.Series {
	if own := m.own.Load(); own != nil && (*own)[workspace] != nil {
		return (*own)[workspace]
	}
	return m.metrics.Series(workspaceSeries, otherWorkspaces)
}
