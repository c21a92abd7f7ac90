package overview

import (
	"fmt"
	"time"
)

// FieldError reports a field of a message whose value is out of bounds.
type FieldError struct {
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("overview: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (r *Report) Validate(now time.Time) error {
	if err := checkName("node", r.Node); err != nil {
		return err
	}
	if err := checkName("zone", r.Zone); err != nil {
		return err
	}
	if r.Incarnation > uint64(now.Add(maxClockLead).UnixNano()) {
		return &FieldError{"incarnation", r.Incarnation, "at most one hour ahead of the collector's clock"}
	}
	if r.IntervalMillis < 1 || r.IntervalMillis > maxInterval.Milliseconds() {
		return &FieldError{"interval_ms", r.IntervalMillis, fmt.Sprintf("1 to %d", maxInterval.Milliseconds())}
	}
	if err := checkWorkspaces(r.Workspaces); err != nil {
		return err
	}
	if err := checkCalls(r.Calls, MaxCalls); err != nil {
		return err
	}
	if r.Upstream == nil {
		return nil
	}
	return r.Upstream.validate()
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (z *Zone) Validate() error {
	if err := checkName("zone", z.Name); err != nil {
		return err
	}
	if z.AgeMillis < 0 || z.AgeMillis > maxInterval.Milliseconds() {
		return &FieldError{"age_ms", z.AgeMillis, fmt.Sprintf("0 to %d", maxInterval.Milliseconds())}
	}
	if z.Nodes < 0 || z.Nodes > MaxNodes {
		return &FieldError{"nodes", z.Nodes, fmt.Sprintf("0 to %d", MaxNodes)}
	}
	if err := checkWorkspaces(z.Workspaces); err != nil {
		return err
	}
	if z.Rest.Workspaces < 0 || !inRange(z.Rest.PerSecond) {
		return &FieldError{"rest", z.Rest, "at least 0"}
	}
	if err := checkCalls(z.Calls, MaxServices); err != nil {
		return err
	}
	if len(z.Services) > MaxServices {
		return &FieldError{"services", len(z.Services), fmt.Sprintf("at most %d", MaxServices)}
	}
	for i := range z.Services {
		if err := z.Services[i].validate(); err != nil {
			return err
		}
	}
	return z.Used.validate()
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (v *View) Validate() error {
	if len(v.Zones) > MaxZones {
		return &FieldError{"zones", len(v.Zones), fmt.Sprintf("at most %d", MaxZones)}
	}
	for i := range v.Zones {
		if err := v.Zones[i].Validate(); err != nil {
			return err
		}
	}
	if v.Total.Workspaces < 0 || !inRange(v.Total.PerSecond) {
		return &FieldError{"total", v.Total, "at least 0"}
	}
	if len(v.Top) > MaxTopWorkspaces {
		return &FieldError{"top", len(v.Top), fmt.Sprintf("at most %d", MaxTopWorkspaces)}
	}
	if err := checkWorkspaces(v.Top); err != nil {
		return err
	}
	return checkWorkspaces(v.Workspaces)
}

func (c *Capacity) validate() error {
	if err := checkName("service", c.Service); err != nil {
		return err
	}
	if c.Upstreams < 0 || c.Upstreams > MaxNodes {
		return &FieldError{"upstreams", c.Upstreams, fmt.Sprintf("0 to %d", MaxNodes)}
	}
	for _, x := range []struct {
		field string
		value float64
	}{{"slots", c.Slots}, {"busy", c.Busy}, {"queued", c.Queued}, {"per_s", c.PerSecond}} {
		if err := checkValue(x.field, x.value); err != nil {
			return err
		}
	}
	if len(c.Kinds) > MaxKinds {
		return &FieldError{"kinds", len(c.Kinds), fmt.Sprintf("at most %d", MaxKinds)}
	}
	for _, k := range c.Kinds {
		if err := checkValue("kinds.seconds", k.Seconds); err != nil {
			return err
		}
		if err := checkValue("kinds.per_s", k.PerSecond); err != nil {
			return err
		}
	}
	return nil
}

func checkWorkspaces(list []WorkspaceDemand) error {
	if len(list) > MaxWorkspaces {
		return &FieldError{"workspaces", len(list), fmt.Sprintf("at most %d", MaxWorkspaces)}
	}
	for _, w := range list {
		if err := checkName("workspace", w.Workspace); err != nil {
			return err
		}
		if err := checkValue("workspaces.per_s", w.PerSecond); err != nil {
			return err
		}
	}
	return nil
}

func checkCalls(list []ServiceDemand, limit int) error {
	if len(list) > limit {
		return &FieldError{"calls", len(list), fmt.Sprintf("at most %d", limit)}
	}
	for _, c := range list {
		if err := checkName("calls.service", c.Service); err != nil {
			return err
		}
		if err := checkValue("calls.per_s", c.PerSecond); err != nil {
			return err
		}
	}
	return nil
}

func checkName(field, name string) error {
	if name == "" || len(name) > maxNameBytes {
		return &FieldError{field, name, fmt.Sprintf("a name of 1 to %d bytes", maxNameBytes)}
	}
	return nil
}

func checkValue(field string, value float64) error {
	if !inRange(value) {
		return &FieldError{field, value, fmt.Sprintf("0 to %g", float64(maxValue))}
	}
	return nil
}

// inRange is false for NaN.
func inRange(value float64) bool { return value >= 0 && value <= maxValue }
