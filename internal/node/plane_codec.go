package node

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/platform"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

func age(us int64) time.Duration { return time.Duration(us) * time.Microsecond }

// refOf names a node as briefly as the protocol allows.
func refOf(id membership.Identity) *innerpb.NodeRef {
	return &innerpb.NodeRef{NodeId: id.Node, Incarnation: strconv.FormatUint(id.Incarnation, 10)}
}

// Ref names a node to its peers.
func Ref(id membership.Identity) *innerpb.NodeRef { return refOf(id) }

// IdentityOf returns whom a reference names.
func IdentityOf(r *innerpb.NodeRef) membership.Identity {
	return identityOf(r.GetNodeId(), r.GetIncarnation())
}

func identityOf(node, incarnation string) membership.Identity {
	n, _ := strconv.ParseUint(incarnation, 10, 64)
	return membership.Identity{Node: node, Incarnation: n}
}

// SuspectMessage is a record of suspicion as nodes pass it on: clocks differ,
// so its time travels as an age.
func SuspectMessage(now time.Time, s quarantine.Suspect) *innerpb.Suspect {
	return &innerpb.Suspect{
		Fingerprint: uint64(s.Fingerprint),
		Upstream:    s.Upstream,
		Incarnation: s.Incarnation,
		AgeUs:       max(0, now.Sub(s.At).Microseconds()),
		Cleared:     s.Cleared,
		Alone:       s.Alone,
	}
}

func suspectOf(now time.Time, s *innerpb.Suspect) quarantine.Suspect {
	return quarantine.Suspect{
		Fingerprint: quarantine.Fingerprint(s.GetFingerprint()),
		Upstream:    s.GetUpstream(),
		Incarnation: s.GetIncarnation(),
		At:          now.Add(-age(s.GetAgeUs())),
		Cleared:     s.GetCleared(),
		Alone:       s.GetAlone(),
	}
}

// SuspectMessages makes messages of records known at now.
func SuspectMessages(now time.Time, list []quarantine.Suspect) []*innerpb.Suspect {
	var out []*innerpb.Suspect
	for _, s := range list {
		out = append(out, SuspectMessage(now, s))
	}
	return out
}

// Suspects makes records of messages received at now.
func Suspects(now time.Time, list []*innerpb.Suspect) []quarantine.Suspect {
	var out []quarantine.Suspect
	for _, s := range list {
		out = append(out, suspectOf(now, s))
	}
	return out
}

// OnSuspects takes suspects that a peer spread.
func (p *Plane) OnSuspects(now time.Time, list []*innerpb.Suspect) {
	for _, s := range list {
		p.incoming = append(p.incoming, suspectOf(now, s))
	}
}

func livenessOf(findings []membership.Finding) []*innerpb.Liveness {
	var out []*innerpb.Liveness
	for _, f := range findings {
		target := refOf(f.Target)
		state := innerpb.LivenessState_LIVENESS_STATE_SUSPECT
		if f.Alive {
			state = innerpb.LivenessState_LIVENESS_STATE_ALIVE
		}
		out = append(out, &innerpb.Liveness{
			NodeId: target.NodeId, Incarnation: target.Incarnation, State: state,
			AgeUs: max(0, f.Age.Microseconds()), Observer: f.Accuser.String(),
		})
	}
	return out
}

func findingsOf(list []*innerpb.Liveness) []membership.Finding {
	var out []membership.Finding
	for _, l := range list {
		node, incarnation, _ := strings.Cut(l.GetObserver(), "#")
		out = append(out, membership.Finding{
			Target:  identityOf(l.GetNodeId(), l.GetIncarnation()),
			Accuser: identityOf(node, incarnation),
			Age:     age(l.GetAgeUs()),
			Alive:   l.GetState() == innerpb.LivenessState_LIVENESS_STATE_ALIVE,
		})
	}
	return out
}

func recordsOf(entries []platform.Entry) []*innerpb.Record {
	out := make([]*innerpb.Record, 0, len(entries))
	for _, e := range entries {
		out = append(out, &innerpb.Record{
			Offset: uint64(e.Offset), AppendId: e.Record.ID, Kind: string(e.Record.Kind),
			LoggedUnixMs: e.Record.At.UnixMilli(), Body: e.Record.Body,
		})
	}
	return out
}

func entriesOf(records []*innerpb.Record) []platform.Entry {
	out := make([]platform.Entry, 0, len(records))
	for _, r := range records {
		out = append(out, platform.Entry{Offset: int64(r.GetOffset()), Record: platform.Record{
			ID: r.GetAppendId(), Kind: platform.Kind(r.GetKind()),
			At: time.UnixMilli(r.GetLoggedUnixMs()), Body: r.GetBody(),
		}})
	}
	return out
}

// ownBeat is the heartbeat that a question carries: only a zone's reader tells
// its own, since all others hear of it from above.
func (p *Plane) ownBeat() *innerpb.Relay {
	if !p.Leads() {
		return nil
	}
	return p.elected()
}

// elected names the zone's reader by the newest heartbeat known.
func (p *Plane) elected() *innerpb.Relay {
	if p.beat.seq == 0 {
		return nil
	}
	ref := refOf(p.beat.hb.From)
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
	p.news++
	p.upNews++
}
