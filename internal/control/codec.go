package control

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

func fromMicros(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Ref returns the shortest reference to a node that the protocol allows: its name and
// incarnation.
func Ref(id membership.Identity) *innerpb.NodeRef {
	return &innerpb.NodeRef{NodeId: id.Node, Incarnation: strconv.FormatUint(id.Incarnation, 10)}
}

// IdentityOf returns the identity of the node that r refers to.
func IdentityOf(r *innerpb.NodeRef) membership.Identity {
	return identityOf(r.GetNodeId(), r.GetIncarnation())
}

func identityOf(node, incarnation string) membership.Identity {
	n, _ := strconv.ParseUint(incarnation, 10, 64)
	return membership.Identity{Node: node, Incarnation: n}
}

// OnCrashRecords stores crash records that a peer has sent by gossip, until TakeCrashRecords
// returns them.
func (p *Plane) OnCrashRecords(now time.Time, list []*innerpb.Suspect) {
	for _, s := range list {
		p.receivedCrashRecords = append(p.receivedCrashRecords, inner.CrashRecordFrom(now, s))
	}
}

func livenessOf(findings []membership.Finding) []*innerpb.Liveness {
	var out []*innerpb.Liveness
	for _, f := range findings {
		target := Ref(f.Target)
		state := innerpb.LivenessState_LIVENESS_STATE_SUSPECT
		if f.Alive {
			state = innerpb.LivenessState_LIVENESS_STATE_ALIVE
		}
		out = append(out, &innerpb.Liveness{
			NodeId: target.NodeId, Incarnation: target.Incarnation, State: state,
			AgeUs: max(0, f.Age.Microseconds()), Observer: f.Observer.String(),
		})
	}
	return out
}

func findingsOf(list []*innerpb.Liveness) []membership.Finding {
	var out []membership.Finding
	for _, l := range list {
		node, incarnation, _ := strings.Cut(l.GetObserver(), "#")
		out = append(out, membership.Finding{
			Target:   identityOf(l.GetNodeId(), l.GetIncarnation()),
			Observer: identityOf(node, incarnation),
			Age:      fromMicros(l.GetAgeUs()),
			Alive:    l.GetState() == innerpb.LivenessState_LIVENESS_STATE_ALIVE,
		})
	}
	return out
}

func recordsOf(entries []logstore.Entry) []*innerpb.Record {
	out := make([]*innerpb.Record, 0, len(entries))
	for _, e := range entries {
		out = append(out, &innerpb.Record{
			Offset: uint64(e.Offset), AppendId: e.Record.ID, Kind: string(e.Record.Kind),
			LoggedUnixMs: e.Record.At.UnixMilli(), Body: e.Record.Body,
		})
	}
	return out
}

func entriesOf(records []*innerpb.Record) []logstore.Entry {
	out := make([]logstore.Entry, 0, len(records))
	for _, r := range records {
		out = append(out, logstore.Entry{Offset: int64(r.GetOffset()), Record: logstore.Record{
			ID: r.GetAppendId(), Kind: logstore.Kind(r.GetKind()),
			At: time.UnixMilli(r.GetLoggedUnixMs()), Body: r.GetBody(),
		}})
	}
	return out
}

// ownHeartbeat returns the heartbeat that an exchange request contains. Only the zone's reader
// sends one; the other nodes receive heartbeats from their parents, in responses.
func (p *Plane) ownHeartbeat() *innerpb.Relay {
	if !p.IsLeader() {
		return nil
	}
	return p.leaderRelay()
}

// leaderRelay returns the newest known heartbeat of the zone's reader; nil if there is none.
func (p *Plane) leaderRelay() *innerpb.Relay {
	if p.leaderHeartbeat.seq == 0 {
		return nil
	}
	ref := Ref(p.leaderHeartbeat.hb.From)
	ref.Zone = p.zone
	ref.InnerAddr = p.leaderHeartbeat.addr
	return &innerpb.Relay{Node: ref, Rank: p.leaderHeartbeat.hb.Rank, Sequence: p.leaderHeartbeat.seq}
}

// onLeaderRelay applies a heartbeat that a peer has relayed. Its sequence number must be newer
// than the last one received from the same reader. Without this check, nodes that relay an old
// heartbeat to each other would keep a dead reader elected.
func (p *Plane) onLeaderRelay(now time.Time, r *innerpb.Relay) {
	if r == nil || r.GetNode().GetZone() != p.zone {
		return
	}
	hb := membership.Heartbeat{From: IdentityOf(r.GetNode()), Rank: r.GetRank()}
	if hb.From == p.self || r.GetSequence() <= p.receivedSeqs[hb.From] {
		return
	}
	p.receivedSeqs[hb.From] = r.GetSequence()
	before, hadLeader := p.election.Leader()
	p.election.OnHeartbeat(now, hb)
	after, _ := p.election.Leader()
	if after != hb.From {
		return
	}
	p.leaderHeartbeat = leaderHeartbeat{hb: hb, addr: r.GetNode().GetInnerAddr(), seq: r.GetSequence()}
	if !hadLeader || before != after {
		p.leaderChanged()
	}
}

// leaderChanged passes the new leader to the failure detector and counts an update that the
// children and the parent must receive.
func (p *Plane) leaderChanged() {
	p.setPeers()
	p.updates++
	p.upwardUpdates++
}
