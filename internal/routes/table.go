package routes

import (
	"slices"
	"strings"
)

// Table finds the route of a request. It is immutable.
type Table struct {
	config *Config
	// hosts holds the routes of a host, the longest prefix first.
	hosts map[string][]*Entry
	// holders finds the workspace that holds a key.
	holders map[Key]*Workspace
}

// Entry is a route with the state of its weights.
type Entry struct {
	Route
	split *Splitter
}

// Service returns the service of the next request on the route.
func (e *Entry) Service() string {
	if e.split == nil {
		return e.Targets[0].Service
	}
	return e.Targets[e.split.Next()].Service
}

// NewTable makes the table of a validated configuration. The state of weights
// that did not change is taken over from prev, which may be nil: a split that
// began anew with each publication would favour its first part.
func NewTable(prev *Table, c *Config, seed uint64) *Table {
	t := &Table{config: c, hosts: make(map[string][]*Entry), holders: holdersOf(c)}
	for i := range c.Routes {
		r := c.Routes[i]
		e := &Entry{Route: r}
		if len(r.Targets) > 1 {
			e.split = prev.splitter(&r, seed+uint64(i))
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], e)
	}
	for _, entries := range t.hosts {
		slices.SortStableFunc(entries, func(a, b *Entry) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return t
}

func holdersOf(c *Config) map[Key]*Workspace {
	holders := make(map[Key]*Workspace, len(c.Workspaces))
	for i := range c.Workspaces {
		w := &c.Workspaces[i]
		for _, k := range w.Keys {
			holders[k] = w
		}
	}
	return holders
}

// NeedsKey reports whether callers of a route have to show an API key.
func (t *Table) NeedsKey(e *Entry) bool { return len(t.config.Workspaces) > 0 && !e.Public }

// Holder returns the workspace that holds an API key; nil when there is none.
func (t *Table) Holder(apiKey string) *Workspace { return t.holders[KeyOf(apiKey)] }

func (t *Table) splitter(r *Route, seed uint64) *Splitter {
	if t != nil {
		for _, e := range t.hosts[r.Host] {
			if e.Prefix == r.Prefix && e.split != nil && slices.Equal(e.Targets, r.Targets) {
				return e.split
			}
		}
	}
	weights := make([]int, len(r.Targets))
	for i, target := range r.Targets {
		weights[i] = target.Weight
	}
	return NewSplitter(weights, seed)
}

// Config returns what the table was made from.
func (t *Table) Config() *Config { return t.config }

// Has reports whether there is a route for exactly this host and prefix.
func (t *Table) Has(host, prefix string) bool {
	return slices.ContainsFunc(t.hosts[host], func(e *Entry) bool { return e.Prefix == prefix })
}

// HasService reports whether the configuration names a service.
func (t *Table) HasService(name string) bool {
	return slices.ContainsFunc(t.config.Services, func(s Service) bool { return s.Name == name })
}

// Match returns the route with the longest prefix of the path among those of
// the host; nil when there is none. path has no query.
func (t *Table) Match(host, path string) *Entry {
	for _, e := range t.hosts[hostName(host)] {
		if strings.HasPrefix(path, e.Prefix) {
			return e
		}
	}
	return nil
}

// hostName takes a port off, and folds the case: host names have none.
func hostName(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon > strings.LastIndexByte(host, ']') {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
