package membership

import (
	"fmt"
	"slices"
	"time"
)

// DetectorConfig holds the times of a Detector.
type DetectorConfig struct {
	// Interval is the time between probes of one node.
	Interval time.Duration
	// Targets bounds the peers that one node probes in turn, so that it keeps
	// few connections; 0 means all.
	Targets int
	// ProbeTimeout is the wait for an answer, direct or through a helper.
	ProbeTimeout time.Duration
	// Helpers is how many peers try a target that did not answer.
	Helpers int
	// MinObservers is how many nodes must have found a target silent.
	MinObservers int
	// FindingMaxAge is how long a finding counts.
	FindingMaxAge time.Duration
	// EvictEvery is the least time between two evict records for one target.
	EvictEvery time.Duration
}

// DefaultDetectorConfig finds a dead node at the zone's reader within about
// 7 s, with one probe a second from each node.
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

// Validate names the first field out of bounds, its value and the bound.
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
		return fmt.Errorf("membership: Confirm = %d, must be at least 1", c.MinObservers)
	case c.FindingMaxAge < 4*c.Interval:
		return fmt.Errorf("membership: AccusationAge = %v, must be at least four times Interval = %v", c.FindingMaxAge, c.Interval)
	case c.EvictEvery < c.Interval:
		return fmt.Errorf("membership: EvictEvery = %v, must be at least Interval = %v", c.EvictEvery, c.Interval)
	}
	return nil
}

// Status is what a Detector thinks of a peer.
type Status int

const (
	// Alive is the status of everyone who is not accused.
	Alive Status = iota
	// Suspect was found silent by fewer nodes than Confirm.
	Suspect
	// Dead was found silent by enough nodes, or answers as a newer life.
	Dead
)

// Action is something that a Detector wants done: Probe, ProbeVia, Exchange or
// EvictDue.
type Action interface{ detectorAction() }

// Probe asks a peer whether it lives; OnProbeReply or OnProbeTimeout follows.
type Probe struct{ To Identity }

// ProbeVia asks a helper to probe a target; OnIndirect follows.
type ProbeVia struct{ Helper, Target Identity }

// Exchange sends findings to the parent in the zone's tree, whose own come
// back. Both sides give what they get to OnGossip.
type Exchange struct {
	With     Identity
	Findings []Finding
}

// EvictDue says that self, as the zone's reader, should append an Evict.
type EvictDue struct{ ID Identity }

func (Probe) detectorAction()    {}
func (ProbeVia) detectorAction() {}
func (Exchange) detectorAction() {}
func (EvictDue) detectorAction() {}

// isolatedAfter silent targets in a row, with no answer between, a node takes
// itself for the one that is cut off.
const isolatedAfter = 3

type peerState struct {
	heard    time.Time              // newest answer, anyone's
	accusers map[Identity]time.Time // who found it silent, and when
	cleared  time.Time              // newest answer that spoke against an accuser
	trying   int                    // helpers that have not reported
	replaced bool                   // answers as a newer incarnation
	evicted  time.Time              // when EvictDue was last given
}

// Detector finds dead peers of a zone. It is one node's share: each node sends
// one probe in an Interval, whatever the size of the zone, and the rounds are
// laid out so that each peer is probed about once in an Interval by someone.
//
// The failure it guards against is a VM that ends without a word: calls sent to
// it wait for their timeouts. Its opposite is a healthy VM declared dead by a
// node with a bad link, hence helpers and a second accuser.
type Detector struct {
	cfg    DetectorConfig
	self   Identity
	leader Identity
	peers  []Identity // sorted, self included
	states map[Identity]*peerState
	silent map[Identity]bool // targets found silent since the last answer
}

// NewDetector returns a detector without peers; cfg must be valid.
func NewDetector(cfg DetectorConfig, self Identity) *Detector {
	return &Detector{cfg: cfg, self: self, states: make(map[Identity]*peerState), silent: make(map[Identity]bool)}
}

// SetPeers gives the members of the zone and its present reader.
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
			states[id] = &peerState{accusers: make(map[Identity]time.Time)}
		}
	}
	d.states = states
	for id := range d.silent {
		if _, ok := states[id]; !ok {
			delete(d.silent, id)
		}
	}
}

// Tick is called once in an Interval.
func (d *Detector) Tick(now time.Time) []Action {
	d.expire(now)
	var out []Action
	if to, ok := d.target(now); ok {
		out = append(out, Probe{To: to})
	}
	if with, ok := Parent(d.self, d.leader, d.Live(now)); ok {
		out = append(out, Exchange{With: with, Findings: d.Findings(now)})
	}
	return append(out, d.evictions(now)...)
}

// target lays the rounds out by the clock: in one round every node takes the
// same step along the ring of peers, so each peer has one prober. Clock skew
// only shifts who that is.
func (d *Detector) target(now time.Time) (Identity, bool) {
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

// stride spreads the targets of one node over the ring. Names that follow each
// other often share a rack; its end would otherwise silence all targets of a
// node, which would take itself for the one that is cut off.
func stride(round, steps, n int) int { return round * (n - 1) / steps }

// OnProbeReply takes an answer to a probe; from is the process that answered,
// which may be a newer life of the one asked.
func (d *Detector) OnProbeReply(now time.Time, from Identity) {
	clear(d.silent)
	d.alive(now, from)
	for id, s := range d.states {
		if id.Node == from.Node && id.Incarnation < from.Incarnation {
			s.replaced = true
		}
	}
}

func (d *Detector) alive(at time.Time, id Identity) {
	s, ok := d.states[id]
	if !ok || !at.After(s.heard) {
		return
	}
	s.heard = at
	for who, accused := range s.accusers {
		if !accused.After(at) {
			delete(s.accusers, who)
			s.cleared = at
		}
	}
}

// OnProbeTimeout takes the silence of a direct probe and returns the helpers
// to ask.
func (d *Detector) OnProbeTimeout(now time.Time, target Identity) []Action {
	s, ok := d.states[target]
	if !ok {
		return nil
	}
	d.silent[target] = true
	helpers := d.helpers(now, target)
	s.trying = len(helpers)
	if s.trying == 0 {
		d.accuse(now, target)
	}
	out := make([]Action, 0, len(helpers))
	for _, h := range helpers {
		out = append(out, ProbeVia{Helper: h, Target: target})
	}
	return out
}

// helpers takes the live peers that follow the target on the ring.
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

// OnIndirect takes a helper's report, or its silence, about a target.
func (d *Detector) OnIndirect(now time.Time, target Identity, answered bool) {
	s, ok := d.states[target]
	if !ok {
		return
	}
	if answered {
		d.OnProbeReply(now, target)
		s.trying = 0
		return
	}
	if s.trying == 0 {
		return
	}
	s.trying--
	if s.trying == 0 {
		d.accuse(now, target)
	}
}

func (d *Detector) accuse(now time.Time, target Identity) {
	if !d.Isolated() {
		d.states[target].accusers[d.self] = now
	}
}

// Isolated reports whether self seems to be the one that is cut off. It then
// accuses nobody.
func (d *Detector) Isolated() bool { return len(d.silent) >= isolatedAfter }

// Status returns what is thought of a peer; one that is not a member is Dead.
func (d *Detector) Status(now time.Time, id Identity) Status {
	if id == d.self {
		return Alive
	}
	s, ok := d.states[id]
	if !ok || s.replaced {
		return Dead
	}
	if len(s.accusers) == 0 {
		return Alive
	}
	n := 0
	for _, at := range s.accusers {
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

// Live returns the members that are not dead, sorted, self included.
func (d *Detector) Live(now time.Time) []Identity {
	out := make([]Identity, 0, len(d.peers))
	for _, id := range d.peers {
		if d.Status(now, id) != Dead {
			out = append(out, id)
		}
	}
	return out
}
