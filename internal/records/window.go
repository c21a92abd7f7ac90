package records

import "time"

const (
	// MinBatchWindow and maxBatchWindow bound the time over which member changes are batched
	// into one read. When all nodes start at once, each would otherwise read once for every
	// other node. A record is outdated for at most this long. A drain is enforced at the guard
	// of the draining node before that, so an outdated record costs only a call that is
	// rerouted.
	MinBatchWindow = 300 * time.Millisecond
	maxBatchWindow = 2 * time.Second
	// deploymentReadsPerSecond is how often all nodes together read while members change: one
	// hundredth of the load of a store that serves 6,000 reads per second.
	deploymentReadsPerSecond = 60
)

// BatchedLagGrace is the LagGrace of a follower that batches changes, which leaves it behind until its
// next read.
const BatchedLagGrace = maxBatchWindow + lagGrace

// BatchWindowFor returns how long one of the given number of nodes batches changes.
func BatchWindowFor(nodes int) time.Duration {
	return min(max(MinBatchWindow, time.Duration(nodes)*time.Second/deploymentReadsPerSecond), maxBatchWindow)
}
