// Package routes decides which service a request goes to. Operators publish one
// validated configuration of hosts, path prefixes and services; a Table made
// from it finds the route of a request, and a Splitter holds the weights of a
// route with several services. The package is pure: no I/O, no clock.
package routes

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Config is one published configuration. It is immutable once validated.
type Config struct {
	// Version grows with every publication, not by one.
	Version  int64
	Services []Service
	Limits   Limits
	Routes   []Route
	// Workspaces are those whose callers are known by their API keys. With none,
	// nobody needs a key.
	Workspaces []Workspace
}

// Service is a service that routes may name.
type Service struct {
	Name string
	// HealthPath is where its upstreams answer whether they take work; empty where
	// that is not known.
	HealthPath string
}

// Limits bound what a caller may send. 0 leaves the node's own bound.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout bounds the time in which a header must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay unused.
	IdleTimeout time.Duration
}

// Route sends the requests of a host and path prefix to a service, or to
// several by weight.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has one entry for a plain route; weights are relative.
	Targets []WeightedService
	// Timeout bounds a request from its arrival to its answer.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full use.
	Objective time.Duration
	// MaxAttempts is how many upstreams one request may be sent to.
	MaxAttempts int
	Level       callctx.Level
	// Idempotent says that running a request twice does no harm.
	Idempotent bool
	// Public says that callers need no API key.
	Public bool
}

// WeightedService is one part of a route.
type WeightedService struct {
	Service string
	Weight  int
}

// FieldError names the field of a configuration that is out of bounds.
type FieldError struct {
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("routes: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Bounds of a configuration.
const (
	// MaxRoutes bounds the routes of a configuration: the planned 1,700 services
	// with a few routes each.
	MaxRoutes = 16384
	// MaxTargets bounds the parts of one route.
	MaxTargets = 64
	// MaxAttempts bounds the upstreams that one request may be sent to.
	MaxAttempts = 16
	// MaxTimeout bounds a route's timeout.
	MaxTimeout = 10 * time.Minute
)

// Validate returns a *FieldError for the first field out of bounds.
func (c *Config) Validate() error {
	if c.Version <= 0 {
		return &FieldError{"version", c.Version, "above 0"}
	}
	if len(c.Routes) > MaxRoutes {
		return &FieldError{"routes", len(c.Routes), fmt.Sprintf("at most %d", MaxRoutes)}
	}
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if !callctx.ValidName(s.Name) {
			return &FieldError{"services.name", s.Name, "a name of 1 to 64 letters, digits, '-', '_' or '.'"}
		}
		known[s.Name] = true
	}
	seen := make(map[routeKey]bool, len(c.Routes))
	for i := range c.Routes {
		r := &c.Routes[i]
		if err := r.validate(known); err != nil {
			return err
		}
		key := routeKey{r.Host, r.Prefix}
		if seen[key] {
			return &FieldError{r.field("prefix"), r.Prefix, "given once for the host"}
		}
		seen[key] = true
	}
	return c.validateWorkspaces()
}

type routeKey struct{ host, prefix string }

func (r *Route) field(name string) string { return "route " + r.Name + ": " + name }

func (r *Route) validate(known map[string]bool) error {
	if r.Host == "" {
		return &FieldError{r.field("host"), `""`, "given"}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &FieldError{r.field("prefix"), r.Prefix, "begun and ended with '/'"}
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		return &FieldError{r.field("timeout"), r.Timeout, "above 0s and at most 10m"}
	}
	if r.MaxAttempts < 1 || r.MaxAttempts > MaxAttempts {
		return &FieldError{r.field("max_attempts"), r.MaxAttempts, fmt.Sprintf("1 to %d", MaxAttempts)}
	}
	return r.validateTargets(known)
}

func (r *Route) validateTargets(known map[string]bool) error {
	if len(r.Targets) == 0 || len(r.Targets) > MaxTargets {
		return &FieldError{r.field("services"), len(r.Targets), fmt.Sprintf("1 to %d", MaxTargets)}
	}
	total := 0
	for _, t := range r.Targets {
		if !known[t.Service] {
			return &FieldError{r.field("service"), t.Service, "one of the services"}
		}
		if t.Weight < 0 {
			return &FieldError{r.field("weight"), t.Weight, "at least 0"}
		}
		total += t.Weight
	}
	if total == 0 {
		return &FieldError{r.field("weight"), 0, "above 0 for one service at least"}
	}
	return nil
}

// HealthPath returns where upstreams of a service answer whether they take work;
// empty when that is not known.
func (c *Config) HealthPath(service string) string {
	for _, s := range c.Services {
		if s.Name == service {
			return s.HealthPath
		}
	}
	return ""
}

// Sorted returns the routes by host and prefix.
func (c *Config) Sorted() []Route {
	out := slices.Clone(c.Routes)
	slices.SortFunc(out, func(a, b Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Prefix, b.Prefix))
	})
	return out
}
