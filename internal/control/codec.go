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

func age(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// Ref names a node to its peers, as briefly as the protocol allows.
func Ref(id membership.Identity) *innerpb.NodeRef {
	return &innerpb.NodeRef{NodeId: id.Node, Incarnation: strconv.FormatUint(id.Incarnation, 10)}
}

// IdentityOf returns whom a reference names.
func IdentityOf(r *innerpb.NodeRef) membership.Identity {
	return identityOf(r.GetNodeId(), r.GetIncarnation())
}

func identityOf(node, incarnation string) membership.Identity {
	n, _ := strconv.ParseUint(incarnation, 10, 64)
	return membership.Identity{Node: node, Incarnation: n}
}

// OnCrashRecords takes suspects that a peer spread.
func (p *Plane) OnCrashRecords(now time.Time, list []*innerpb.Suspect) {
	for _, s := range list {
		p.incoming = append(p.incoming, inner.Suspect(now, s))
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
			Age:      age(l.GetAgeUs()),
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

// ownBeat is the heartbeat that a question carries: only a zone's reader tells
// its own, since all others hear of it from above.
func (p *Plane) ownBeat() *innerpb.Relay {
	if !p.IsLeader() {
		return nil
	}
	return p.elected()
}

// elected names the zone's reader by the newest heartbeat known.
func (p *Plane) elected() *innerpb.Relay {
	if p.beat.seq == 0 {
		return nil
	}
	ref := Ref(p.beat.hb.From)
	ref.Zone = p.zone
	ref.InnerAddr = p.beat.addr
	return &innerpb.Relay{Node: ref, Rank: p.beat.hb.Rank, Sequence: p.beat.seq}
}

// takeElected hears a heartbeat that came by way of others. Its number tells
// an old one that still goes round from a new one: otherwise a dead reader
// would be heard of for as long as anyone repeats it.
func (p *Plane) takeElected(now time.Time, r *innerpb.Relay) {
	if r == nil || r.GetNode().GetZone() != p.zone {
		return
	}
	hb := membership.Heartbeat{From: IdentityOf(r.GetNode()), Rank: r.GetRank()}
	if hb.From == p.self || r.GetSequence() <= p.beaten[hb.From] {
		return
	}
	p.beaten[hb.From] = r.GetSequence()
	before, led := p.election.Leader()
	p.election.OnHeartbeat(now, hb)
	after, _ := p.election.Leader()
	if after != hb.From {
		return
	}
	p.beat = beat{hb: hb, addr: r.GetNode().GetInnerAddr(), seq: r.GetSequence()}
	if !led || before != after {
		p.leaderChanged()
	}
}

func (p *Plane) leaderChanged() {
	p.setPeers()
	p.updates++
	p.fromBelow++
}
