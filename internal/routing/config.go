package routing

import (
	"fmt"
	"time"
)

// Config holds the knobs of routing. docs/operations/routing.md says which to
// turn when.
type Config struct {
	// SlowStart is how long a fresh endpoint takes to reach its full share;
	// 0 turns slow start off.
	SlowStart time.Duration
	// SlowStartAnswers is how many answers it must give as well.
	SlowStartAnswers int
	// EjectFor is the first ejection's length; it doubles with each failed
	// probe up to maxEjectDoublings times.
	EjectFor time.Duration
	// EjectFailures is how many consecutive failures eject an endpoint. A
	// failure to connect counts double.
	EjectFailures int
	// EjectRatioExcess ejects an endpoint whose share of failures exceeds
	// the mean of its peers by this much, in (0, 1].
	EjectRatioExcess float64
	// MaxEjectedShare bounds the ejected share of a service, in [0, 1). At
	// least one endpoint always stays.
	MaxEjectedShare float64
	// LoadAge is how long a load report is believed.
	LoadAge time.Duration
	// DrainHold is how long a report of draining is believed without
	// membership or another report confirming it.
	DrainHold time.Duration
	// LatencyDecay is how long a high latency is held against an endpoint
	// that gets no calls: after it, half of the excess is forgotten.
	LatencyDecay time.Duration
	// ProbeShare of the calls that would be refused early is sent anyway.
	ProbeShare float64
	// OwnNodeLoad is the score up to which the upstream of the choosing node
	// itself is taken without a comparison, which saves a hop: about its
	// utilisation in [0, 1]. 0 gives it no preference.
	OwnNodeLoad float64
	// SubsetSize is how many endpoints of a service are normally used.
	SubsetSize int
	// RetryAfter is what an early refusal tells the caller to wait.
	RetryAfter time.Duration
	// Services overrides some values for single services; may be nil.
	Services map[string]Override
}

// Override holds the values that a service's template may set.
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
	own := *c
	own.SlowStart = o.SlowStart
	own.EjectFor = o.EjectFor
	own.MaxEjectedShare = o.MaxEjectedShare
	if own.Validate() != nil {
		return c
	}
	return &own
}

// DefaultConfig returns values for services of some hundred slots whose calls
// take milliseconds to seconds.
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

// FieldError names a Config field outside its bound.
type FieldError struct {
	Field string
	Value any
	Bound string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("routing config: %s is %v, must be %s", e.Field, e.Value, e.Bound)
}

// Validate returns a *FieldError for the first field out of bounds.
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
