package quota

import "time"

// initialFillShare is the share of its depth to which a new process fills a bucket. With full
// buckets a workspace could exceed its quota when all nodes restart at once; with empty buckets a
// workspace that sent nothing before the restart would be refused.
const initialFillShare = 0.35

// bucket is a token bucket. The zero value holds no part of a quota.
type bucket struct {
	part
	tokens      float64
	updatedAt   time.Time
	initialized bool
}

// setPart changes the rate and depth of the bucket, and fills it initially.
func (b *bucket) setPart(now time.Time, p part) {
	b.refill(now)
	b.part = p
	if !b.initialized && p.rate > 0 {
		b.initialized = true
		b.tokens = max(1, initialFillShare*p.depth)
	}
	b.tokens = min(b.tokens, p.depth)
}

// refill adds the tokens for the time since the last update, up to the depth.
func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updatedAt).Seconds(); elapsed > 0 && !b.updatedAt.IsZero() {
		b.tokens = min(b.depth, b.tokens+elapsed*b.rate)
	}
	if now.After(b.updatedAt) {
		b.updatedAt = now
	}
}

// take spends a token and reports whether there was one.
func (b *bucket) take(now time.Time) bool {
	b.refill(now)
	if b.rate == 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// refund adds a token that a request has not used, up to the depth.
func (b *bucket) refund(now time.Time) {
	b.refill(now)
	b.tokens = min(b.depth, b.tokens+1)
}

// untilNextToken returns the time until the bucket has a whole token.
func (b *bucket) untilNextToken(now time.Time) time.Duration {
	b.refill(now)
	if b.rate == 0 {
		return noPartRetryAfter
	}
	return time.Duration(max(0, 1-b.tokens) / b.rate * float64(time.Second))
}

// noPartRetryAfter is the delay that a node without a part of the quota reports when another node
// requests a token from it. This occurs while the two nodes have different lists of nodes
// or different routes.
const noPartRetryAfter = time.Second
