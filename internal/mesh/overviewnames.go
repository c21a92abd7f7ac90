package mesh

import (
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// workspaceNames holds the names of the workspaces of a configuration by their IDs.
type workspaceNames struct {
	table *routes.Table
	names map[string]string
}

// of returns the names of the workspaces of a table, which may be nil.
func (n *workspaceNames) of(table *routes.Table) map[string]string {
	if table == n.table {
		return n.names
	}
	n.table, n.names = table, map[string]string{}
	if table == nil {
		return n.names
	}
	for i := range table.Config().Workspaces {
		name := table.Config().Workspaces[i].Name
		n.names[overview.WorkspaceID(name)] = name
	}
	return n.names
}

// refuse counts a message of another node that could not be decoded, as of an earlier version.
func (x *overviewExchange) refuse() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.collector.Refuse()
}
