package retry

import "sync/atomic"

// tokenScale is how many units of the bucket make one token; it bounds the
// resolution of TokenRatio.
const tokenScale = 1000

// Bounds of ThrottleConfig. The upper one keeps the scaled bucket exact.
const (
	minTokens     = 1
	maxTokens     = 1_000_000
	minTokenRatio = 1.0 / tokenScale
	maxTokenRatio = 1
)

// ThrottleConfig holds the knobs of a Throttle.
type ThrottleConfig struct {
	// MaxTokens bounds the bucket. Retries stop at half of it, so half is
	// the burst of retries after a quiet time.
	MaxTokens float64
	// TokenRatio is what one success adds; a failure takes 1 away. In the
	// long run there is at most one retry in 1/TokenRatio successes.
	TokenRatio float64
}

// DefaultThrottleConfig allows a burst of 100 retries and one retry in ten
// successes. The ratio is the example of gRPC's retry design (gRFC A6). Its 10
// tokens are too few here: when one upstream of 25 to 180 slots dies, all that
// ran there fails at once, and most of it should get a second try.
func DefaultThrottleConfig() ThrottleConfig {
	return ThrottleConfig{MaxTokens: 200, TokenRatio: 0.1}
}

// Validate returns a *FieldError for the first field out of bounds.
func (c ThrottleConfig) Validate() error {
	if !(c.MaxTokens >= minTokens && c.MaxTokens <= maxTokens) {
		return &FieldError{"MaxTokens", c.MaxTokens, "in [1, 1000000]"}
	}
	if !(c.TokenRatio >= minTokenRatio && c.TokenRatio <= maxTokenRatio) {
		return &FieldError{"TokenRatio", c.TokenRatio, "in [0.001, 1]"}
	}
	return nil
}

// Throttle bounds the retries that this node sends to one service, over all
// requests. Allowances bound each tree, but when every tree fails they permit
// B times the load just when the service can bear it least; the throttle
// closes after MaxTokens/2 failures and opens again with successes. It is safe
// for concurrent use and has no notion of time.
type Throttle struct {
	full   int64
	gain   int64
	tokens atomic.Int64
}

// NewThrottle returns a throttle with a full bucket. cfg must be valid.
func NewThrottle(cfg ThrottleConfig) *Throttle {
	t := &Throttle{
		full: int64(cfg.MaxTokens * tokenScale),
		gain: int64(cfg.TokenRatio * tokenScale),
	}
	t.tokens.Store(t.full)
	return t
}

// Success counts an attempt, first or retry, that succeeded.
func (t *Throttle) Success() { t.move(t.gain) }

// Failure counts an attempt, first or retry, that failed in a way for which
// Decide gives TryElsewhere. It must come before Allow: then the retries
// allowed never exceed half the bucket and what successes added.
func (t *Throttle) Failure() { t.move(-tokenScale) }

// Allow reports whether a retry may be sent now. It takes nothing.
func (t *Throttle) Allow() bool { return t.tokens.Load() > t.full/2 }

// Tokens is the fill of the bucket, for metrics.
func (t *Throttle) Tokens() float64 { return float64(t.tokens.Load()) / tokenScale }

func (t *Throttle) move(by int64) {
	for {
		old := t.tokens.Load()
		next := min(max(old+by, 0), t.full)
		if next == old || t.tokens.CompareAndSwap(old, next) {
			return
		}
	}
}
