// Package control is the control plane of the product's own interface. It determines the
// members, the configuration in force and the owners of idempotency keys. In each zone an
// elected leader, the zone's reader, reads the log and distributes its records to the other
// nodes of the zone along a tree. The package is a state machine without I/O; package server
// transports its messages. The mesh on the operators' platform does not use it.
package control

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// PlaneConfig holds the intervals, timeouts and limits of a Plane.
type PlaneConfig struct {
	// Exchange is the time between two exchanges of a node without updates. An exchange is a
	// request to a peer, usually the node's parent in the zone's tree, and the response; both
	// contain the updates of their sender.
	Exchange time.Duration
	// FallBack is the time without any exchange response after which a node reads the log
	// itself. A jitter per node of up to the same length is added, so that the nodes of a zone
	// that has lost its reader do not all begin to read the log at the same time.
	FallBack time.Duration
	// Stale is the head age above which a zone's reader sends exchange requests to other zones.
	Stale time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// MaxEvictShare is the largest share of a zone that may be dead for evictions to proceed.
	// If more nodes are unreachable at the same time, the cause is probably a partition, and
	// the nodes on its other side still serve.
	MaxEvictShare float64
	Elector       membership.ElectorConfig
	Detector      membership.DetectorConfig
}

// probeTargets is the number of peers that a node probes in turn. Each node is probed by as
// many others, by one of them per second. The connections to the targets stay open.
const probeTargets = 6

// DefaultPlaneConfig returns the default settings for a log that keeps records for retention.
func DefaultPlaneConfig(retention time.Duration) PlaneConfig {
	elector := membership.DefaultElectorConfig()
	// A heartbeat passes down three levels of the tree, and each level takes one exchange.
	elector.Timeout = 5 * time.Second
	detector := membership.DefaultDetectorConfig()
	detector.Targets = probeTargets
	return PlaneConfig{
		Exchange:      time.Second,
		FallBack:      10 * time.Second,
		Stale:         2 * time.Second,
		Retention:     retention,
		MaxEvictShare: 1.0 / 3,
		Elector:       elector,
		Detector:      detector,
	}
}

// Validate returns an error that names the first field out of bounds, its value and the bound.
func (c *PlaneConfig) Validate() error {
	switch {
	case c.Exchange <= 0:
		return fmt.Errorf("plane: Exchange = %v, must be above 0", c.Exchange)
	case c.FallBack < 2*c.Exchange:
		return fmt.Errorf("plane: FallBack = %v, must be at least twice Exchange = %v", c.FallBack, c.Exchange)
	case c.Stale < c.Exchange:
		return fmt.Errorf("plane: Stale = %v, must be at least Exchange = %v", c.Stale, c.Exchange)
	case c.Retention <= 0:
		return fmt.Errorf("plane: Retention = %v, must be above 0", c.Retention)
	case c.MaxEvictShare <= 0 || c.MaxEvictShare > 1:
		return fmt.Errorf("plane: MaxEvictShare = %v, must be above 0 and at most 1", c.MaxEvictShare)
	}
	if err := c.Elector.Validate(); err != nil {
		return err
	}
	return c.Detector.Validate()
}

// Follower consumes every single record of the log, for instance to determine the owners of
// keys. Its methods are called one after the other and must not call the Plane.
type Follower interface {
	// Applied receives every entry once, in log order and without gaps.
	Applied(now time.Time, entries []logstore.Entry)
	// Truncated reports that entries expired before this node read them.
	Truncated()
	// ObserveHead reports that at some time after readAt the next offset of the log was head. readAt
	// is a local time before the read that returned head was sent.
	ObserveHead(readAt time.Time, head int64)
}

// Peer is the destination of a message. ID is zero if only the address is known.
type Peer struct {
	ID   membership.Identity
	Addr string
}

// logHead is an observation of the log's head.
type logHead struct {
	known  bool
	readAt time.Time // local time before the read was sent
	next   int64     // offset that the next append gets
	oldest int64     // first offset that has not expired
	hops   uint32    // exchanges between the node that read the log and this one
}

// Plane is the part of the control plane that runs on one node. It determines what the node
// reads from the log, from which peers it fetches the rest, what it forwards, which nodes it
// considers dead and which records it appends. It is a pure state machine: its inputs are
// times, messages and pages of the log, its outputs are messages and records to append. It is
// not safe for concurrent use.
type Plane struct {
	cfg      PlaneConfig
	self     membership.Identity
	region   string
	zone     string
	addr     string
	seeds    []string
	rng      *rand.Rand
	follower Follower

	replica     *Replica
	recordCache recordCache
	head        logHead
	caughtUp    bool // the replica has reached the log's head once
	hasState    bool // caughtUp, or the state of a peer was adopted
	started     time.Time

	election        *membership.Election
	detector        *membership.Detector
	leaderHeartbeat leaderHeartbeat
	heartbeatSeq    uint64                         // sequence number of the last own heartbeat
	receivedSeqs    map[membership.Identity]uint64 // newest sequence number by sender of heartbeats
	zoneIDs         []membership.Identity

	ownMember     *membership.Member // nil until the upstream is announced
	joinWrittenAt time.Time          // when Tick last returned a join record; zero: never
	wasMember     bool               // the log has listed this node as a member
	draining      bool
	evicting      map[membership.Identity]bool // targets with a pending CheckEvict
	snapshotDueAt time.Time                    // when a snapshot became due; zero: none is due

	softMembers          map[string]softMember
	drains               map[membership.Identity]drain
	crashRecords         map[crashRecordKey]crashRecordUpdate
	receivedCrashRecords []quarantine.CrashRecord

	updates            uint64               // counts updates that children must receive without delay
	upwardUpdates      uint64               // counts updates that the parent does not have
	sentUpward         uint64               // upwardUpdates at the last request
	peerAhead          Peer                 // peer that has newer records, according to its request; zero: none
	readFailing        bool                 // the last read of the log failed
	lastResponses      map[string]sentState // by node
	failedAt           map[string]time.Time // last failed request by address
	lastResponseAt     time.Time            // last response to an exchange request
	sentToZones        uint64               // upwardUpdates at the last requests to all zones
	zonesRequestedAt   time.Time            // last requests to all zones
	ownZoneRequestedAt time.Time            // last request of a reader to a node of its own zone
	dead               map[membership.Identity]bool
	endpointsDirty     bool
	detectorRound      int64 // number of the current Detector.Interval since 1970, by the local clock
}

// NewPlane returns the Plane of a node that knows no peers except seeds; cfg must be valid.
func NewPlane(cfg PlaneConfig, id node.Identity, seeds []string, rng *rand.Rand, now time.Time) *Plane {
	self := membership.Identity{Node: id.Node, Incarnation: id.Incarnation}
	p := &Plane{
		cfg: cfg, self: self, region: id.Region, zone: id.Zone, addr: id.InnerAddr,
		seeds: slices.Clone(seeds), rng: rng, replica: NewReplica(), started: now,
		election:       membership.NewElection(cfg.Elector, membership.Peer{ID: self, Started: now}, now),
		detector:       membership.NewDetector(cfg.Detector, self),
		lastResponseAt: now,
		evicting:       map[membership.Identity]bool{},
		receivedSeqs:   map[membership.Identity]uint64{},
		dead:           map[membership.Identity]bool{},
		softMembers:    map[string]softMember{},
		drains:         map[membership.Identity]drain{},
		crashRecords:   map[crashRecordKey]crashRecordUpdate{},
		lastResponses:  map[string]sentState{},
		failedAt:       map[string]time.Time{},
	}
	p.detector.SetPeers(nil, membership.Identity{})
	return p
}

// SetFollower sets the consumer of single records; nil means none.
func (p *Plane) SetFollower(f Follower) { p.follower = f }

// Policy returns the configuration in force. It returns an empty one until the Plane has
// reached the log's head or adopted the state of a peer: the older versions that a starting
// process folds must not come into force, because its previous incarnation may have had a
// newer one.
func (p *Plane) Policy() *policy.State {
	if !p.hasState {
		return policy.NewState()
	}
	return p.replica.Policy()
}

// Members returns the members according to the log.
func (p *Plane) Members() *membership.View { return p.replica.Members() }

// Replica returns the fold over the log, which contains the claims.
func (p *Plane) Replica() *Replica { return p.replica }

// Complete reports whether this node has folded every record up to Next without a gap.
// Until then no claim may be decided, because an earlier claim to the same key may be missing.
func (p *Plane) Complete() bool { return p.caughtUp && p.replica.NextContiguous() >= p.replica.Next() }

// IsLeader reports whether this node reads the log for its zone.
func (p *Plane) IsLeader() bool {
	l, ok := p.election.Leader()
	return ok && l == p.self
}

// SetMember sets the member record of this node, which is then written to the log and sent to
// the peers.
func (p *Plane) SetMember(m membership.Member) {
	if p.ownMember != nil && equalExceptJoinedAt(*p.ownMember, m) {
		return
	}
	p.ownMember = &m
	p.joinWrittenAt = time.Time{}
	p.noteUpdate(true)
}

func equalExceptJoinedAt(a, b membership.Member) bool {
	b.JoinedAt = a.JoinedAt
	return a == b
}

// noteUpdate records a change of the endpoints that children must receive; upward reports
// whether the parent must receive it as well.
func (p *Plane) noteUpdate(upward bool) {
	p.updates++
	if upward {
		p.upwardUpdates++
	}
	p.endpointsDirty = true
}

// Updates returns a counter that increases with every update that must be sent without delay.
func (p *Plane) Updates() uint64 { return p.updates }

// TakeDirty reports whether the endpoints have changed since the last call.
func (p *Plane) TakeDirty() bool {
	d := p.endpointsDirty
	p.endpointsDirty = false
	return d
}

// nodeJitter returns a number in [0, 1) derived from the node's name. It is the same at each
// call.
func (p *Plane) nodeJitter() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.self.Node))
	return float64(h.Sum32()) / (1 << 32)
}
