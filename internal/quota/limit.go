package quota

import "time"

// Limit is the quota of a workspace over all nodes.
type Limit struct {
	// Rate is in requests a second.
	Rate float64
	// Burst is the number of requests by which Rate may be exceeded at once.
	Burst float64
}

// Tolerance is the number of requests that operators accept beyond a quota in any window.
type Tolerance struct {
	// Window is the length of the window.
	Window time.Duration
	// Overage is a share of the requests that the quota allows in a window.
	Overage float64
	// Slack is a number of requests, added to Overage.
	Slack float64
}

// Allowed returns the greatest number of requests that may run in one window.
func (t Tolerance) Allowed(l Limit) float64 {
	return (l.Rate*t.Window.Seconds()+l.Burst)*(1+t.Overage) + t.Slack
}

// bucketToleranceShare is the share of the tolerance that buckets may hold beyond the burst, so
// that nodes with little traffic have whole tokens. The rest covers nodes that divide the quota
// differently for a moment, while their lists of nodes differ.
const bucketToleranceShare = 0.6

// depth returns the number of tokens that all buckets of a quota may hold together. No window has
// more requests than depth plus Rate x Window.
func (l Limit) depth(t Tolerance) float64 {
	excess := t.Allowed(l) - l.Rate*t.Window.Seconds() - l.Burst
	return max(1, l.Burst+bucketToleranceShare*excess)
}
