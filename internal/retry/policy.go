package retry

import "time"

// Policy is the configuration of Decide.
type Policy struct {
	// BaseBackoff is the upper bound of the wait before the first retry. It doubles with each
	// further retry.
	BaseBackoff time.Duration
	// MaxBackoff is the upper bound of every wait.
	MaxBackoff time.Duration
	// MinRemaining is the time to the deadline at or below which a call is not retried.
	MinRemaining time.Duration
	// MaxOwnerAsks bounds the number of AskOwner actions for one call.
	MaxOwnerAsks int
	// MaxFailedTries bounds the number of retries of a call that ran and failed.
	MaxFailedTries int
}

// DefaultPolicy returns a policy for calls that take milliseconds to seconds.
func DefaultPolicy() Policy {
	return Policy{
		BaseBackoff:    10 * time.Millisecond,
		MaxBackoff:     time.Second,
		MinRemaining:   2 * time.Millisecond,
		MaxOwnerAsks:   10,
		MaxFailedTries: 1,
	}
}

// Validate returns a *FieldError for the first field that is out of bounds.
func (p Policy) Validate() error {
	switch {
	case p.BaseBackoff < 0:
		return &FieldError{"BaseBackoff", p.BaseBackoff, ">= 0s"}
	case p.MaxBackoff < p.BaseBackoff:
		return &FieldError{"MaxBackoff", p.MaxBackoff, ">= BaseBackoff"}
	case p.MinRemaining < 0:
		return &FieldError{"MinRemaining", p.MinRemaining, ">= 0s"}
	case p.MaxOwnerAsks < 0:
		return &FieldError{"MaxOwnerAsks", p.MaxOwnerAsks, ">= 0"}
	case p.MaxFailedTries < 0:
		return &FieldError{"MaxFailedTries", p.MaxFailedTries, ">= 0"}
	}
	return nil
}

// retryBackoff returns the wait before the retry that follows a.
func (p Policy) retryBackoff(a Attempt) time.Duration { return p.backoff(a, a.Number) }

// unavailableBackoff returns the wait after an attempt that reached no upstream. The first retry is
// sent at once, because an unavailable node does not indicate a problem on other nodes.
func (p Policy) unavailableBackoff(a Attempt) time.Duration {
	if a.Number == 0 {
		return 0
	}
	return p.backoff(a, a.Number-1)
}

// backoff returns a wait drawn uniformly from zero to the bound ("full jitter"), so that calls
// refused together are not retried together. The bound is at most half of the remaining time,
// because a later retry would not finish before the deadline.
func (p Policy) backoff(a Attempt, doublings int) time.Duration {
	bound := p.BaseBackoff
	for i := 0; i < doublings && bound < p.MaxBackoff; i++ {
		bound *= 2
	}
	bound = min(bound, p.MaxBackoff, (a.Remaining-p.MinRemaining)/2)
	if bound <= 0 || a.Rand == nil {
		return max(bound, 0)
	}
	return time.Duration(a.Rand.Int64N(int64(bound) + 1))
}
