package mesh

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/settings"
)

const (
	// timerSample measures one in this many durations on a call's path.
	timerSample = 8
	// timelineEvents bounds the ring of events; at 200 bytes per event it holds 0.2 MB.
	timelineEvents = 1024
	// timelineSample keeps the events of one in this many successful calls.
	timelineSample = 256
	// maxReroutes is how many unreachable upstreams a call may skip: with a third of a service's
	// upstreams unreachable, 3 in a row are rare.
	maxReroutes = 3
)

const (
	// bodyMemoryShare is the share of the node's memory for bodies of requests and responses, and
	// requestMemoryShare the part of it that requests may use. The rest is for the process itself, for
	// the copy of a response that grows while it is read, and for what sockets have received.
	bodyMemoryShare    = 0.5
	requestMemoryShare = 0.4
)

// newBodyBudget returns the budget of a node's bodies.
func newBodyBudget(r settings.Resources) *membudget.Budget {
	return membudget.New(bodyLimits(r))
}

// bodyLimits returns the limits in bytes of all bodies and of those of requests.
func bodyLimits(r settings.Resources) (total, requests int64) {
	memory := float64(r.MemoryMB) * (1 << 20)
	return int64(bodyMemoryShare * memory), int64(requestMemoryShare * memory)
}

const (
	// peerConnectTimeout bounds opening a connection to another node.
	peerConnectTimeout = records.ConnectTimeout
	// peerIdleTimeout is how long an unused connection to another node is kept open. The
	// receiving node keeps it open for longer (innerIdleTimeout), so no call meets a connection
	// that is being closed.
	peerIdleTimeout = 20 * time.Second
	// peerSilenceTimeout is the time without acknowledgements after which a connection to another
	// node fails: 2 lost packets in a row are retransmitted within 0.7 s.
	peerSilenceTimeout = time.Second
	// minPeerReattachWait and maxPeerReattachWait bound the wait for a response after which the
	// sender re-attaches: it requests the response of the same call on a new connection, although
	// packets on the old one are still acknowledged. The duration of calls that make calls of
	// their own varies by a second, so a shorter bound replaces healthy connections.
	minPeerReattachWait = 2 * time.Second
	maxPeerReattachWait = 4 * time.Second
	// maxIdlePerPeer bounds the idle connections to one node: as many as one node has concurrent
	// calls to another, with some room.
	maxIdlePerPeer = 64
	// minIdlePerPeer is the smallest bound of idle connections to one node, however many nodes
	// there are: with fewer, each call would open a connection.
	minIdlePerPeer = 2
	// peerDescriptorShare is the share of the file descriptors for idle connections to all other
	// nodes. The other nodes keep as many to this one, and the other half is for callers and the
	// upstream.
	peerDescriptorShare = 0.25
)

// idlePerPeer returns how many idle connections to keep to each of the given number of nodes, so
// that file descriptors are left for callers.
func idlePerPeer(descriptors, nodes int) int {
	share := int(peerDescriptorShare * float64(descriptors) / float64(max(nodes, 1)))
	return min(max(share, minIdlePerPeer), maxIdlePerPeer)
}

// slowStart is how long a new upstream takes to reach its full share of calls; current upstreams
// report that they are slow for 3 s.
const slowStart = 4 * time.Second

func routingConfig() routing.Config {
	cfg := routing.DefaultConfig()
	cfg.RetryAfter = 300 * time.Millisecond
	cfg.SlowStart = slowStart
	return cfg
}

// maxRecentSuccesses is how many recently succeeded requests each guard remembers; each takes 8
// bytes plus a map entry.
const maxRecentSuccesses = 8192

const (
	// completedRetention is how long the response of a completed call is kept for a sender whose
	// connection failed before the response arrived. A re-attachment may take another 2 s to arrive.
	completedRetention = maxPeerReattachWait + 2*time.Second
	// maxCompletedBytes bounds the total size of those responses in bytes.
	maxCompletedBytes = 2 << 20
)

func guardConfig() node.GuardConfig {
	cfg := node.DefaultGuardConfig()
	cfg.Quarantine.MaxRecentSuccesses = maxRecentSuccesses
	cfg.KeepDone = completedRetention
	cfg.KeepDoneBytes = maxCompletedBytes
	return cfg
}
