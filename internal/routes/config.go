// Package routes maps requests to services. Operators publish one validated configuration of
// hosts, path prefixes, services and workspaces. A Table made from it finds the route of a
// request and the workspace of an API key; a Splitter distributes the requests of a route among
// several services by weight. The package is pure: no I/O, no clock.
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
	// Version grows with every publication, but not in steps of 1.
	Version  int64
	Services []Service
	Limits   Limits
	Routes   []Route
	// Workspaces are the workspaces whose callers authenticate with API keys. If there are none,
	// no caller needs a key.
	Workspaces []Workspace
}

// Service is a service that routes can refer to by name.
type Service struct {
	Name string
	// HealthPath is the URL path on which its upstreams report whether they accept work; empty if
	// it is not known.
	HealthPath string
}

// Limits bound the requests of callers. 0 selects the limit in the node's own settings.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time in which the header of a request must arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an unused connection of a caller is closed.
	IdleTimeout time.Duration
}

// Route sends the requests for a host and path prefix to a service, or to several services by
// weight.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Targets has 1 entry for a route to one service. Weights are relative to their sum.
	Targets []WeightedService
	// Timeout bounds the time from the arrival of a request to its response.
	Timeout time.Duration
	// Objective is the latency up to which a response has its full value to the caller.
	Objective time.Duration
	// MaxAttempts is the number of upstreams that one request may be sent to.
	MaxAttempts int
	Level       callctx.Level
	// Idempotent is true if a request may run twice without harm.
	Idempotent bool
	// Public is true if callers need no API key.
	Public bool
}

// WeightedService is one target of a route: a service and its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// FieldError describes a field of a configuration that is out of bounds.
type FieldError struct {
	Field string
	Value any
	// Bound describes the valid values; the message reads "must be" before it.
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("routes: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Bounds of a configuration.
const (
	// MaxVersion bounds Config.Version: the greatest integer that all JSON decoders keep.
	MaxVersion = 1 << 53
	// MaxRoutes bounds the routes of a configuration: the planned 1,700 services with a few
	// routes each.
	MaxRoutes = 16384
	// MaxTargets bounds the targets of one route.
	MaxTargets = 64
	// MaxAttempts bounds Route.MaxAttempts.
	MaxAttempts = 16
	// MaxTimeout bounds Route.Timeout, Route.Objective and Limits.HeaderTimeout.
	MaxTimeout = 10 * time.Minute
	// MaxIdleTimeout bounds Limits.IdleTimeout.
	MaxIdleTimeout = 24 * time.Hour
	// MaxWeight bounds WeightedService.Weight. The sum of those of a route stays far from overflow.
	MaxWeight = 1_000_000
	// MaxHeaderBytes and MaxBodyBytes bound Limits.
	MaxHeaderBytes = 1 << 30
	MaxBodyBytes   = 1 << 40
)

// Validate returns a *FieldError for the first field out of bounds.
func (c *Config) Validate() error {
	if c.Version <= 0 || c.Version > MaxVersion {
		return &FieldError{"version", c.Version, fmt.Sprintf("1 to %d", int64(MaxVersion))}
	}
	if err := c.Limits.validate(); err != nil {
		return err
	}
	if len(c.Routes) > MaxRoutes {
		return &FieldError{"routes", len(c.Routes), fmt.Sprintf("at most %d", MaxRoutes)}
	}
	known := make(map[string]bool, len(c.Services))
	for _, s := range c.Services {
		if !callctx.ValidName(s.Name) {
			return &FieldError{"services.name", s.Name, "a name of 1 to 64 letters, digits, '-', '_' or '.'"}
		}
		if s.HealthPath != "" && !strings.HasPrefix(s.HealthPath, "/") {
			return &FieldError{"service " + s.Name + ": health path", s.HealthPath, "a path that starts with '/'"}
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

func (l *Limits) validate() error {
	for _, x := range []struct {
		field       string
		value, most int64
	}{
		{"header bytes", int64(l.HeaderBytes), MaxHeaderBytes},
		{"body bytes", l.BodyBytes, MaxBodyBytes},
		{"header timeout", int64(l.HeaderTimeout), int64(MaxTimeout)},
		{"idle timeout", int64(l.IdleTimeout), int64(MaxIdleTimeout)},
	} {
		if x.value < 0 || x.value > x.most {
			return &FieldError{"limits: " + x.field, x.value, fmt.Sprintf("0 to %d", x.most)}
		}
	}
	return nil
}

type routeKey struct{ host, prefix string }

func (r *Route) field(name string) string { return "route " + r.Name + ": " + name }

func (r *Route) validate(known map[string]bool) error {
	if r.Host == "" {
		return &FieldError{r.field("host"), `""`, "given"}
	}
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &FieldError{r.field("prefix"), r.Prefix, "a path that starts and ends with '/'"}
	}
	if r.Timeout <= 0 || r.Timeout > MaxTimeout {
		return &FieldError{r.field("timeout"), r.Timeout, "above 0s and at most 10m"}
	}
	if r.Objective < 0 || r.Objective > MaxTimeout {
		return &FieldError{r.field("objective"), r.Objective, "0s to 10m"}
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
		if t.Weight < 0 || t.Weight > MaxWeight {
			return &FieldError{r.field("weight"), t.Weight, fmt.Sprintf("0 to %d", MaxWeight)}
		}
		total += t.Weight
	}
	if total == 0 {
		return &FieldError{r.field("weight"), 0, "above 0 for one service at least"}
	}
	return nil
}

// HealthPath returns the URL path on which upstreams of a service report whether they accept
// work; empty if it is not known.
func (c *Config) HealthPath(service string) string {
	for _, s := range c.Services {
		if s.Name == service {
			return s.HealthPath
		}
	}
	return ""
}

// Sorted returns the routes ordered by host and prefix.
func (c *Config) Sorted() []Route {
	out := slices.Clone(c.Routes)
	slices.SortFunc(out, func(a, b Route) int {
		return cmp.Or(strings.Compare(a.Host, b.Host), strings.Compare(a.Prefix, b.Prefix))
	})
	return out
}
