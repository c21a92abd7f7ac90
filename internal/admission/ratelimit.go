package admission

import "time"

const (
	// rateBurst is the time without calls for which a rate limit accumulates starts. It covers the gap
	// between two ticks of waiting calls and the jitter of arrivals.
	rateBurst = 100 * time.Millisecond
	// rateLiftDelay is how long an upstream must name no rate limit until its last one ends. Responses
	// of concurrent calls overtake each other, and all waiting calls start when a limit ends.
	rateLiftDelay = 500 * time.Millisecond
	// minStartsPerSecond is the lowest rate of starts under a rate limit. A limit changes only with a
	// response, so a limit of 0 could otherwise never end.
	minStartsPerSecond = 0.5
)

// rateLimit bounds the starts of calls per second, as the upstream asks. It is a token bucket. The
// concurrency limit can't replace it: the shorter the calls, the more of them start with the same
// number in flight. The zero value bounds nothing.
type rateLimit struct {
	// perSecond is the number of starts per second; 0 if there is no limit.
	perSecond float64
	tokens    float64
	filledAt  time.Time
	// liftAt is the time at which the limit ends; zero while the upstream names one.
	liftAt time.Time
	// exhausted is set if a call had a slot but no token in the current adjustment interval.
	exhausted bool
}

// active reports whether there is a limit.
func (r *rateLimit) active() bool { return r.perSecond > 0 }

// set applies the limit that the upstream names.
func (r *rateLimit) set(now time.Time, perSecond float64) {
	r.refill(now)
	if !r.active() {
		r.tokens = 0
		r.filledAt = now
	}
	r.perSecond = max(perSecond, minStartsPerSecond)
	r.tokens = min(r.tokens, r.capacity())
	r.liftAt = time.Time{}
}

// lift ends the limit after rateLiftDelay, unless set is called before.
func (r *rateLimit) lift(now time.Time) {
	if r.active() && r.liftAt.IsZero() {
		r.liftAt = now.Add(rateLiftDelay)
	}
}

// capacity returns the maximum number of tokens. It is at least 1, or no call could ever start.
func (r *rateLimit) capacity() float64 { return max(1, r.perSecond*rateBurst.Seconds()) }

// refill adds the tokens of the time since the last call, and ends a limit that was lifted.
func (r *rateLimit) refill(now time.Time) {
	if !r.active() {
		return
	}
	if !r.liftAt.IsZero() && !now.Before(r.liftAt) {
		*r = rateLimit{}
		return
	}
	if elapsed := now.Sub(r.filledAt); elapsed > 0 {
		r.tokens = min(r.tokens+elapsed.Seconds()*r.perSecond, r.capacity())
		r.filledAt = now
	}
}

// allows reports whether a call may start now.
func (r *rateLimit) allows() bool { return !r.active() || r.tokens >= 1 }

// take uses a token for a call that starts.
func (r *rateLimit) take() {
	if r.active() {
		r.tokens--
	}
}

// wait returns the time until n further calls can have started.
func (r *rateLimit) wait(n int) time.Duration {
	if !r.active() {
		return 0
	}
	return time.Duration((float64(n) - r.tokens) / r.perSecond * float64(time.Second))
}

// interval returns the time between two starts while calls wait; 0 without a limit.
func (r *rateLimit) interval() time.Duration {
	if !r.active() {
		return 0
	}
	return time.Duration(float64(time.Second) / r.perSecond)
}

// use returns the share of the limit that starts use up, given the mean number of starts in an
// interval. It ends the interval.
func (r *rateLimit) use(starts float64, interval time.Duration) float64 {
	if !r.active() {
		return 0
	}
	exhausted := r.exhausted
	r.exhausted = false
	if exhausted {
		return 1
	}
	return min(1, r.share(starts, interval))
}

// share returns a number of starts in an interval as a share of those that the limit allows.
func (r *rateLimit) share(starts float64, interval time.Duration) float64 {
	return starts / (r.perSecond * interval.Seconds())
}

// SetRateLimit bounds the starts of calls per second; 0 lets only a few calls through. It returns
// the decisions on waiting calls.
func (c *Controller) SetRateLimit(now time.Time, perSecond float64) []Decision {
	out := c.advance(now)
	before := c.rate.perSecond
	c.rate.set(now, perSecond)
	if c.rate.perSecond == before {
		return out
	}
	c.refusals = refusalCache{}
	return c.dispatch(now, out)
}

// LiftRateLimit ends the rate limit, unless the upstream names one again soon.
func (c *Controller) LiftRateLimit(now time.Time) { c.rate.lift(now) }
