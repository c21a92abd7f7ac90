package routing

import (
	"math"
	"strconv"

	"github.com/pkg/errors"
)

// UpstreamNotice is what an upstream says about itself in a response. The zero value says nothing.
type UpstreamNotice struct {
	// RateLimited means that the upstream names a rate limit.
	RateLimited bool
	// RateLimit is the number of calls per second that the upstream accepts from all nodes together.
	RateLimit float64
	// Leaving means that the upstream will stop and accepts no new work.
	Leaving bool
}

// RateLimitMilli returns the rate limit in calls per 1,000 seconds; -1 if there is none.
func (n UpstreamNotice) RateLimitMilli() int64 {
	if !n.RateLimited {
		return -1
	}
	return int64(n.RateLimit * 1000)
}

// MaxRateLimit bounds a rate limit in calls per second. A greater one counts as this, which nothing reaches.
const MaxRateLimit = 1e9

// ParseRateLimit parses a rate limit in calls per second. It must be a finite number of at least 0.
func ParseRateLimit(text string) (float64, error) {
	limit, err := strconv.ParseFloat(text, 64)
	if err != nil || !(limit >= 0) || math.IsInf(limit, 1) {
		return 0, errors.Errorf("rate limit is %.32q, must be a number of at least 0", text)
	}
	return min(limit, MaxRateLimit), nil
}

// ParseNotice returns the notice of a response with these values of its rate limit, empty if it names
// none, and of its leave.
func ParseNotice(rateLimit string, leaving bool) (UpstreamNotice, error) {
	n := UpstreamNotice{Leaving: leaving}
	if rateLimit == "" {
		return n, nil
	}
	limit, err := ParseRateLimit(rateLimit)
	if err != nil {
		return n, err
	}
	n.RateLimited, n.RateLimit = true, limit
	return n, nil
}

// Process identifies one process of an upstream.
type Process struct {
	// ID is the ID that the process gives itself; empty if it is unknown. A later process of the same
	// upstream may use it again.
	ID string
	// StartedAt is the start time of the process in Unix milliseconds; 0 if it is unknown.
	StartedAt int64
}

// ProcessNotice is a notice of one process of an upstream.
type ProcessNotice struct {
	Process
	UpstreamNotice
}
