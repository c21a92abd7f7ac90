package control

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// repeatFor is how long a suspect or drain is repeated in exchanges; it
	// covers several exchanges at each of three levels.
	repeatFor = 6 * time.Second
	// drainFor is how long a drain keeps a node out of routing without a
	// leave record.
	drainFor = time.Minute
	// softFor is the age at which a member drops out that the log does not
	// know and that has said nothing.
	softFor = 15 * time.Second
	// maxUpdates bounds each list of one message.
	maxUpdates = 64
)

// softMember is a member whose join is not in the log yet.
type softMember struct {
	member membership.Member
	json   []byte
	said   time.Time // by the member itself
}

// drain is a node that said that it is leaving.
type drain struct {
	began time.Time
	heard time.Time
}

// suspectKey names one record of suspicion.
type suspectKey struct {
	fingerprint quarantine.Fingerprint
	upstream    string
	incarnation uint64
}

type suspectUpdate struct {
	suspect quarantine.CrashRecord
	heard   time.Time
}

// updateBearer is what questions and answers have in common.
type updateBearer interface {
	GetSuspects() []*innerpb.Suspect
	GetDrains() []*innerpb.Drain
	GetLiveness() []*innerpb.Liveness
	GetSoftMembers() []*innerpb.SoftMember
	GetElected() *innerpb.Relay
}

// takeUpdates takes over what a peer knows; up says that it came from below.
func (p *Plane) takeUpdates(now time.Time, m updateBearer, up bool) {
	p.takeElected(now, m.GetElected())
	for _, s := range m.GetSuspects() {
		p.incoming = append(p.incoming, inner.Suspect(now, s))
	}
	for _, d := range m.GetDrains() {
		p.takeDrain(now, identityOf(d.GetNodeId(), d.GetIncarnation()), age(d.GetAgeUs()), up)
	}
	for _, s := range m.GetSoftMembers() {
		p.takeSoft(now, s, up)
	}
	if findings := findingsOf(m.GetLiveness()); len(findings) > 0 {
		p.detector.OnGossip(now, findings)
		p.checkDead(now)
	}
}

// StartDrain says that this node takes no new work.
func (p *Plane) StartDrain(now time.Time) {
	p.draining = true
	p.takeDrain(now, p.self, 0, true)
}

func (p *Plane) takeDrain(now time.Time, id membership.Identity, since time.Duration, up bool) {
	if _, ok := p.drains[id]; ok || since >= drainFor {
		return
	}
	p.drains[id] = drain{began: now.Add(-since), heard: now}
	p.changed(up)
}

func (p *Plane) drainUpdates(now time.Time) []*innerpb.Drain {
	var out []*innerpb.Drain
	for _, id := range slices.SortedFunc(maps.Keys(p.drains), membership.Identity.Compare) {
		d := p.drains[id]
		if now.Sub(d.heard) >= repeatFor && id != p.self || len(out) == maxUpdates {
			continue
		}
		ref := Ref(id)
		out = append(out, &innerpb.Drain{NodeId: ref.NodeId, Incarnation: ref.Incarnation, AgeUs: now.Sub(d.began).Microseconds()})
	}
	return out
}

// takeSoft takes a member that the log does not know. An older life of the
// node gives way; one that the log says has ended is not taken back.
func (p *Plane) takeSoft(now time.Time, s *innerpb.SoftMember, up bool) {
	var m membership.Member
	if json.Unmarshal(s.GetJson(), &m) != nil || m.Node == "" || m.Node == p.self.Node {
		return
	}
	v := p.Members()
	if old, ok := v.Member(m.Node); v.Gone(m.Identity) || ok && old.Incarnation >= m.Incarnation {
		return
	}
	said := now.Add(-age(s.GetAgeUs()))
	known, ok := p.soft[m.Node]
	if ok && (known.member.Incarnation > m.Incarnation || !said.After(known.said)) || now.Sub(said) >= softFor {
		return
	}
	p.soft[m.Node] = softMember{member: m, json: s.GetJson(), said: said}
	if !ok || known.member != m {
		p.setPeers()
		p.changed(up)
	}
}

func (p *Plane) softUpdates(now time.Time) []*innerpb.SoftMember {
	var out []*innerpb.SoftMember
	if p.me != nil && !p.draining && !p.Members().Live(p.self) {
		if raw, err := json.Marshal(p.me); err == nil {
			out = append(out, &innerpb.SoftMember{Json: raw})
		}
	}
	for _, node := range slices.Sorted(maps.Keys(p.soft)) {
		s := p.soft[node]
		if len(out) < maxUpdates {
			out = append(out, &innerpb.SoftMember{Json: s.json, AgeUs: now.Sub(s.said).Microseconds()})
		}
	}
	return out
}

// SetCrashRecords tells what the guard knows of crashing requests and returns what
// is new, to be spread at once.
func (p *Plane) SetCrashRecords(now time.Time, known []quarantine.CrashRecord) []quarantine.CrashRecord {
	var fresh []quarantine.CrashRecord
	seen := make(map[suspectKey]bool, len(known))
	for _, s := range known {
		k := suspectKey{s.Fingerprint, s.Upstream, s.Incarnation}
		seen[k] = true
		if old, ok := p.suspects[k]; ok && old.suspect.Cleared == s.Cleared && old.suspect.Alone == s.Alone {
			continue
		}
		p.suspects[k] = suspectUpdate{suspect: s, heard: now}
		fresh = append(fresh, s)
	}
	maps.DeleteFunc(p.suspects, func(k suspectKey, _ suspectUpdate) bool { return !seen[k] })
	if len(fresh) > 0 {
		p.changed(true)
	}
	return fresh
}

// TakeCrashRecords returns what peers said of crashing requests since the last
// call, for the guard.
func (p *Plane) TakeCrashRecords() []quarantine.CrashRecord {
	in := p.incoming
	p.incoming = nil
	return in
}

func (p *Plane) suspectUpdates(now time.Time) []*innerpb.Suspect {
	var out []*innerpb.Suspect
	for _, n := range p.suspects {
		if now.Sub(n.heard) < repeatFor && len(out) < maxUpdates {
			out = append(out, inner.SuspectMessage(now, n.suspect))
		}
	}
	return out
}

// ServicePeers returns the other guards of this node's service in its zone.
func (p *Plane) ServicePeers() []Peer {
	if p.me == nil {
		return nil
	}
	var out []Peer
	for _, m := range p.Known() {
		if m.Service == p.me.Service && m.Region == p.region && m.Zone == p.zone && m.Node != p.self.Node {
			out = append(out, Peer{ID: m.Identity, Addr: m.InnerAddr})
		}
	}
	return out
}

// Known returns the members by the log and those that it does not name yet:
// peers that said so themselves, and this node from its announcement on. Calls
// are routed to them, so operators are shown them too.
func (p *Plane) Known() []membership.Member {
	var out []membership.Member
	for _, m := range p.Members().Members() {
		if s, ok := p.soft[m.Node]; !ok || s.member.Incarnation <= m.Incarnation {
			out = append(out, m)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(p.soft)) {
		out = append(out, p.soft[node].member)
	}
	if p.me != nil && !p.draining && !p.Members().Live(p.self) && !p.Members().Gone(p.self) {
		out = slices.DeleteFunc(out, func(m membership.Member) bool { return m.Node == p.self.Node })
		out = append(out, *p.me)
	}
	return out
}

// Endpoints returns what calls can be routed to: neither the dead nor, but as
// draining ones, those that are leaving.
func (p *Plane) Endpoints() []routing.Endpoint {
	var out []routing.Endpoint
	for _, m := range p.Known() {
		if m.Service == "" || p.dead[m.Identity] {
			continue
		}
		e := endpointOf(m)
		_, leaving := p.drains[m.Identity]
		e.Draining = e.Draining || leaving
		out = append(out, e)
	}
	return out
}

// Live returns the members that are neither dead nor leaving, in order. Other
// zones' members are live as long as the log says so.
func (p *Plane) Live() []membership.Identity {
	var out []membership.Identity
	for _, m := range p.Known() {
		if _, leaving := p.drains[m.Identity]; !leaving && !p.dead[m.Identity] {
			out = append(out, m.Identity)
		}
	}
	slices.SortFunc(out, membership.Identity.Compare)
	return out
}
