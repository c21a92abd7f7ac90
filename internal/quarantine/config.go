package quarantine

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/bounds"
)

const (
	defaultSuspectFor    = 2 * time.Minute
	defaultQuarantineFor = 10 * time.Minute
	// defaultMaxCrashes limits the upstreams that one request may crash to 2.
	defaultMaxCrashes = 2
	// defaultMaxEntries is about the number of calls that a dozen crashes of a large upstream (180
	// slots) interrupt. The entries take less than 1 MB.
	defaultMaxEntries = 2048
	// defaultSettleFor is twice the time that a record takes to reach the peers (1 s) plus the time
	// of a run (0.5 s). Until it has passed, another copy of the request may still crash an
	// upstream, because the guard of that upstream started the copy before it received the record.
	defaultSettleFor = 2500 * time.Millisecond
)

// Config holds the parameters of a Tracker.
type Config struct {
	// SuspectFor is how long a request stays suspected after a crash, or after its quarantine has
	// ended.
	SuspectFor time.Duration
	// QuarantineFor is how long a confirmed crasher is refused after its latest crash. A probable
	// crasher is refused for a tenth of it. The time doubles with each crash above MaxCrashes, to
	// at most 8 times QuarantineFor.
	QuarantineFor time.Duration
	// MaxCrashes is the number of crashes at which a request is quarantined.
	MaxCrashes int
	// MaxEntries limits the number of fingerprints with crash records.
	MaxEntries int
	// SettleFor is the delay between the latest crash of a suspected request and its next run, so
	// that the guard receives the records of concurrent crashes at other guards first. It must
	// cover twice the propagation time of a record plus the longest run.
	SettleFor time.Duration
	// MaxRecentSuccesses is the number of recently successful fingerprints that are kept. Such a
	// request is not suspected when an upstream crashes while running it. 0 keeps none.
	MaxRecentSuccesses int
}

// DefaultConfig returns the default parameters; MaxRecentSuccesses is 0.
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
	if err := bounds.Check("quarantine", "SuspectFor", c.SuspectFor, time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := bounds.Check("quarantine", "QuarantineFor", c.QuarantineFor, time.Second, 24*time.Hour); err != nil {
		return err
	}
	if err := bounds.Check("quarantine", "MaxCrashes", c.MaxCrashes, 1, maxRecords); err != nil {
		return err
	}
	if err := bounds.Check("quarantine", "MaxEntries", c.MaxEntries, 1, 1<<20); err != nil {
		return err
	}
	return bounds.Check("quarantine", "SettleFor", c.SettleFor, 0, c.SuspectFor)
}
