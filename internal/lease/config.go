package lease

import (
	"fmt"
	"time"
)

const (
	maxSlots = 4096
	maxDrift = 0.1
)

// Config holds the limits on which the correctness of ownership relies. All guards of a service
// must use the same values.
type Config struct {
	// Slots is the number of slots into which the keys of a service are divided.
	Slots int
	// Validity is how long a head observation or a promise lets an owner start calls (L).
	Validity time.Duration
	// Drift is the maximum rate difference between two clocks as a fraction: with 0.01, 1 s on
	// this clock is at most 1.01 s on another.
	Drift float64
	// SkewBound is the maximum difference between any two wall clocks, including those of callers.
	// It decides which keys are known to be new.
	SkewBound time.Duration
	// ResendHorizon is how long after its first use a key may be resent by callers.
	ResendHorizon time.Duration
	// PromiseLimit is how long an owner may continue on promises alone after its last head
	// observation. That owner does not know of a guard that has joined since and requests no
	// promise from it, so a new guard may have to wait for the same time before it takes over
	// slots; see Lessor.Eligible.
	PromiseLimit time.Duration
	// Refresh is the age at which an owner appends its record again, well before the log drops it;
	// 0 means never.
	Refresh time.Duration
	// RebalanceEvery is the minimum time between two moves of slots to a guard that owns fewer; 0
	// means never.
	RebalanceEvery time.Duration
}

// DefaultConfig returns values for a log that retains records for at least a day.
func DefaultConfig() Config {
	return Config{
		Slots:          64,
		Validity:       3 * time.Second,
		Drift:          0.01,
		SkewBound:      500 * time.Millisecond,
		ResendHorizon:  15 * time.Minute,
		PromiseLimit:   30 * time.Minute,
		Refresh:        6 * time.Hour,
		RebalanceEvery: 10 * time.Second,
	}
}

// Validate returns an error with the first field out of range, its value and the limit.
func (c Config) Validate() error {
	switch {
	case c.Slots < 1 || c.Slots > maxSlots:
		return fmt.Errorf("lease: Slots = %d, must be from 1 to %d", c.Slots, maxSlots)
	case c.Validity < 100*time.Millisecond:
		return fmt.Errorf("lease: Validity = %v, must be at least 100ms", c.Validity)
	case c.Drift <= 0 || c.Drift > maxDrift:
		return fmt.Errorf("lease: Drift = %v, must be above 0 and at most %v", c.Drift, maxDrift)
	case c.SkewBound <= 0:
		return fmt.Errorf("lease: SkewBound = %v, must be above 0", c.SkewBound)
	case c.ResendHorizon < c.Validity:
		return fmt.Errorf("lease: ResendHorizon = %v, must be at least Validity = %v", c.ResendHorizon, c.Validity)
	case c.PromiseLimit < c.Validity:
		return fmt.Errorf("lease: PromiseLimit = %v, must be at least Validity = %v", c.PromiseLimit, c.Validity)
	case c.Refresh < 0:
		return fmt.Errorf("lease: Refresh = %v, must be at least 0", c.Refresh)
	case c.RebalanceEvery < 0:
		return fmt.Errorf("lease: RebalanceEvery = %v, must be at least 0", c.RebalanceEvery)
	}
	return nil
}

// withDrift lengthens a duration by the maximum drift: once the result has passed on this clock,
// at least d has passed on every other clock.
func (c Config) withDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.Drift))
}

// takeoverWait returns the time from reading back an own takeover record until the takeover takes
// effect.
func (c Config) takeoverWait() time.Duration { return c.withDrift(c.Validity) }
