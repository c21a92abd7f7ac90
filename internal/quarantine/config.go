package quarantine

import (
	"fmt"
	"time"
)

const (
	defaultSuspectFor    = 2 * time.Minute
	defaultQuarantineFor = 10 * time.Minute
	// defaultMaxCrashes is the promise: two upstreams may die by one request.
	defaultMaxCrashes = 2
	// defaultMaxEntries holds the calls of a dozen crashes of a large upstream
	// (180 slots) in under 1 MB.
	defaultMaxEntries = 2048
	// defaultSettleFor is twice the time in which a record reaches the peers
	// (1 s) and a run of 0.5 s: until then a copy of the request that started
	// elsewhere in ignorance may still crash its upstream.
	defaultSettleFor = 2500 * time.Millisecond
)

// Config holds the parameters of a Tracker.
type Config struct {
	// SuspectFor is how long a crash keeps a fingerprint suspected.
	SuspectFor time.Duration
	// QuarantineFor is how long a fingerprint found guilty is refused; a tenth
	// of it where the evidence is weak, and twice as long for each crash above
	// MaxCrashes, up to eight times.
	QuarantineFor time.Duration
	// MaxCrashes is the number of crashes from which on it is refused.
	MaxCrashes int
	// MaxEntries bounds the fingerprints kept.
	MaxEntries int
	// SettleFor is how long a suspect is held back after its latest crash, so
	// that crashes at other guards at the same time are known before it runs.
	// It has to cover twice the spread of a record and the longest run.
	SettleFor time.Duration
	// Proven is how many fingerprints that succeeded lately are remembered; what
	// one of them runs at a crash is not suspected. 0 remembers none.
	Proven int
}

// DefaultConfig returns the parameters for today's sizes.
func DefaultConfig() Config {
	return Config{
		SuspectFor:    defaultSuspectFor,
		QuarantineFor: defaultQuarantineFor,
		MaxCrashes:    defaultMaxCrashes,
		MaxEntries:    defaultMaxEntries,
		SettleFor:     defaultSettleFor,
	}
}

// Validate returns an error that names the first field out of bounds, its value
// and the bound.
func (c Config) Validate() error {
	if err := checkDuration("SuspectFor", c.SuspectFor, time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := checkDuration("QuarantineFor", c.QuarantineFor, time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := checkInt("MaxCrashes", c.MaxCrashes, 1, maxRecords); err != nil {
		return err
	}
	if err := checkInt("MaxEntries", c.MaxEntries, 1, 1<<20); err != nil {
		return err
	}
	return checkDuration("SettleFor", c.SettleFor, 0, c.SuspectFor)
}

func checkInt(field string, v, low, high int) error {
	if v < low || v > high {
		return fmt.Errorf("quarantine: %s is %d, want %d to %d", field, v, low, high)
	}
	return nil
}

func checkDuration(field string, v, low, high time.Duration) error {
	if v < low || v > high {
		return fmt.Errorf("quarantine: %s is %v, want %v to %v", field, v, low, high)
	}
	return nil
}
