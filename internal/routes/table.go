package routes

import (
	"slices"
	"strings"
)

// Table finds the route of a request and the workspace of an API key. It is immutable, apart from
// the state of its splitters.
type Table struct {
	config *Config
	// hosts maps a host to its routes, the longest prefix first.
	hosts map[string][]*Entry
	// workspacesByKey maps the digest of an API key to the workspace that holds it.
	workspacesByKey map[Key]*Workspace
}

// Entry is a route with its splitter, which is nil for a route with 1 target.
type Entry struct {
	Route
	splitter *Splitter
}

// Service returns the service that the next request of the route is sent to.
func (e *Entry) Service() string {
	if e.splitter == nil {
		return e.Targets[0].Service
	}
	return e.Targets[e.splitter.Next()].Service
}

// NewTable returns the table of a validated configuration. Routes whose targets are unchanged
// keep the splitters of prev, which may be nil: a splitter that started again with each
// publication would prefer the first target. New splitters start at a position selected by seed,
// which should differ between nodes.
func NewTable(prev *Table, c *Config, seed uint64) *Table {
	t := &Table{config: c, hosts: make(map[string][]*Entry), workspacesByKey: workspacesByKey(c)}
	for i := range c.Routes {
		r := c.Routes[i]
		e := &Entry{Route: r}
		if len(r.Targets) > 1 {
			e.splitter = prev.splitter(&r, seed+uint64(i))
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

func workspacesByKey(c *Config) map[Key]*Workspace {
	holders := make(map[Key]*Workspace, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			holders[k] = w
		}
	}
	return holders
}

// NeedsKey reports whether callers of a route must present an API key.
func (t *Table) NeedsKey(e *Entry) bool { return len(t.config.Workspaces) > 0 && !e.Public }

// WorkspaceByKey returns the workspace that holds an API key; nil if there is none.
func (t *Table) WorkspaceByKey(apiKey string) *Workspace { return t.workspacesByKey[KeyOf(apiKey)] }

// splitter returns the splitter of t for an unchanged route, or a new one. t may be nil.
func (t *Table) splitter(r *Route, seed uint64) *Splitter {
	if t != nil {
		for _, e := range t.hosts[r.Host] {
			if e.Prefix == r.Prefix && e.splitter != nil && slices.Equal(e.Targets, r.Targets) {
				return e.splitter
			}
		}
	}
	weights := make([]int, len(r.Targets))
	for i, target := range r.Targets {
		weights[i] = target.Weight
	}
	return NewSplitter(weights, seed)
}

// Config returns the configuration that the table was made from. It must not be changed.
func (t *Table) Config() *Config { return t.config }

// Has reports whether there is a route for exactly this host and prefix.
func (t *Table) Has(host, prefix string) bool {
	return slices.ContainsFunc(t.hosts[host], func(e *Entry) bool { return e.Prefix == prefix })
}

// HasService reports whether the configuration has a service of this name.
func (t *Table) HasService(name string) bool {
	return slices.ContainsFunc(t.config.Services, func(s Service) bool { return s.Name == name })
}

// Match returns the route of the host with the longest prefix of path; nil if there is none. path
// has no query.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// hostName removes the port and converts the name to lower case, since host names are
// case-insensitive.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
