package mesh

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// timerSample takes one duration in so many of those on a call's path.
	timerSample = 8
	// timelineEvents bounds the ring of events; at 200 bytes each it holds 0.2 MB.
	timelineEvents = 1024
	// timelineSample keeps the events of one good call in so many.
	timelineSample = 256
	// maxReroutes is how many upstreams that were not reached a call may pass by: with a
	// third of a service gone, three in a row are rare.
	maxReroutes = 3
)

const (
	// peerConnectTimeout bounds a connection to another node: one way between zones
	// takes 1 ms, and a lost opening packet is sent again after a second.
	peerConnectTimeout = 250 * time.Millisecond
	// peerIdleTimeout is how long an unused connection to another node is kept. Nodes
	// keep theirs open for longer, so no call crosses a close.
	peerIdleTimeout = 20 * time.Second
	// peerSilenceTimeout is how long a path between nodes may be silent: two lost packets
	// in a row are sent again within 0.7 s.
	peerSilenceTimeout = time.Second
	// minPeerReattachWait and peerReattachMax bound the wait for an answer after which a
	// fresh connection is tried though the path is not silent. The time of calls with
	// calls of their own varies by a second, so a shorter bound replaces sound
	// connections.
	minPeerReattachWait = 2 * time.Second
	maxPeerReattachWait = 4 * time.Second
	// maxIdlePerPeer bounds the idle connections to one node: as many calls as one node
	// has out to another at once, with some room.
	maxIdlePerPeer = 64
	// minIdlePerPeer is what is kept to one node however many there are: below it each
	// call would open a connection.
	minIdlePerPeer = 2
	// peerDescriptorShare of the descriptors is for connections kept to all other nodes. They
	// keep as many to this one, and the other half is for callers and the upstream.
	peerDescriptorShare = 0.25
)

// idlePerPeer is how many idle connections are kept to each of that many nodes, so that
// descriptors are left for callers.
func idlePerPeer(descriptors, nodes int) int {
	share := int(peerDescriptorShare * float64(descriptors) / float64(max(nodes, 1)))
	return min(max(share, minIdlePerPeer), maxIdlePerPeer)
}

// slowStart is how long a fresh upstream takes to its full share; those of today
// say that they are slow for 3 s.
const slowStart = 4 * time.Second

func routingConfig() routing.Config {
	cfg := routing.DefaultConfig()
	cfg.RetryAfter = 300 * time.Millisecond
	cfg.SlowStart = slowStart
	return cfg
}

const (
	// minBatchWindow and maxSettle bound the time in which changes of members are gathered
	// for one read. When all nodes start, each of them would else read once for each
	// of the others. A record is old for this long at most; a drain binds at its own
	// guard before, so what an old record costs is a call that goes on elsewhere.
	minBatchWindow = 300 * time.Millisecond
	maxBatchWindow = 2 * time.Second
	// deploymentReadsPerSecond is what all nodes together read while members change: a
	// hundredth of what a store of 6,000 reads a second serves.
	deploymentReadsPerSecond = 60
)

// membersLagGrace is the grace of a node that gathers changes: it is behind until its
// next read.
const membersLagGrace = maxBatchWindow + lagGrace

// batchWindowFor is how long one of that many nodes gathers changes.
func batchWindowFor(nodes int) time.Duration {
	return min(max(minBatchWindow, time.Duration(nodes)*time.Second/deploymentReadsPerSecond), maxBatchWindow)
}

// maxProvenRequests is how many requests that succeeded lately each guard remembers,
// of 8 bytes and a map's place.
const maxProvenRequests = 8192

const (
	// completedRetention is how long the answer of a finished call is kept for a sender
	// whose connection went silent: it asks again within a second.
	completedRetention = 3 * time.Second
	// maxCompletedBytes bounds those answers.
	maxCompletedBytes = 2 << 20
)

func guardConfig() node.GuardConfig {
	cfg := node.DefaultGuardConfig()
	cfg.Quarantine.Proven = maxProvenRequests
	cfg.KeepDone = completedRetention
	cfg.KeepDoneBytes = maxCompletedBytes
	return cfg
}
