package membership

import "time"

// ZoneConfig holds the configuration of a Zone.
type ZoneConfig struct {
	Detector DetectorConfig
	Elector  ElectorConfig
}

// DefaultZoneConfig returns the default configuration of both parts.
func DefaultZoneConfig() ZoneConfig {
	return ZoneConfig{Detector: DefaultDetectorConfig(), Elector: DefaultElectorConfig()}
}

// Validate returns an error with the first field out of range, its value and the limit.
func (c ZoneConfig) Validate() error {
	if err := c.Detector.Validate(); err != nil {
		return err
	}
	return c.Elector.Validate()
}

// Zone is the state of an availability zone at one node: the members according to the log, their
// liveness, and the reader of the log. It combines View, Detector and Election. The node passes
// events to it and performs the actions that it returns.
type Zone struct {
	self     Member
	view     *View
	detector *Detector
	election *Election
}

// Announce requests that a heartbeat of self as the leader is sent to every process in To.
type Announce struct {
	Heartbeat Heartbeat
	To        []Identity
}

// NewZone returns the state for a node that starts at now; cfg must be valid.
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

// View returns the newest view. It is immutable and may be shared.
func (z *Zone) View() *View { return z.view }

// Apply folds records of the log in order.
func (z *Zone) Apply(now time.Time, entries []Entry) {
	z.view = z.view.ApplyAll(entries)
	z.refresh(now)
}

// Restore replaces the view by one from a snapshot or a peer. A view that is not newer than the
// present one is ignored, so that the version never decreases.
func (z *Zone) Restore(now time.Time, v *View) {
	if v.Version() <= z.view.Version() {
		return
	}
	z.view = v
	z.refresh(now)
}

// refresh passes the members to the detector and the election. Only members that are not dead
// count as candidates for leader: waiting for a dead candidate would delay the election.
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

// Tick returns the actions of the detector that are due. It must be called once per Interval of
// the detector.
func (z *Zone) Tick(now time.Time) []Action {
	z.refresh(now)
	return z.detector.Tick(now)
}

// TickElection returns the announcement that is due, if any. It must be called about once per
// Stagger of the elector, so that candidates do not become leader at the same time.
func (z *Zone) TickElection(now time.Time) (Announce, bool) {
	hb, ok := z.election.Tick(now)
	if !ok {
		return Announce{}, false
	}
	return Announce{Heartbeat: hb, To: z.Live(now)}, true
}

// OnHeartbeat handles a heartbeat of a leader. It also counts as a response to a probe, because it
// shows that the sender is live.
func (z *Zone) OnHeartbeat(now time.Time, hb Heartbeat) {
	z.election.OnHeartbeat(now, hb)
	z.detector.OnProbeReply(now, hb.From)
}

// Detector returns the detector, which handles probe responses and gossip.
func (z *Zone) Detector() *Detector { return z.detector }

// Leader returns the reader of the log for the zone; false until the first one is known after a
// start.
func (z *Zone) Leader() (Identity, bool) { return z.election.Leader() }

// IsLeader reports whether self reads the log for the zone.
func (z *Zone) IsLeader() bool {
	id, ok := z.election.Leader()
	return ok && id == z.self.Identity
}

// Live returns the members of the zone that are not dead, including self.
func (z *Zone) Live(now time.Time) []Identity { return z.detector.Live(now) }

// NeedsJoin reports in due whether self must append a join record, either because it has none yet
// or because its peers evicted it. newIncarnation reports that this incarnation has left or was
// evicted, so that the process needs a new one first.
func (z *Zone) NeedsJoin() (due, newIncarnation bool) {
	if z.view.Live(z.self.Identity) {
		return false, false
	}
	t, ok := z.view.tombstones[z.self.Node]
	return true, ok && t.Incarnation >= z.self.Incarnation
}
