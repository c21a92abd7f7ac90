package routing

// UpstreamNotice is what an upstream says about itself in a response. The zero value says nothing.
type UpstreamNotice struct {
	// RateLimited means that the upstream names a rate limit.
	RateLimited bool
	// RateLimit is the number of calls per second that the upstream accepts from all nodes together.
	RateLimit float64
	// Leaving means that the upstream will stop and accepts no new work.
	Leaving bool
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
