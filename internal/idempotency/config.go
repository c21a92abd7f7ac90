package idempotency

import (
	"fmt"
	"time"
)

// Config bounds a Table.
type Config struct {
	// MaxBytes bounds the kept answers: bodies, headers and answerOverhead.
	MaxBytes int64
	// KeepAnswers is how long an answer is replayed, from when it was kept.
	KeepAnswers time.Duration
	// KeepKeys is how long a key is known after it was last seen. It must be
	// at least the callers' resend horizon, or a late resend runs again.
	KeepKeys time.Duration
	// MaxKeys bounds the keys. A table that is full refuses new keys; it
	// never forgets one that is younger than KeepKeys.
	MaxKeys int
}

// DefaultConfig fits a node of 64 MB: a full table holds some 22 MB of keys
// (BenchmarkKeyBytes) and 16 MB of answers, and KeepKeys at 40 calls a second that are
// not idempotent needs 36,000 keys.
func DefaultConfig() Config {
	return Config{
		MaxBytes:    16 << 20,
		KeepAnswers: 5 * time.Minute,
		KeepKeys:    15 * time.Minute,
		MaxKeys:     60_000,
	}
}

// Validate names the first field out of bounds, its value and the bound.
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
