package idempotency

import (
	"fmt"
	"time"
)

// Config holds the limits of a Table.
type Config struct {
	// MaxBytes limits the total size of the stored responses: bodies, headers and responseOverhead
	// for each one.
	MaxBytes int64
	// KeepAnswers is how long a stored response is replayed, counted from when it was stored.
	KeepAnswers time.Duration
	// KeepKeys is how long a key is kept after its last use. It must be at least the callers'
	// resend horizon; otherwise a late resend runs the call again.
	KeepKeys time.Duration
	// MaxKeys limits the number of keys. A full table refuses new keys; it never removes a key
	// that was used within KeepKeys.
	MaxKeys int
}

// DefaultConfig returns limits for a node with 64 MB of memory. A full table takes about 22 MB for
// keys (BenchmarkKeyBytes) and 16 MB for responses. 40 non-idempotent calls per second with the
// default KeepKeys of 15 minutes need 40 x 900 s = 36,000 keys.
func DefaultConfig() Config {
	return Config{
		MaxBytes:    16 << 20,
		KeepAnswers: 5 * time.Minute,
		KeepKeys:    15 * time.Minute,
		MaxKeys:     60_000,
	}
}

// Validate returns an error with the first field out of range, its value and the limit.
func (c Config) Validate() error {
	switch {
	case c.MaxBytes < 0:
		return fmt.Errorf("idempotency: MaxBytes = %d, must be at least 0", c.MaxBytes)
	case c.KeepAnswers < 0:
		return fmt.Errorf("idempotency: KeepAnswers = %v, must be at least 0", c.KeepAnswers)
	case c.KeepKeys < time.Second:
		return fmt.Errorf("idempotency: KeepKeys = %v, must be at least 1s", c.KeepKeys)
	case c.KeepKeys < c.KeepAnswers:
		return fmt.Errorf("idempotency: KeepKeys = %v, must be at least KeepAnswers = %v", c.KeepKeys, c.KeepAnswers)
	case c.MaxKeys < 1:
		return fmt.Errorf("idempotency: MaxKeys = %d, must be at least 1", c.MaxKeys)
	}
	return nil
}
