package control

import (
	"encoding/json"
	"fmt"
	"maps"
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/policy"
)

const (
	// rejoinDivisor sets when a member writes its join record again, so that the record does not
	// expire: after 1/rejoinDivisor of the log's retention. A jitter per node of up to half of
	// that time is added, so that members do not write at the same time.
	rejoinDivisor = 4
	// maxReceivedSeqs is the number of senders in receivedSeqs above which those that have left
	// the members are removed.
	maxReceivedSeqs = 64
	// appendRetryDelay is the time after which a record that has not appeared in the log is
	// appended again.
	appendRetryDelay = 10 * time.Second
)

// Action is an operation that the caller performs for a Plane: SendProbe, SendProbeVia,
// CheckEvict or AppendRecord.
type Action interface{ planeAction() }

// SendProbe probes a node. The caller reports the result with OnProbe.
type SendProbe struct{ To Peer }

// SendProbeVia requests that a helper probe a target. The caller reports the result with
// OnProbeVia.
type SendProbeVia struct{ Helper, Target Peer }

// CheckEvict requests that nodes of other zones probe a target that is dead according to its
// own zone. The caller reports the result with OnEvictChecked.
type CheckEvict struct {
	Helpers []Peer
	Target  Peer
}

// AppendRecord appends a record to the log. The caller need not report the result: a record
// that does not appear in the log is returned again by a later Tick.
type AppendRecord struct{ Record logstore.Record }

func (SendProbe) planeAction()    {}
func (SendProbeVia) planeAction() {}
func (CheckEvict) planeAction()   {}
func (AppendRecord) planeAction() {}

// Tick advances the timers and returns the actions that are due. The caller calls it several
// times per PlaneConfig.Exchange.
func (p *Plane) Tick(now time.Time) []Action {
	p.tickElection(now)
	p.removeExpired(now)
	var out []Action
	if round := now.UnixNano() / int64(p.cfg.Detector.Interval); round != p.detectorRound {
		p.detectorRound = round
		out = p.planeActions(now, p.detector.Tick(now))
		out = append(out, p.snapshotActions(now)...)
		p.updateDead(now)
	}
	return append(out, p.joinActions(now)...)
}

// tickElection advances the election of the zone's reader and, if this node is the reader and a
// heartbeat is due, stores the heartbeat for the next messages. A node that has not announced
// itself as a member cannot become the reader, because its peers have no address to send requests
// to. A draining node cannot either.
func (p *Plane) tickElection(now time.Time) {
	if p.ownMember == nil || p.draining {
		return
	}
	before, hadLeader := p.election.Leader()
	hb, due := p.election.Tick(now)
	after, _ := p.election.Leader()
	if due {
		p.heartbeatSeq++
		p.leaderHeartbeat = leaderHeartbeat{hb: hb, addr: p.addr, seq: p.heartbeatSeq}
	}
	if !hadLeader && due || before != after {
		p.leaderChanged()
	}
}

// removeExpired removes soft members, drains, failed requests and heartbeat numbers that are
// no longer needed.
func (p *Plane) removeExpired(now time.Time) {
	for node, s := range p.softMembers {
		if now.Sub(s.announcedAt) >= softMemberTTL {
			delete(p.softMembers, node)
			p.setPeers()
			p.noteUpdate(false)
		}
	}
	for id, d := range p.drains {
		if id != p.self && now.Sub(d.startedAt) >= drainTTL {
			delete(p.drains, id)
			p.endpointsDirty = true
		}
	}
	maps.DeleteFunc(p.failedAt, func(_ string, at time.Time) bool { return now.Sub(at) >= failedPeerBackoff })
	// A heartbeat of a removed member is relayed only while some node still considers that member
	// the leader. After maxReceivedSeqs other leaders no node does, so its sequence number is no
	// longer needed.
	maps.DeleteFunc(p.receivedSeqs, func(id membership.Identity, _ uint64) bool {
		return len(p.receivedSeqs) > maxReceivedSeqs && p.Members().Gone(id)
	})
	if len(p.lastResponses) > 2*len(p.zoneIDs)+64 {
		clear(p.lastResponses)
	}
}

// planeActions translates actions of the failure detector into those of the Plane.
func (p *Plane) planeActions(now time.Time, actions []membership.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Probe:
			out = append(out, SendProbe{To: p.peer(a.To)})
		case membership.ProbeVia:
			out = append(out, SendProbeVia{Helper: p.peer(a.Helper), Target: p.peer(a.Target)})
		case membership.EvictDue:
			out = append(out, p.evictActions(now, a.ID)...)
		}
	}
	return out
}

// OnProbe records the result of a SendProbe to node to: from is the node that responded;
// reached is false if there was no response.
func (p *Plane) OnProbe(now time.Time, to membership.Identity, from membership.Identity, reached bool) []Action {
	if reached {
		p.detector.OnProbeReply(now, from)
		p.updateDead(now)
		return nil
	}
	out := p.planeActions(now, p.detector.OnProbeTimeout(now, to))
	p.updateDead(now)
	return out
}

// OnProbeVia records a helper's result of a SendProbeVia.
func (p *Plane) OnProbeVia(now time.Time, target membership.Identity, reached bool) {
	p.detector.OnIndirectProbe(now, target, reached)
	p.updateDead(now)
}

// updateDead recomputes the dead nodes of the zone, which are removed from routing at once. An
// isolated node keeps the previous result: it cannot tell whether its peers are dead or it is
// itself cut off.
func (p *Plane) updateDead(now time.Time) {
	if p.detector.Isolated() {
		return
	}
	dead := map[membership.Identity]bool{}
	for _, id := range p.zoneIDs {
		if p.detector.Status(now, id) == membership.Dead {
			dead[id] = true
		}
	}
	if !maps.Equal(dead, p.dead) {
		p.dead = dead
		p.noteUpdate(true)
	}
}

// Dead returns the members of the zone that are considered dead.
func (p *Plane) Dead() map[membership.Identity]bool { return maps.Clone(p.dead) }

// evictActions begins the eviction of a dead node, unless there is probably a partition inside
// the zone. In a partition many nodes become unreachable at the same time. If they were
// evicted, they would have to stop although they still serve callers on their side. Therefore
// no node is evicted while more than MaxEvictShare of the zone is dead, and each one only
// after nodes of other zones could not reach it either. Nodes that are not evicted are only
// removed from this node's routing until they are reachable again.
func (p *Plane) evictActions(now time.Time, id membership.Identity) []Action {
	limit := max(1, int(float64(len(p.zoneIDs))*p.cfg.MaxEvictShare))
	if len(p.dead) > limit || p.evicting[id] {
		return nil
	}
	target := p.peer(id)
	if target.Addr == "" {
		return nil
	}
	p.evicting[id] = true
	helpers := p.otherZonePeers(now)
	return []Action{CheckEvict{Helpers: helpers[:min(len(helpers), 2)], Target: target}}
}

// OnEvictChecked records the result of a CheckEvict: alive reports whether a helper reached the
// target. If none did, the zone's reader evicts it.
func (p *Plane) OnEvictChecked(now time.Time, id membership.Identity, alive bool) []Action {
	delete(p.evicting, id)
	if alive || !p.dead[id] || !p.IsLeader() || !p.Members().Live(id) {
		return nil
	}
	return p.appendRecord(now, logstore.KindEvict, membership.Evict{ID: id, By: p.self})
}

// joinActions appends this node's join record until it appears in the log, and again before it
// expires.
func (p *Plane) joinActions(now time.Time) []Action {
	if p.ownMember == nil || p.draining || p.Members().Gone(p.self) {
		return nil
	}
	wait := appendRetryDelay
	if m, ok := p.Members().Member(p.self.Node); ok && m.Identity == p.self && equalExceptJoinedAt(*p.ownMember, m) {
		wait = p.cfg.Retention / rejoinDivisor
		wait += time.Duration(p.nodeJitter() * float64(wait) / 2)
	}
	if !p.joinWrittenAt.IsZero() && now.Sub(p.joinWrittenAt) < wait {
		return nil
	}
	p.joinWrittenAt = now
	return p.appendRecord(now, logstore.KindJoin, membership.Join{Member: *p.ownMember})
}

// snapshotActions appends a snapshot of the configuration well before its records expire. Only
// readers of zones do so. A delay per node usually lets one of them write before the others;
// two snapshots are harmless.
func (p *Plane) snapshotActions(now time.Time) []Action {
	rule := policy.DefaultSnapshotRule(p.cfg.Retention)
	if !p.IsLeader() || !p.Complete() || p.Policy().Version() == 0 || !p.replica.SnapshotDue(&rule, now, p.head.oldest) {
		p.snapshotDueAt = time.Time{}
		return nil
	}
	if p.snapshotDueAt.IsZero() {
		p.snapshotDueAt = now
	}
	if now.Sub(p.snapshotDueAt) < time.Duration(p.nodeJitter()*float64(rule.Every)/4) {
		return nil
	}
	p.snapshotDueAt = now.Add(appendRetryDelay)
	rec, err := p.Policy().SnapshotRecord(p.recordID(), now)
	if err != nil {
		return nil
	}
	return []Action{AppendRecord{Record: rec}}
}

// LeaveRecord returns the leave record of this node, its last record at a planned stop.
func (p *Plane) LeaveRecord(now time.Time) logstore.Record {
	return p.record(now, logstore.KindLeave, membership.Leave{ID: p.self})
}

func (p *Plane) appendRecord(now time.Time, kind logstore.Kind, body any) []Action {
	return []Action{AppendRecord{Record: p.record(now, kind, body)}}
}

func (p *Plane) record(now time.Time, kind logstore.Kind, body any) logstore.Record {
	// Marshaling cannot fail: membership records contain only strings, numbers and times.
	raw, _ := json.Marshal(body)
	return logstore.Record{ID: p.recordID(), Kind: kind, At: now, Body: raw}
}

// recordID returns a record ID of 128 random bits.
func (p *Plane) recordID() string { return fmt.Sprintf("%016x%016x", p.rng.Uint64(), p.rng.Uint64()) }
