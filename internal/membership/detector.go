package membership

import (
	"fmt"
	"slices"
	"time"
)

// DetectorConfig holds the limits and durations of a Detector.
type DetectorConfig struct {
	// Interval is the time between two probes of one node.
	Interval time.Duration
	// Targets limits the number of peers that one node probes in turn, and with it the number of
	// its connections; 0 means all peers.
	Targets int
	// ProbeTimeout is how long to wait for the response to a direct or an indirect probe.
	ProbeTimeout time.Duration
	// Helpers is the number of peers that probe a target indirectly after it did not respond.
	Helpers int
	// MinObservers is the number of nodes that must have found a target unresponsive before its
	// status is Dead.
	MinObservers int
	// FindingMaxAge is how long a finding counts.
	FindingMaxAge time.Duration
	// EvictEvery is the minimum time between two evict records for one target.
	EvictEvery time.Duration
}

// DefaultDetectorConfig returns values with which the zone's reader detects a dead node within
// about 7 s, at one probe per second from each node.
func DefaultDetectorConfig() DetectorConfig {
	return DetectorConfig{
		Interval:      time.Second,
		ProbeTimeout:  400 * time.Millisecond,
		Helpers:       2,
		MinObservers:  2,
		FindingMaxAge: 15 * time.Second,
		EvictEvery:    10 * time.Second,
	}
}

// Validate returns an error with the first field out of range, its value and the limit.
func (c DetectorConfig) Validate() error {
	switch {
	case c.Interval <= 0:
		return fmt.Errorf("membership: Interval = %v, must be above 0", c.Interval)
	case c.ProbeTimeout <= 0 || 2*c.ProbeTimeout >= c.Interval:
		return fmt.Errorf("membership: ProbeTimeout = %v, must be above 0 and below half of Interval = %v", c.ProbeTimeout, c.Interval)
	case c.Targets < 0:
		return fmt.Errorf("membership: Targets = %d, must be at least 0", c.Targets)
	case c.Helpers < 0:
		return fmt.Errorf("membership: Helpers = %d, must be at least 0", c.Helpers)
	case c.MinObservers < 1:
		return fmt.Errorf("membership: MinObservers = %d, must be at least 1", c.MinObservers)
	case c.FindingMaxAge < 4*c.Interval:
		return fmt.Errorf("membership: FindingMaxAge = %v, must be at least four times Interval = %v", c.FindingMaxAge, c.Interval)
	case c.EvictEvery < c.Interval:
		return fmt.Errorf("membership: EvictEvery = %v, must be at least Interval = %v", c.EvictEvery, c.Interval)
	}
	return nil
}

// Status is the liveness of a peer according to a Detector.
type Status int

const (
	// Alive is the status of a peer without valid findings against it.
	Alive Status = iota
	// Suspect is the status of a peer that fewer nodes than MinObservers found unresponsive.
	Suspect
	// Dead is the status of a peer that enough nodes found unresponsive, or whose node responds
	// with a newer incarnation.
	Dead
)

// Action is an action that a Detector requests: Probe, ProbeVia, Exchange or EvictDue.
type Action interface{ detectorAction() }

// Probe requests a direct probe of a peer. The caller reports the result to OnProbeReply or
// OnProbeTimeout.
type Probe struct{ To Identity }

// ProbeVia requests that a helper probes a target. The caller reports the result to
// OnIndirectProbe.
type ProbeVia struct{ Helper, Target Identity }

// Exchange requests that findings are sent to the parent in the zone's tree, which returns its
// own. Both sides pass the received findings to OnGossip.
type Exchange struct {
	With     Identity
	Findings []Finding
}

// EvictDue requests that self, as the zone's reader, appends an Evict record.
type EvictDue struct{ ID Identity }

func (Probe) detectorAction()    {}
func (ProbeVia) detectorAction() {}
func (Exchange) detectorAction() {}
func (EvictDue) detectorAction() {}

// isolationThreshold is the number of unresponsive targets, with no response in between, from
// which a node regards itself as disconnected from the zone.
const isolationThreshold = 3

// peerState is what a Detector has recorded about one peer.
type peerState struct {
	lastResponse   time.Time              // time of the newest response, to any node
	observers      map[Identity]time.Time // nodes that found the peer unresponsive, and when
	refutedAt      time.Time              // time of the newest response that refuted a finding
	pendingHelpers int                    // helpers that have not reported yet
	replaced       bool                   // a newer incarnation responded
	lastEvictDue   time.Time              // when EvictDue was last returned
}

// Detector detects dead peers of a zone. Each node sends one probe per Interval, regardless of the
// size of the zone. In each Interval, called a round, the nodes probe different peers, so that each
// peer is probed about once per round; see nextTarget.
//
// It detects a VM that stops without notice; calls sent to such a VM wait for their timeouts.
// Indirect probes and a second observer keep a node with a faulty link from declaring a healthy VM
// dead.
type Detector struct {
	cfg          DetectorConfig
	self         Identity
	leader       Identity
	peers        []Identity // sorted, self included
	states       map[Identity]*peerState
	unresponsive map[Identity]bool // targets whose probes timed out since the last response of any target
}

// NewDetector returns a detector without peers; cfg must be valid.
func NewDetector(cfg DetectorConfig, self Identity) *Detector {
	return &Detector{cfg: cfg, self: self, states: make(map[Identity]*peerState), unresponsive: make(map[Identity]bool)}
}

// SetPeers replaces the members of the zone and its present reader.
func (d *Detector) SetPeers(members []Identity, leader Identity) {
	d.leader = leader
	d.peers = append(slices.Clone(members), d.self)
	slices.SortFunc(d.peers, Identity.Compare)
	d.peers = slices.Compact(d.peers)
	states := make(map[Identity]*peerState, len(d.peers))
	for _, id := range d.peers {
		if s, ok := d.states[id]; ok {
			states[id] = s
		} else {
			states[id] = &peerState{observers: make(map[Identity]time.Time)}
		}
	}
	d.states = states
	for id := range d.unresponsive {
		if _, ok := states[id]; !ok {
			delete(d.unresponsive, id)
		}
	}
}

// Tick returns the actions that are due. It must be called once per Interval.
func (d *Detector) Tick(now time.Time) []Action {
	d.expireFindings(now)
	var out []Action
	if to, ok := d.nextTarget(now); ok {
		out = append(out, Probe{To: to})
	}
	if parent, ok := Parent(d.self, d.leader, d.Live(now)); ok {
		out = append(out, Exchange{With: parent, Findings: d.Findings(now)})
	}
	return append(out, d.dueEvictions(now)...)
}

// nextTarget returns the peer to probe in the present round, which follows from the clock. In one
// round all nodes take the same step along the ring of peers, so each peer is probed by one node.
// Clock skew only changes which node that is.
func (d *Detector) nextTarget(now time.Time) (Identity, bool) {
	n := len(d.peers)
	if n < 2 {
		return Identity{}, false
	}
	i, _ := slices.BinarySearchFunc(d.peers, d.self, Identity.Compare)
	steps := n - 1
	if d.cfg.Targets > 0 {
		steps = min(steps, d.cfg.Targets)
	}
	round := int(now.UnixNano() / int64(d.cfg.Interval) % int64(steps))
	return d.peers[(i+1+stride(round, steps, n))%n], true
}

// stride returns the distance on the ring from a node's next peer to its target of the round. The
// distances of the rounds cover the whole ring, because nodes with consecutive names often share a
// rack. If all targets of a node were in one rack and that rack failed, the node would wrongly
// regard itself as disconnected.
func stride(round, steps, n int) int { return round * (n - 1) / steps }

// OnProbeReply records a response to a probe. from is the process that responded, which may be a
// newer incarnation of the probed one.
func (d *Detector) OnProbeReply(now time.Time, from Identity) {
	clear(d.unresponsive)
	d.recordResponse(now, from)
	for id, s := range d.states {
		if id.Node == from.Node && id.Incarnation < from.Incarnation {
			s.replaced = true
		}
	}
}

// recordResponse records that a peer responded at the time at, to this node or to another one. It
// deletes the findings against the peer, except those that are newer than the response.
func (d *Detector) recordResponse(at time.Time, id Identity) {
	s, ok := d.states[id]
	if !ok || !at.After(s.lastResponse) {
		return
	}
	s.lastResponse = at
	for observer, observedAt := range s.observers {
		if !observedAt.After(at) {
			delete(s.observers, observer)
			s.refutedAt = at
		}
	}
}

// OnProbeTimeout records that a direct probe timed out. It returns the indirect probes to send.
func (d *Detector) OnProbeTimeout(now time.Time, target Identity) []Action {
	s, ok := d.states[target]
	if !ok {
		return nil
	}
	d.unresponsive[target] = true
	helpers := d.helpers(now, target)
	s.pendingHelpers = len(helpers)
	if s.pendingHelpers == 0 {
		d.recordUnresponsive(now, target)
	}
	out := make([]Action, 0, len(helpers))
	for _, h := range helpers {
		out = append(out, ProbeVia{Helper: h, Target: target})
	}
	return out
}

// helpers returns the live peers that follow the target on the ring, at most cfg.Helpers.
func (d *Detector) helpers(now time.Time, target Identity) []Identity {
	var out []Identity
	i, _ := slices.BinarySearchFunc(d.peers, target, Identity.Compare)
	for k := 1; k < len(d.peers) && len(out) < d.cfg.Helpers; k++ {
		h := d.peers[(i+k)%len(d.peers)]
		if h != d.self && h != target && d.Status(now, h) == Alive {
			out = append(out, h)
		}
	}
	return out
}

// OnIndirectProbe records the result of an indirect probe; responded is false if the target or the
// helper did not respond.
func (d *Detector) OnIndirectProbe(now time.Time, target Identity, responded bool) {
	s, ok := d.states[target]
	if !ok {
		return
	}
	if responded {
		d.OnProbeReply(now, target)
		s.pendingHelpers = 0
		return
	}
	if s.pendingHelpers == 0 {
		return
	}
	s.pendingHelpers--
	if s.pendingHelpers == 0 {
		d.recordUnresponsive(now, target)
	}
}

// recordUnresponsive records self's finding that a target is unresponsive, unless self seems to be
// disconnected.
func (d *Detector) recordUnresponsive(now time.Time, target Identity) {
	if !d.Isolated() {
		d.states[target].observers[d.self] = now
	}
}

// Isolated reports whether self seems to be disconnected from the zone. While it is, it records no
// findings against peers.
func (d *Detector) Isolated() bool { return len(d.unresponsive) >= isolationThreshold }

// Status returns the liveness of a peer. A process that is not a member is Dead.
func (d *Detector) Status(now time.Time, id Identity) Status {
	if id == d.self {
		return Alive
	}
	s, ok := d.states[id]
	if !ok || s.replaced {
		return Dead
	}
	if len(s.observers) == 0 {
		return Alive
	}
	n := 0
	for _, at := range s.observers {
		if now.Sub(at) < d.cfg.FindingMaxAge {
			n++
		}
	}
	switch {
	case n == 0:
		return Alive
	case n >= min(d.cfg.MinObservers, max(1, len(d.peers)-1)):
		return Dead
	default:
		return Suspect
	}
}

// Live returns the members that are not dead in sorted order, including self.
func (d *Detector) Live(now time.Time) []Identity {
	out := make([]Identity, 0, len(d.peers))
	for _, id := range d.peers {
		if d.Status(now, id) != Dead {
			out = append(out, id)
		}
	}
	return out
}
