package routing

import (
	"fmt"
	"time"
)

// Config is the configuration of routing. docs/operations/routing.md explains when to change which
// field.
type Config struct {
	// SlowStart is the time a new endpoint takes to reach its full share of calls. 0 disables slow
	// start.
	SlowStart time.Duration
	// SlowStartAnswers is the number of responses that a new endpoint must also give to reach its
	// full share.
	SlowStartAnswers int
	// EjectFor is the duration of the first ejection. It doubles with each failed probe, up to
	// maxEjectDoublings times.
	EjectFor time.Duration
	// EjectFailures is the number of consecutive failures that eject an endpoint. A failure to
	// connect counts double.
	EjectFailures int
	// EjectRatioExcess ejects an endpoint whose share of failures exceeds the mean of its peers by
	// this much. It is in (0, 1].
	EjectRatioExcess float64
	// MaxEjectedShare bounds the ejected share of a service's endpoints, in [0, 1). At least one
	// endpoint always stays in use.
	MaxEjectedShare float64
	// LoadAge is the age up to which a load report is used.
	LoadAge time.Duration
	// DrainHold is the time for which a report of draining is used if neither membership nor
	// another report confirms it.
	DrainHold time.Duration
	// LatencyDecay is the time in which the excess latency of an endpoint that receives no calls
	// counts only half. The excess is the part above the mean latency of the service.
	LatencyDecay time.Duration
	// ProbeShare is the share of calls that are sent although they would be refused early.
	ProbeShare float64
	// OwnNodeLoad is the score, approximately a utilisation in [0, 1], up to which the sending
	// node's own upstream is chosen without comparing it with others. This saves a network hop. 0
	// disables the preference.
	OwnNodeLoad float64
	// SubsetSize is the number of endpoints of a service that a node normally uses.
	SubsetSize int
	// RetryAfter is the wait that an early refusal reports to the caller.
	RetryAfter time.Duration
	// Services overrides some values for single services, by service name. It may be nil.
	Services map[string]Override
}

// Override holds the values that the template of a service can set.
type Override struct {
	SlowStart, EjectFor time.Duration
	MaxEjectedShare     float64
}

// forService returns the configuration in force for a service.
func (c *Config) forService(name string) *Config {
	o, ok := c.Services[name]
	if !ok {
		return c
	}
	merged := *c
	merged.SlowStart = o.SlowStart
	merged.EjectFor = o.EjectFor
	merged.MaxEjectedShare = o.MaxEjectedShare
	if merged.Validate() != nil {
		return c
	}
	return &merged
}

// DefaultConfig returns a configuration for services of some hundred slots whose calls take
// milliseconds to seconds.
func DefaultConfig() Config {
	return Config{
		SlowStart:        10 * time.Second,
		SlowStartAnswers: 50,
		EjectFor:         5 * time.Second,
		EjectFailures:    5,
		EjectRatioExcess: 0.4,
		MaxEjectedShare:  0.5,
		LoadAge:          500 * time.Millisecond,
		DrainHold:        30 * time.Second,
		LatencyDecay:     5 * time.Second,
		ProbeShare:       0.01,
		OwnNodeLoad:      0.7,
		SubsetSize:       24,
		RetryAfter:       time.Second,
	}
}

// FieldError reports a Config field whose value is out of bounds.
type FieldError struct {
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("routing config: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (c Config) Validate() error {
	checks := []struct {
		ok    bool
		field string
		value any
		bound string
	}{
		{c.SlowStart >= 0, "SlowStart", c.SlowStart, ">= 0s"},
		{c.SlowStartAnswers >= 0, "SlowStartAnswers", c.SlowStartAnswers, ">= 0"},
		{c.EjectFor > 0, "EjectFor", c.EjectFor, "> 0s"},
		{c.EjectFailures >= 1, "EjectFailures", c.EjectFailures, ">= 1"},
		{c.EjectRatioExcess > 0 && c.EjectRatioExcess <= 1, "EjectRatioExcess", c.EjectRatioExcess, "in (0, 1]"},
		{c.MaxEjectedShare >= 0 && c.MaxEjectedShare < 1, "MaxEjectedShare", c.MaxEjectedShare, "in [0, 1)"},
		{c.LoadAge > 0, "LoadAge", c.LoadAge, "> 0s"},
		{c.DrainHold > 0, "DrainHold", c.DrainHold, "> 0s"},
		{c.LatencyDecay > 0, "LatencyDecay", c.LatencyDecay, "> 0s"},
		{c.ProbeShare > 0 && c.ProbeShare <= 1, "ProbeShare", c.ProbeShare, "in (0, 1]"},
		{c.OwnNodeLoad >= 0 && c.OwnNodeLoad <= 1, "OwnNodeLoad", c.OwnNodeLoad, "in [0, 1]"},
		{c.SubsetSize >= 2, "SubsetSize", c.SubsetSize, ">= 2"},
		{c.RetryAfter >= 0, "RetryAfter", c.RetryAfter, ">= 0s"},
	}
	for _, k := range checks {
		if !k.ok {
			return &FieldError{Field: k.field, Value: k.value, Bound: k.bound}
		}
	}
	return nil
}
