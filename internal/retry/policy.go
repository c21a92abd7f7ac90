package retry

import "time"

// Policy holds the knobs of Decide.
type Policy struct {
	// BaseBackoff bounds the wait before the first retry; it doubles with
	// each further one.
	BaseBackoff time.Duration
	// MaxBackoff bounds every wait.
	MaxBackoff time.Duration
	// MinRemaining is the time to the deadline below which nothing is
	// tried again.
	MinRemaining time.Duration
	// MaxOwnerAsks bounds AskOwner for one call.
	MaxOwnerAsks int
	// MaxFailedTries bounds the retries of a call that ran and failed.
	MaxFailedTries int
}

// DefaultPolicy returns values for calls of milliseconds to seconds.
func DefaultPolicy() Policy {
	return Policy{
		BaseBackoff:    10 * time.Millisecond,
		MaxBackoff:     time.Second,
		MinRemaining:   2 * time.Millisecond,
		MaxOwnerAsks:   10,
		MaxFailedTries: 1,
	}
}

// Validate returns a *FieldError for the first field out of bounds.
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

// wait is the backoff before the retry after a.
func (p Policy) wait(a Attempt) time.Duration { return p.backoff(a, a.Number) }

// waitAfterFirst does not wait before the first retry: the node that was not
// reached says nothing against the next one.
func (p Policy) waitAfterFirst(a Attempt) time.Duration {
	if a.Number == 0 {
		return 0
	}
	return p.backoff(a, a.Number-1)
}

// backoff draws evenly from zero to the bound ("full jitter"), so that calls
// refused together do not return together. It takes at most half of the time
// left, or the retry would come too late to be of use.
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
