package membership

import "time"

// ZoneConfig holds the bounds of a Zone.
type ZoneConfig struct {
	Detector DetectorConfig
	Elector  ElectorConfig
}

// DefaultZoneConfig returns the defaults of both parts.
func DefaultZoneConfig() ZoneConfig {
	return ZoneConfig{Detector: DefaultDetectorConfig(), Elector: DefaultElectorConfig()}
}

// Validate names the first field out of bounds, its value and the bound.
func (c ZoneConfig) Validate() error {
	if err := c.Detector.Validate(); err != nil {
		return err
	}
	return c.Elector.Validate()
}

// Zone is one node's picture of its availability zone: the members that the
// log has, which of them live, and who reads the log for all. It joins View,
// Detector and Elector; the node feeds it and does what it asks for.
type Zone struct {
	self     Member
	view     *View
	detector *Detector
	election *Election
}

// Announce says that self leads, to every address in To.
type Announce struct {
	Heartbeat Heartbeat
	To        []Identity
}

// NewZone returns the picture of a node that starts at now; cfg must be valid.
func NewZone(cfg ZoneConfig, self Member, now time.Time) *Zone {
	z := &Zone{
		self:     self,
		view:     &View{},
		detector: NewDetector(cfg.Detector, self.Identity),
		election: NewElection(cfg.Elector, Peer{ID: self.Identity, Started: now}, now),
	}
	z.refresh(now)
	return z
}

// View is the newest fold. It is immutable and may be shared.
func (z *Zone) View() *View { return z.view }

// Apply folds records of the log in order.
func (z *Zone) Apply(now time.Time, entries []Entry) {
	z.view = z.view.ApplyAll(entries)
	z.refresh(now)
}

// Restore begins with a view of a snapshot or a peer; an older one than the
// present is ignored, so that membership never goes back.
func (z *Zone) Restore(now time.Time, v *View) {
	if v.Version() <= z.view.Version() {
		return
	}
	z.view = v
	z.refresh(now)
}

// refresh gives the members to both parts. Candidates for the lead are those
// that are not known dead: counting on a dead one would delay the next claim.
func (z *Zone) refresh(now time.Time) {
	members := z.view.InZone(z.self.Region, z.self.Zone)
	ids := make([]Identity, 0, len(members))
	for _, m := range members {
		ids = append(ids, m.Identity)
	}
	leader, _ := z.election.Leader()
	z.detector.SetPeers(ids, leader)
	peers := make([]Peer, 0, len(members))
	for _, m := range members {
		if z.detector.Status(now, m.Identity) != Dead {
			peers = append(peers, Peer{ID: m.Identity, Started: m.JoinedAt})
		}
	}
	z.election.SetPeers(peers)
}

// Tick is called once in a detector's Interval and returns what is due.
func (z *Zone) Tick(now time.Time) []Action {
	z.refresh(now)
	return z.detector.Tick(now)
}

// TickElection is called about once in an elector's Stagger, so that claims of
// the lead stay apart. It returns the announcement that is due, if any.
func (z *Zone) TickElection(now time.Time) (Announce, bool) {
	hb, ok := z.election.Tick(now)
	if !ok {
		return Announce{}, false
	}
	return Announce{Heartbeat: hb, To: z.Live(now)}, true
}

// OnHeartbeat takes the word of a leader. It is as good as an answer to a
// probe: its sender lives.
func (z *Zone) OnHeartbeat(now time.Time, hb Heartbeat) {
	z.election.OnHeartbeat(now, hb)
	z.detector.OnProbeReply(now, hb.From)
}

// Detector is the part that answers to probes and gossip go to.
func (z *Zone) Detector() *Detector { return z.detector }

// Leader is who reads the log for the zone; false right after a start.
func (z *Zone) Leader() (Identity, bool) { return z.election.Leader() }

// IsLeader reports whether self reads the log for the zone.
func (z *Zone) IsLeader() bool {
	id, ok := z.election.Leader()
	return ok && id == z.self.Identity
}

// Live returns the members of the zone that are not dead, self included.
func (z *Zone) Live(now time.Time) []Identity { return z.detector.Live(now) }

// NeedsJoin reports whether self must write a join record: it has none yet,
// or its peers evicted it. An evicted process needs a new incarnation first.
func (z *Zone) NeedsJoin() (due, newIncarnation bool) {
	if z.view.Live(z.self.Identity) {
		return false, false
	}
	t, ok := z.view.gone[z.self.Node]
	return true, ok && t.Incarnation >= z.self.Incarnation
}
