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
