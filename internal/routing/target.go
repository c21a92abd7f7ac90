package routing

import (
	"sync/atomic"
	"time"
)

// Target is one endpoint with what this node observed of it.
type Target struct {
	endpoint atomic.Pointer[Endpoint]
	inFlight atomic.Int64
}

// TargetStats is a snapshot of a target for metrics and the administration
// API. Its fields are read one after another, not at one instant.
type TargetStats struct {
	// InFlight counts this node's own calls at the target.
	InFlight int
	// Latency is the moving estimate of the time to an answer.
	Latency time.Duration
	// RefusedShare and FailedShare are moving shares in [0, 1].
	RefusedShare float64
	FailedShare  float64
	// ConsecutiveFailures since the last answer.
	ConsecutiveFailures int
	// Answers since the endpoint joined, re-entered or was replaced.
	Answers int
	// Ejected says that the target is out, or out until its probe returns.
	Ejected bool
	// Draining says that membership or the last report says so.
	Draining bool
	// Incarnation last seen in a report, or else the endpoint's.
	Incarnation uint64
	// Report is the last one received, and ReportAt when.
	Report   LoadReport
	ReportAt time.Time
}

// Endpoint returns what membership last said of the target.
func (g *Target) Endpoint() Endpoint { return *g.endpoint.Load() }

// Start counts a call that is being sent to the target. Every Start is
// followed by exactly one Done.
func (g *Target) Start(now time.Time) { g.inFlight.Add(1) }

// Done counts the end of a call. load may be nil.
func (g *Target) Done(now time.Time, o Outcome, latency time.Duration, load *LoadReport) {
	g.inFlight.Add(-1)
}

// Stats returns a snapshot.
func (g *Target) Stats() TargetStats {
	return TargetStats{InFlight: int(g.inFlight.Load())}
}
