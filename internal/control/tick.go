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
	// rejoinShare is the part of the log's retention after which a member's
	// join is written again, so that it does not expire; as much as half of it
	// comes on top by node, to spread the members.
	rejoinShare = 4
	// maxBeaten bounds the readers of the zone remembered beyond their end.
	maxBeaten = 64
	// appendRetry is how long an append that did not show up is waited for.
	appendRetry = 10 * time.Second
)

// Action is something that a Plane wants done: SendProbe, SendProbeVia,
// CheckEvict or AppendRecord.
type Action interface{ planeAction() }

// SendProbe asks a node whether it lives; OnProbe follows.
type SendProbe struct{ To Peer }

// SendProbeVia asks a helper to probe a target; OnProbeVia follows.
type SendProbeVia struct{ Helper, Target Peer }

// CheckEvict asks nodes of other zones to probe a target that its own zone
// finds dead; OnEvictChecked follows.
type CheckEvict struct {
	Helpers []Peer
	Target  Peer
}

// AppendRecord writes a record to the log. It need not be reported back: what
// does not show up is handed out again.
type AppendRecord struct{ Record logstore.Record }

func (SendProbe) planeAction()    {}
func (SendProbeVia) planeAction() {}
func (CheckEvict) planeAction()   {}
func (AppendRecord) planeAction() {}

// Tick is called a few times in an Exchange.
func (p *Plane) Tick(now time.Time) []Action {
	p.elect(now)
	p.expire(now)
	var out []Action
	if round := now.UnixNano() / int64(p.cfg.Detector.Interval); round != p.round {
		p.round = round
		out = p.probes(now, p.detector.Tick(now))
		out = append(out, p.snapshotTurn(now)...)
		p.checkDead(now)
	}
	return append(out, p.joinTurn(now)...)
}

// elect lets this node claim the reading of the log for its zone. Who is not a
// member yet does not: nobody could ask it.
func (p *Plane) elect(now time.Time) {
	if p.me == nil || p.draining {
		return
	}
	before, led := p.election.Leader()
	hb, due := p.election.Tick(now)
	after, _ := p.election.Leader()
	if due {
		p.beats++
		p.beat = beat{hb: hb, addr: p.addr, seq: p.beats}
	}
	if !led && due || before != after {
		p.leaderChanged()
	}
}

func (p *Plane) expire(now time.Time) {
	for node, s := range p.soft {
		if now.Sub(s.said) >= softFor {
			delete(p.soft, node)
			p.setPeers()
			p.changed(false)
		}
	}
	for id, d := range p.drains {
		if id != p.self && now.Sub(d.began) >= drainFor {
			delete(p.drains, id)
			p.dirty = true
		}
	}
	maps.DeleteFunc(p.failed, func(_ string, at time.Time) bool { return now.Sub(at) >= failedFor })
	// Those that are no members any more may come round only while someone
	// still believes in them, which is long over when this many have led.
	maps.DeleteFunc(p.beaten, func(id membership.Identity, _ uint64) bool {
		return len(p.beaten) > maxBeaten && p.Members().Gone(id)
	})
	if len(p.told) > 2*len(p.zoneIDs)+64 {
		clear(p.told)
	}
}

func (p *Plane) probes(now time.Time, actions []membership.Action) []Action {
	var out []Action
	for _, a := range actions {
		switch a := a.(type) {
		case membership.Probe:
			out = append(out, SendProbe{To: p.peer(a.To)})
		case membership.ProbeVia:
			out = append(out, SendProbeVia{Helper: p.peer(a.Helper), Target: p.peer(a.Target)})
		case membership.EvictDue:
			out = append(out, p.evictTurn(now, a.ID)...)
		}
	}
	return out
}

// OnProbe takes the end of a probe: who answered, or that nobody did.
func (p *Plane) OnProbe(now time.Time, to membership.Identity, from membership.Identity, reached bool) []Action {
	if reached {
		p.detector.OnProbeReply(now, from)
		p.checkDead(now)
		return nil
	}
	out := p.probes(now, p.detector.OnProbeTimeout(now, to))
	p.checkDead(now)
	return out
}

// OnProbeVia takes a helper's report on a target.
func (p *Plane) OnProbeVia(now time.Time, target membership.Identity, reached bool) {
	p.detector.OnIndirect(now, target, reached)
	p.checkDead(now)
}

// checkDead leaves the dead out of routing at once. A node that is cut off
// itself keeps what it thought before: it can't tell.
func (p *Plane) checkDead(now time.Time) {
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
		p.changed(true)
	}
}

// Dead returns the members of the zone that are taken for dead.
func (p *Plane) Dead() map[membership.Identity]bool { return maps.Clone(p.dead) }

// evictTurn guards against a partition inside the zone. Its symptom is that
// many nodes fall silent at once; evicted, they would have to stop although
// they still serve callers on their side. So only few are evicted at a time,
// and each only after nodes of other zones found it silent as well. All others
// are merely left out of routing here, which heals by itself.
func (p *Plane) evictTurn(now time.Time, id membership.Identity) []Action {
	limit := max(1, int(float64(len(p.zoneIDs))*p.cfg.MaxEvictShare))
	if len(p.dead) > limit || p.evicting[id] {
		return nil
	}
	target := p.peer(id)
	if target.Addr == "" {
		return nil
	}
	p.evicting[id] = true
	helpers := p.others(now)
	return []Action{CheckEvict{Helpers: helpers[:min(len(helpers), 2)], Target: target}}
}

// OnEvictChecked takes what other zones found: alive says that one of them
// reached the target.
func (p *Plane) OnEvictChecked(now time.Time, id membership.Identity, alive bool) []Action {
	delete(p.evicting, id)
	if alive || !p.dead[id] || !p.IsLeader() || !p.Members().Live(id) {
		return nil
	}
	return p.appendRecord(now, logstore.KindEvict, membership.Evict{ID: id, By: p.self})
}

// joinTurn writes this node's join until it shows up, and again before the log
// drops it.
func (p *Plane) joinTurn(now time.Time) []Action {
	if p.me == nil || p.draining || p.Members().Gone(p.self) {
		return nil
	}
	wait := appendRetry
	if m, ok := p.Members().Member(p.self.Node); ok && m.Identity == p.self && sameOffer(*p.me, m) {
		wait = p.cfg.Retention / rejoinShare
		wait += time.Duration(p.share() * float64(wait) / 2)
	}
	if !p.joinedAt.IsZero() && now.Sub(p.joinedAt) < wait {
		return nil
	}
	p.joinedAt = now
	return p.appendRecord(now, logstore.KindJoin, membership.Join{Member: *p.me})
}

// snapshotTurn writes the configuration again well before the log drops it.
// The zone's reader does; a wait by node lets the first of all zones do it
// alone, and two doing it are harmless.
func (p *Plane) snapshotTurn(now time.Time) []Action {
	rule := policy.DefaultSnapshotRule(p.cfg.Retention)
	if !p.IsLeader() || !p.Whole() || p.Policy().Version() == 0 || !p.replica.SnapshotDue(&rule, now, p.head.oldest) {
		p.snapDue = time.Time{}
		return nil
	}
	if p.snapDue.IsZero() {
		p.snapDue = now
	}
	if now.Sub(p.snapDue) < time.Duration(p.share()*float64(rule.Every)/4) {
		return nil
	}
	p.snapDue = now.Add(appendRetry)
	rec, err := p.Policy().SnapshotRecord(p.recordID(), now)
	if err != nil {
		return nil
	}
	return []Action{AppendRecord{Record: rec}}
}

// LeaveRecord is the last record of a planned stop.
func (p *Plane) LeaveRecord(now time.Time) logstore.Record {
	return p.record(now, logstore.KindLeave, membership.Leave{ID: p.self})
}

func (p *Plane) appendRecord(now time.Time, kind logstore.Kind, body any) []Action {
	return []Action{AppendRecord{Record: p.record(now, kind, body)}}
}

func (p *Plane) record(now time.Time, kind logstore.Kind, body any) logstore.Record {
	// Membership records hold only strings, numbers and times: they marshal.
	raw, _ := json.Marshal(body)
	return logstore.Record{ID: p.recordID(), Kind: kind, At: now, Body: raw}
}

// recordID names a record by 128 random bits.
func (p *Plane) recordID() string { return fmt.Sprintf("%016x%016x", p.rng.Uint64(), p.rng.Uint64()) }
