// Package control decides for the control plane of the product's own interface: who is
// a member, which configuration is in force, who owns which keys. It is a state machine
// without I/O; package server moves its messages. The mesh on the operators' platform
// has none of it.
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

// PlaneConfig holds the times and bounds of a Plane.
type PlaneConfig struct {
	// Exchange is the time between two exchanges of a node without updates.
	Exchange time.Duration
	// FallBack is how long a node waits without any answered exchange before
	// it reads the log itself; a share of it by node comes on top, so that a
	// zone without its reader does not fall upon the log at once.
	FallBack time.Duration
	// Stale is the age of the newest proof of the log's head from which a
	// zone's reader asks other zones.
	Stale time.Duration
	// Retention is how long the log keeps records.
	Retention time.Duration
	// MaxEvictShare bounds the part of a zone that is evicted at a time. More
	// silent at once look like a partition, whose other side goes on serving.
	MaxEvictShare float64
	Elector       membership.ElectorConfig
	Detector      membership.DetectorConfig
}

// probeTargets is how many peers a node probes in turn. Each is probed by as
// many others, once a second by one of them; their connections stay open.
const probeTargets = 6

// DefaultPlaneConfig fits a log that keeps records for retention.
func DefaultPlaneConfig(retention time.Duration) PlaneConfig {
	elector := membership.DefaultElectorConfig()
	// A heartbeat comes down three levels at one exchange each.
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

// Validate names the first field out of bounds, its value and the bound.
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

// Follower decides from single records of the log, such as who owns keys. Its
// methods are called in turn and must not call the Plane.
type Follower interface {
	// Applied gets every entry once, in log order and without a gap.
	Applied(now time.Time, entries []logstore.Entry)
	// Truncated says that entries expired before they were read here.
	Truncated()
	// ObserveHead says that at some time after t0 the next offset of the log was
	// head: t0 is a local time before the read that showed it was sent.
	ObserveHead(t0 time.Time, head int64)
}

// Peer is a node to send a message to. ID is zero when only its address is
// known.
type Peer struct {
	ID   membership.Identity
	Addr string
}

// logHead is the newest known end of the log.
type logHead struct {
	known  bool
	t0     time.Time // local time before its read was sent
	next   int64
	oldest int64
	hops   uint32
}

// Plane is one node's share of the control plane: what it reads of the log,
// whom it asks for the rest, what it passes on, whom it takes for dead and
// what it writes. It is a pure state machine: times, messages and pages of the
// log come in, messages and records to append come out. Not safe for
// concurrent use.
type Plane struct {
	cfg      PlaneConfig
	self     membership.Identity
	region   string
	zone     string
	addr     string
	seeds    []string
	rng      *rand.Rand
	follower Follower

	replica *Replica
	feed    feed
	head    logHead
	caught  bool // the head was reached once
	settled bool // the head was reached once or a peer's state taken
	started time.Time

	election *membership.Election
	detector *membership.Detector
	beat     beat
	beats    uint64                         // heartbeats of its own
	beaten   map[membership.Identity]uint64 // newest heartbeat by sender
	zoneIDs  []membership.Identity

	me       *membership.Member // nil until the upstream is announced
	joinedAt time.Time          // when the last join was handed out; zero: none
	member   bool               // self was a member once
	draining bool
	evicting map[membership.Identity]bool
	snapDue  time.Time // since when a snapshot is due; zero: it is not

	soft     map[string]softMember
	drains   map[membership.Identity]drain
	suspects map[suspectKey]suspectUpdate
	incoming []quarantine.CrashRecord

	updates   uint64 // grows with whatever is to be passed down at once
	fromBelow uint64 // grows with whatever did not come from above
	sentUp    uint64
	ahead     Peer            // asked from further on than this node has got
	failing   bool            // the last read of the log failed
	told      map[string]told // by node
	failed    map[string]time.Time
	answered  time.Time // last exchange that was answered
	crossed   uint64    // fromBelow of the last exchange with all zones
	asked     time.Time // last time that all zones were told
	askedOwn  time.Time // last time that one of the own zone was asked
	dead      map[membership.Identity]bool
	dirty     bool
	round     int64 // of the detector, the same at all nodes but for clock skew
}

// NewPlane returns the share of a node that knows nobody; cfg must be valid.
func NewPlane(cfg PlaneConfig, id node.Identity, seeds []string, rng *rand.Rand, now time.Time) *Plane {
	self := membership.Identity{Node: id.Node, Incarnation: id.Incarnation}
	p := &Plane{
		cfg: cfg, self: self, region: id.Region, zone: id.Zone, addr: id.InnerAddr,
		seeds: slices.Clone(seeds), rng: rng, replica: NewReplica(), started: now,
		election: membership.NewElection(cfg.Elector, membership.Peer{ID: self, Started: now}, now),
		detector: membership.NewDetector(cfg.Detector, self),
		answered: now,
		evicting: map[membership.Identity]bool{},
		beaten:   map[membership.Identity]uint64{},
		dead:     map[membership.Identity]bool{},
		soft:     map[string]softMember{},
		drains:   map[membership.Identity]drain{},
		suspects: map[suspectKey]suspectUpdate{},
		told:     map[string]told{},
		failed:   map[string]time.Time{},
	}
	p.detector.SetPeers(nil, membership.Identity{})
	return p
}

// SetFollower adds whoever decides from single records; nil for nobody.
func (p *Plane) SetFollower(f Follower) { p.follower = f }

// Policy returns the configuration in force. A starting process folds its way
// up from old versions; none of these comes in force, since the life before
// may have had a newer one.
func (p *Plane) Policy() *policy.State {
	if !p.settled {
		return policy.NewState()
	}
	return p.replica.Policy()
}

// Members returns the members of the log's fold.
func (p *Plane) Members() *membership.View { return p.replica.Members() }

// Replica returns the fold, for whoever decides from its claims.
func (p *Plane) Replica() *Replica { return p.replica }

// Whole reports whether every record up to the newest fold was seen here.
// Until then no claim may be decided: an earlier one may have been missed.
func (p *Plane) Whole() bool { return p.caught && p.replica.Strict() >= p.replica.Next() }

// IsLeader reports whether this node reads the log for its zone.
func (p *Plane) IsLeader() bool {
	l, ok := p.election.Leader()
	return ok && l == p.self
}

// SetMember says what this node serves; it is told to the log and the peers.
func (p *Plane) SetMember(m membership.Member) {
	if p.me != nil && sameOffer(*p.me, m) {
		return
	}
	p.me = &m
	p.joinedAt = time.Time{}
	p.changed(true)
}

func sameOffer(a, b membership.Member) bool {
	b.JoinedAt = a.JoinedAt
	return a == b
}

// changed notes updates to pass on; up says that they are updates above too.
func (p *Plane) changed(up bool) {
	p.updates++
	if up {
		p.fromBelow++
	}
	p.dirty = true
}

// Updates returns a number that grows with whatever is to be passed on at once.
func (p *Plane) Updates() uint64 { return p.updates }

// TakeDirty reports whether the endpoints changed since it was last called.
func (p *Plane) TakeDirty() bool {
	d := p.dirty
	p.dirty = false
	return d
}

// share spreads nodes over [0, 1) by their name, the same at each call.
func (p *Plane) share() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(p.self.Node))
	return float64(h.Sum32()) / (1 << 32)
}
