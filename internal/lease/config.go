package lease

import (
	"fmt"
	"time"
)

const (
	maxSlots = 4096
	maxDrift = 0.1
)

// Config holds the bounds that ownership rests on. All guards of a service
// must use the same values.
type Config struct {
	// Slots is the number of parts that the keys of a service are cut into.
	Slots int
	// Validity is how long a proof or a promise lets an owner start calls (L).
	Validity time.Duration
	// Drift bounds how much faster one clock runs than another, as a part of
	// one: 0.01 means that 1 s here is at most 1.01 s there.
	Drift float64
	// SkewBound bounds the difference of any two wall clocks, callers' ones
	// included; it decides which keys are known to be new.
	SkewBound time.Duration
	// ResendHorizon is how long after its first use callers may resend a key.
	ResendHorizon time.Duration
	// PromiseLimit is how long after its last proof an owner may go on with
	// promises alone, and how long a guard that the owner may not know of
	// must wait before it takes slots over.
	PromiseLimit time.Duration
	// Refresh is the age at which an owner writes its record again, well
	// before the log drops it; 0 means never.
	Refresh time.Duration
	// RebalanceEvery is the least time between two moves of slots to a guard
	// that owns fewer; 0 means never.
	RebalanceEvery time.Duration
}

// DefaultConfig returns values for a log that keeps records for a day or more.
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

// Validate names the first field out of bounds, its value and the bound.
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

// padded is a span that has passed on every other clock too once it has passed
// on this one.
func (c Config) padded(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 + c.Drift))
}

// takeoverWait is the time from reading back a takeover to its effect.
func (c Config) takeoverWait() time.Duration { return c.padded(c.Validity) }
