package routes

import (
	"fmt"
	"maps"
	"slices"
	"strings"
)

// Difference is a field that differs between two configurations, or a route or workspace that
// only one of them has.
type Difference struct {
	// Route is the host and path prefix of a route, "limits", or "workspace" and its name.
	Route string `json:"route"`
	// Field is empty if only one configuration has the object.
	Field string `json:"field,omitempty"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// String returns the service, with its weight where there is one.
func (w WeightedService) String() string {
	if w.Weight == 0 {
		return w.Service
	}
	return fmt.Sprintf("%s:%d", w.Service, w.Weight)
}

// TargetsText returns the targets of the route as text.
func (r *Route) TargetsText() string {
	names := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		names[i] = t.String()
	}
	return strings.Join(names, " ")
}

// Diff returns the differences between two configurations: limits first, then routes ordered by
// host and prefix, then workspaces by name.
func Diff(before, after *Config) []Difference {
	out := diffFields("limits", limitFields(&before.Limits), limitFields(&after.Limits))
	old, next := byHostAndPrefix(before), byHostAndPrefix(after)
	for _, name := range unionOfKeys(old, next) {
		out = append(out, diffRoute(name, old[name], next[name])...)
	}
	return append(out, diffWorkspaces(before, after)...)
}

func unionOfKeys[V any](a, b map[string]V) []string {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return slices.Sorted(maps.Keys(all))
}

func diffWorkspaces(before, after *Config) []Difference {
	byName := func(c *Config) map[string]*Workspace {
		m := make(map[string]*Workspace, len(c.Workspaces))
		for i := range c.Workspaces {
			m[c.Workspaces[i].Name] = &c.Workspaces[i]
		}
		return m
	}
	old, next := byName(before), byName(after)
	var out []Difference
	for _, name := range unionOfKeys(old, next) {
		object := "workspace " + name
		switch a, b := old[name], next[name]; {
		case a == nil:
			out = append(out, Difference{Route: object, New: "there"})
		case b == nil:
			out = append(out, Difference{Route: object, Old: "there"})
		default:
			out = append(out, diffFields(object, workspaceFields(a), workspaceFields(b))...)
		}
	}
	return out
}

// workspaceFields returns the fields of a workspace as text. Keys appear as fingerprints.
func workspaceFields(w *Workspace) []field {
	level := "of its routes"
	if w.Level != nil {
		level = w.Level.String()
	}
	return []field{
		{"keys", fmt.Sprint(w.Keys)},
		{"level", level},
		{"rate", fmt.Sprint(w.Rate)},
		{"burst", fmt.Sprint(w.Burst)},
	}
}

func byHostAndPrefix(c *Config) map[string]*Route {
	m := make(map[string]*Route, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		m[r.Host+r.Prefix] = r
	}
	return m
}

func diffRoute(name string, before, after *Route) []Difference {
	switch {
	case before == nil:
		return []Difference{{Route: name, New: after.TargetsText()}}
	case after == nil:
		return []Difference{{Route: name, Old: before.TargetsText()}}
	}
	return diffFields(name, routeFields(before), routeFields(after))
}

type field struct{ name, value string }

func routeFields(r *Route) []field {
	return []field{
		{"name", r.Name},
		{"to", r.TargetsText()},
		{"timeout", r.Timeout.String()},
		{"objective", r.Objective.String()},
		{"attempts", fmt.Sprint(r.MaxAttempts)},
		{"level", r.Level.String()},
		{"idempotent", fmt.Sprint(r.Idempotent)},
		{"public", fmt.Sprint(r.Public)},
	}
}

func limitFields(l *Limits) []field {
	return []field{
		{"header_bytes", fmt.Sprint(l.HeaderBytes)},
		{"body_bytes", fmt.Sprint(l.BodyBytes)},
		{"header_timeout", l.HeaderTimeout.String()},
		{"idle_timeout", l.IdleTimeout.String()},
	}
}

func diffFields(object string, before, after []field) []Difference {
	var out []Difference
	for i, f := range before {
		if f.value != after[i].value {
			out = append(out, Difference{Route: object, Field: f.name, Old: f.value, New: after[i].value})
		}
	}
	return out
}
