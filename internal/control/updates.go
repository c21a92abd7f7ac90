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
	// updateTTL is how long exchanges repeat a crash record or drain. It covers several
	// exchanges at each of three levels of the tree.
	updateTTL = 6 * time.Second
	// drainTTL is how long a drain marks a node as draining in routing without a leave record.
	drainTTL = time.Minute
	// softMemberTTL is the time after its last announcement at which a member that is not in
	// the log is removed.
	softMemberTTL = 15 * time.Second
	// maxUpdates limits the length of each list in one message.
	maxUpdates = 64
)

// softMember is a member whose join record is not in the log yet.
type softMember struct {
	member      membership.Member
	json        []byte
	announcedAt time.Time // last announcement by the member itself
}

// drain is the announcement of a node that it takes no new work.
type drain struct {
	startedAt  time.Time
	receivedAt time.Time
}

// crashRecordKey identifies a crash record.
type crashRecordKey struct {
	fingerprint quarantine.Fingerprint
	upstream    string
	incarnation uint64
}

// crashRecordUpdate is a crash record with the time at which it last changed.
type crashRecordUpdate struct {
	record     quarantine.CrashRecord
	receivedAt time.Time
}

// updateMessage contains the fields that exchange requests and responses have in common.
type updateMessage interface {
	GetSuspects() []*innerpb.Suspect
	GetDrains() []*innerpb.Drain
	GetLiveness() []*innerpb.Liveness
	GetSoftMembers() []*innerpb.SoftMember
	GetElected() *innerpb.Relay
}

// applyUpdates applies the updates in a message of a peer; upward reports whether the parent
// must receive them, which is the case for requests.
func (p *Plane) applyUpdates(now time.Time, m updateMessage, upward bool) {
	p.onLeaderRelay(now, m.GetElected())
	for _, s := range m.GetSuspects() {
		p.receivedCrashRecords = append(p.receivedCrashRecords, inner.CrashRecordFrom(now, s))
	}
	for _, d := range m.GetDrains() {
		p.applyDrain(now, identityOf(d.GetNodeId(), d.GetIncarnation()), fromMicros(d.GetAgeUs()), upward)
	}
	for _, s := range m.GetSoftMembers() {
		p.applySoftMember(now, s, upward)
	}
	if findings := findingsOf(m.GetLiveness()); len(findings) > 0 {
		p.detector.OnGossip(now, findings)
		p.updateDead(now)
	}
}

// StartDrain records that this node takes no new work from now on, and announces it to the
// peers.
func (p *Plane) StartDrain(now time.Time) {
	p.draining = true
	p.applyDrain(now, p.self, 0, true)
}

// applyDrain records that a node takes no new work; elapsed is the time since its drain began.
func (p *Plane) applyDrain(now time.Time, id membership.Identity, elapsed time.Duration, upward bool) {
	if _, ok := p.drains[id]; ok || elapsed >= drainTTL {
		return
	}
	p.drains[id] = drain{startedAt: now.Add(-elapsed), receivedAt: now}
	p.noteUpdate(upward)
}

// drainUpdates returns the drains for the next message.
func (p *Plane) drainUpdates(now time.Time) []*innerpb.Drain {
	var out []*innerpb.Drain
	for _, id := range slices.SortedFunc(maps.Keys(p.drains), membership.Identity.Compare) {
		d := p.drains[id]
		if now.Sub(d.receivedAt) >= updateTTL && id != p.self || len(out) == maxUpdates {
			continue
		}
		ref := Ref(id)
		out = append(out, &innerpb.Drain{NodeId: ref.NodeId, Incarnation: ref.Incarnation, AgeUs: now.Sub(d.startedAt).Microseconds()})
	}
	return out
}

// applySoftMember adds or refreshes a member that is not in the log yet. It replaces an older
// incarnation of the node. It is ignored if the log has already removed its incarnation.
func (p *Plane) applySoftMember(now time.Time, s *innerpb.SoftMember, upward bool) {
	var m membership.Member
	if json.Unmarshal(s.GetJson(), &m) != nil || m.Validate() != nil || m.Node == p.self.Node {
		return
	}
	v := p.Members()
	if old, ok := v.Member(m.Node); v.Gone(m.Identity) || ok && old.Incarnation >= m.Incarnation {
		return
	}
	announcedAt := now.Add(-fromMicros(s.GetAgeUs()))
	known, ok := p.softMembers[m.Node]
	if ok && (known.member.Incarnation > m.Incarnation || !announcedAt.After(known.announcedAt)) || now.Sub(announcedAt) >= softMemberTTL {
		return
	}
	p.softMembers[m.Node] = softMember{member: m, json: s.GetJson(), announcedAt: announcedAt}
	if !ok || known.member != m {
		p.setPeers()
		p.noteUpdate(upward)
	}
}

// softMemberUpdates returns the soft members for the next message, with this node first until
// the log lists it.
func (p *Plane) softMemberUpdates(now time.Time) []*innerpb.SoftMember {
	var out []*innerpb.SoftMember
	if p.ownMember != nil && !p.draining && !p.Members().Live(p.self) {
		if raw, err := json.Marshal(p.ownMember); err == nil {
			out = append(out, &innerpb.SoftMember{Json: raw})
		}
	}
	for _, node := range slices.Sorted(maps.Keys(p.softMembers)) {
		s := p.softMembers[node]
		if len(out) < maxUpdates {
			out = append(out, &innerpb.SoftMember{Json: s.json, AgeUs: now.Sub(s.announcedAt).Microseconds()})
		}
	}
	return out
}

// SetCrashRecords replaces the crash records with those of the guard. It returns the new and
// changed ones, which the caller sends to the peers by gossip without delay.
func (p *Plane) SetCrashRecords(now time.Time, known []quarantine.CrashRecord) []quarantine.CrashRecord {
	var fresh []quarantine.CrashRecord
	seen := make(map[crashRecordKey]bool, len(known))
	for _, s := range known {
		k := crashRecordKey{s.Fingerprint, s.Upstream, s.Incarnation}
		seen[k] = true
		if old, ok := p.crashRecords[k]; ok && old.record.Cleared == s.Cleared && old.record.Alone == s.Alone {
			continue
		}
		p.crashRecords[k] = crashRecordUpdate{record: s, receivedAt: now}
		fresh = append(fresh, s)
	}
	maps.DeleteFunc(p.crashRecords, func(k crashRecordKey, _ crashRecordUpdate) bool { return !seen[k] })
	if len(fresh) > 0 {
		p.noteUpdate(true)
	}
	return fresh
}

// TakeCrashRecords returns the crash records received from peers since the last call, for the
// guard.
func (p *Plane) TakeCrashRecords() []quarantine.CrashRecord {
	received := p.receivedCrashRecords
	p.receivedCrashRecords = nil
	return received
}

// crashRecordUpdates returns the crash records for the next message.
func (p *Plane) crashRecordUpdates(now time.Time) []*innerpb.Suspect {
	var out []*innerpb.Suspect
	for _, n := range p.crashRecords {
		if now.Sub(n.receivedAt) < updateTTL && len(out) < maxUpdates {
			out = append(out, inner.CrashRecordMessage(now, n.record))
		}
	}
	return out
}

// ServicePeers returns the other guards of this node's service in its zone.
func (p *Plane) ServicePeers() []Peer {
	if p.ownMember == nil {
		return nil
	}
	var out []Peer
	for _, m := range p.KnownMembers() {
		if m.Service == p.ownMember.Service && m.Region == p.region && m.Zone == p.zone && m.Node != p.self.Node {
			out = append(out, Peer{ID: m.Identity, Addr: m.InnerAddr})
		}
	}
	return out
}

// KnownMembers returns the members in the log and those that are not in it yet: peers that have
// announced themselves, and this node once SetMember has set its record. Calls are routed to all of
// them, so they are also shown to operators.
func (p *Plane) KnownMembers() []membership.Member {
	var out []membership.Member
	for _, m := range p.Members().Members() {
		if s, ok := p.softMembers[m.Node]; !ok || s.member.Incarnation <= m.Incarnation {
			out = append(out, m)
		}
	}
	for _, node := range slices.Sorted(maps.Keys(p.softMembers)) {
		out = append(out, p.softMembers[node].member)
	}
	if p.ownMember != nil && !p.draining && !p.Members().Live(p.self) && !p.Members().Gone(p.self) {
		out = slices.DeleteFunc(out, func(m membership.Member) bool { return m.Node == p.self.Node })
		out = append(out, *p.ownMember)
	}
	return out
}

// Endpoints returns the endpoints of the known members that serve a service. Dead members are
// left out; those that have announced a drain are marked as draining.
func (p *Plane) Endpoints() []routing.Endpoint {
	var out []routing.Endpoint
	for _, m := range p.KnownMembers() {
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

// Live returns the known members that are neither dead nor draining, in order of identity.
// Members of other zones are live as long as the log lists them.
func (p *Plane) Live() []membership.Identity {
	var out []membership.Identity
	for _, m := range p.KnownMembers() {
		if _, leaving := p.drains[m.Identity]; !leaving && !p.dead[m.Identity] {
			out = append(out, m.Identity)
		}
	}
	slices.SortFunc(out, membership.Identity.Compare)
	return out
}
