package retry

import "sync/atomic"

// tokenScale is the number of internal units per token. It limits the resolution of TokenRatio.
const tokenScale = 1000

// Bounds of ThrottleConfig. The upper bound keeps the scaled bucket exact.
const (
	minTokens     = 1
	maxTokens     = 1_000_000
	minTokenRatio = 1.0 / tokenScale
	maxTokenRatio = 1
)

// ThrottleConfig is the configuration of a Throttle.
type ThrottleConfig struct {
	// MaxTokens is the capacity of the bucket. Retries stop at half of it, so the other half is the
	// maximum burst of retries after a period without failures.
	MaxTokens float64
	// TokenRatio is the number of tokens added by a success; a failure removes 1. In the long run
	// there is at most one retry per 1/TokenRatio successes.
	TokenRatio float64
}

// DefaultThrottleConfig allows a burst of 100 retries and one retry in ten successes. The ratio is
// that of the example in gRPC's retry design (gRFC A6). The 10 tokens of that example are too few
// here: when one upstream of 25 to 180 slots dies, all of its running calls fail at once, and most
// of them should be retried.
func DefaultThrottleConfig() ThrottleConfig {
	return ThrottleConfig{MaxTokens: 200, TokenRatio: 0.1}
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (c ThrottleConfig) Validate() error {
	if !(c.MaxTokens >= minTokens && c.MaxTokens <= maxTokens) {
		return &FieldError{"MaxTokens", c.MaxTokens, "in [1, 1000000]"}
	}
	if !(c.TokenRatio >= minTokenRatio && c.TokenRatio <= maxTokenRatio) {
		return &FieldError{"TokenRatio", c.TokenRatio, "in [0.001, 1]"}
	}
	return nil
}

// Throttle bounds the retries that this node sends to one service, over all requests. Allowances
// bound the retries of each call tree, but when every tree fails, allowances of B retries permit B
// times the load on a service that is already overloaded. The throttle closes after MaxTokens/2
// failures and reopens with successes. It is safe for concurrent use and does not depend on time.
type Throttle struct {
	capacity    int64
	successGain int64
	tokens      atomic.Int64
}

// NewThrottle returns a throttle with a full bucket. cfg must be valid.
func NewThrottle(cfg ThrottleConfig) *Throttle {
	t := &Throttle{
		capacity:    int64(cfg.MaxTokens * tokenScale),
		successGain: int64(cfg.TokenRatio * tokenScale),
	}
	t.tokens.Store(t.capacity)
	return t
}

// Success records a successful attempt, first or retry.
func (t *Throttle) Success() { t.add(t.successGain) }

// Failure records a failed attempt, first or retry, for which Decide returns RetryOtherNode. Call
// it before Allow: then the number of allowed retries never exceeds half of the bucket plus the
// tokens added by successes.
func (t *Throttle) Failure() { t.add(-tokenScale) }

// Allow reports whether a retry may be sent now. It removes no tokens.
func (t *Throttle) Allow() bool { return t.tokens.Load() > t.capacity/2 }

// Tokens returns the number of tokens in the bucket, for metrics.
func (t *Throttle) Tokens() float64 { return float64(t.tokens.Load()) / tokenScale }

func (t *Throttle) add(delta int64) {
	for {
		old := t.tokens.Load()
		next := min(max(old+delta, 0), t.capacity)
		if next == old || t.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}
