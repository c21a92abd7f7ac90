package control

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

const (
	// maxResponseRecords and maxResponseBytes limit the records in one exchange response.
	maxResponseRecords = 512
	maxResponseBytes   = 256 << 10
	// failedPeerBackoff is how long no request is sent to a peer after a failed one.
	failedPeerBackoff = 3 * time.Second
)

// leaderHeartbeat is the newest heartbeat of the zone's reader that this node has sent or
// received.
type leaderHeartbeat struct {
	hb   membership.Heartbeat
	addr string
	seq  uint64 // 0 before the first heartbeat
}

// NextExchange returns the peer for the next exchange request; false if there is none. The
// parent in the zone's tree has priority, followed by the zone's reader, its standby (see
// standbyReader), other nodes of the zone, other zones and the seeds.
func (p *Plane) NextExchange(now time.Time) (Peer, bool) {
	for _, peer := range p.candidates(now) {
		if peer.Addr == "" || peer.Addr == p.addr || peer.ID.Node == p.self.Node {
			continue
		}
		if at, ok := p.failedAt[peer.Addr]; ok && now.Sub(at) < failedPeerBackoff {
			continue
		}
		return peer, true
	}
	return Peer{}, false
}

// candidates returns the peers for the next exchange request, in order of preference.
func (p *Plane) candidates(now time.Time) []Peer {
	if p.peerAhead.Addr != "" {
		return []Peer{p.peerAhead}
	}
	leader, hasLeader := p.election.Leader()
	if hasLeader && leader == p.self {
		if !p.headStale(now) {
			return nil
		}
		return p.staleReaderTargets(now)
	}
	var out []Peer
	live := p.detector.Live(now)
	if parent, ok := membership.Parent(p.self, leader, live); hasLeader && ok {
		out = append(out, p.peer(parent))
	}
	if hasLeader {
		out = append(out, p.peer(leader), p.peer(p.standbyReader(now)))
	}
	preferred := len(out)
	for _, i := range p.rng.Perm(len(live)) {
		out = append(out, p.peer(live[i]))
	}
	out = append(out, p.otherZonePeers(now)...)
	if !hasLeader {
		// Without a leader, the other nodes of the zone may lack the same state as this node,
		// so other zones are tried equally early.
		p.rng.Shuffle(len(out)-preferred, func(i, j int) { out[preferred+i], out[preferred+j] = out[preferred+j], out[preferred+i] })
	}
	return append(out, p.seedPeers()...)
}

// staleReaderTargets returns the peers for the exchange requests of a zone's reader that cannot
// read the log itself.
func (p *Plane) staleReaderTargets(now time.Time) []Peer {
	out := p.otherZonePeers(now)
	if p.rng.IntN(len(out)+1) == 0 {
		out = append(out, p.peer(p.standbyReader(now)))
	}
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return append(out, p.seedPeers()...)
}

// peer returns the Peer with the address of id; the address is empty if it is not known.
func (p *Plane) peer(id membership.Identity) Peer {
	if s, ok := p.softMembers[id.Node]; ok && s.member.Identity == id {
		return Peer{ID: id, Addr: s.member.InnerAddr}
	}
	if m, ok := p.Members().Member(id.Node); ok && m.Identity == id {
		return Peer{ID: id, Addr: m.InnerAddr}
	}
	if p.leaderHeartbeat.hb.From == id {
		return Peer{ID: id, Addr: p.leaderHeartbeat.addr}
	}
	return Peer{ID: id}
}

// otherZonePeers returns one random node of each other zone, in random order.
func (p *Plane) otherZonePeers(time.Time) []Peer {
	byZone := map[string]Peer{}
	var zones []string
	members := p.KnownMembers()
	for _, i := range p.rng.Perm(len(members)) {
		m := members[i]
		if m.Region == p.region && m.Zone == p.zone {
			continue
		}
		name := m.Region + "/" + m.Zone
		if _, ok := byZone[name]; !ok {
			byZone[name] = Peer{ID: m.Identity, Addr: m.InnerAddr}
			zones = append(zones, name)
		}
	}
	out := make([]Peer, 0, len(zones))
	for _, z := range zones {
		out = append(out, byZone[z])
	}
	return out
}

func (p *Plane) seedPeers() []Peer {
	var out []Peer
	for _, i := range p.rng.Perm(len(p.seeds)) {
		out = append(out, Peer{Addr: p.seeds[i]})
	}
	return out
}

// NewRequest returns an exchange request. hold is how long the peer may hold it until there are
// updates. A node that has not caught up yet and whose head observation is stale requests an
// immediate response.
func (p *Plane) NewRequest(now time.Time, hold time.Duration) *innerpb.ExchangeRequest {
	if !p.caughtUp && p.headStale(now) {
		hold = 0
	}
	p.sentUpward = p.upwardUpdates
	p.peerAhead = Peer{}
	return &innerpb.ExchangeRequest{
		From:        Ref(p.self),
		Suspects:    p.crashRecordUpdates(now),
		Drains:      p.drainUpdates(now),
		Liveness:    livenessOf(p.detector.Findings(now)),
		SoftMembers: p.softMemberUpdates(now),
		Elected:     p.ownHeartbeat(),
		HoldUs:      hold.Microseconds(),
		RecordsFrom: uint64(p.replica.Next()),
	}
}

// RequestDue reports whether there are updates that the last request did not contain. A request
// that the peer still holds should then be replaced by a new one.
func (p *Plane) RequestDue() bool { return p.upwardUpdates > p.sentUpward || p.peerAhead.Addr != "" }

// OnRequest applies the updates of an exchange request. The caller calls it once per request,
// before it holds the request for the response.
func (p *Plane) OnRequest(now time.Time, req *innerpb.ExchangeRequest) {
	p.applyUpdates(now, req, true)
	if int64(req.GetRecordsFrom()) <= p.replica.Next() || !p.headStale(now) && p.shouldRead(now) {
		return
	}
	// The sender has records that this node lacks and does not currently get from the log, so
	// the next request goes to the sender.
	if peer := p.peer(IdentityOf(req.GetFrom())); peer.Addr != "" && peer.Addr != p.addr {
		p.peerAhead = peer
		p.updates++
	}
}

// sentState describes the content of the last exchange response to a node.
type sentState struct {
	updates    uint64    // value of Plane.updates
	headReadAt time.Time // readAt of the head observation that it contained
}

// ResponseDue reports whether the response to a held exchange request should be sent now: the
// hold time has passed, there is an update, or there is a newer head observation and a minimum
// hold time has passed.
//
// A new head observation ends the hold early, because otherwise the head age would grow by up
// to one exchange at each level of the tree. The zone's reader makes several observations per
// exchange, so its longer minimum hold time determines the rate; the other nodes respond when
// they receive an observation from their parent.
func (p *Plane) ResponseDue(now, received time.Time, req *innerpb.ExchangeRequest) bool {
	heldFor := now.Sub(received)
	lastResponse := p.lastResponses[req.GetFrom().GetNodeId()]
	switch {
	case heldFor >= time.Duration(req.GetHoldUs())*time.Microsecond:
		return true
	case p.replica.Next() > int64(req.GetRecordsFrom()):
		return true
	case lastResponse.updates < p.updates:
		return true
	}
	minHold := p.cfg.Exchange / 2
	if p.IsLeader() {
		minHold = p.cfg.Exchange * 3 / 5
	}
	return heldFor >= minHold && p.head.known && p.head.readAt.After(lastResponse.headReadAt)
}

// NewResponse returns the response to an exchange request that arrived at received.
func (p *Plane) NewResponse(now, received time.Time, req *innerpb.ExchangeRequest) *innerpb.ExchangeResponse {
	p.lastResponses[req.GetFrom().GetNodeId()] = sentState{updates: p.updates, headReadAt: p.head.readAt}
	resp := &innerpb.ExchangeResponse{
		From:        Ref(p.self),
		Head:        p.headOf(now),
		HeldUs:      now.Sub(received).Microseconds(),
		Suspects:    p.crashRecordUpdates(now),
		Drains:      p.drainUpdates(now),
		Liveness:    livenessOf(p.detector.Findings(now)),
		SoftMembers: p.softMemberUpdates(now),
		Elected:     p.leaderRelay(),
		RecordsNext: uint64(p.replica.Next()),
	}
	from := int64(req.GetRecordsFrom())
	if from >= p.replica.Next() {
		return resp
	}
	records := p.recordCache.since(from, maxResponseRecords, maxResponseBytes)
	if len(records) == 0 {
		return resp
	}
	resp.Records = recordsOf(records)
	resp.RecordsNext = uint64(records[len(records)-1].Offset + 1)
	resp.More = int64(resp.RecordsNext) < p.replica.Next()
	return resp
}

// headOf returns the newest head observation for a message; nil if there is none.
func (p *Plane) headOf(now time.Time) *innerpb.LogHead {
	if !p.head.known {
		return nil
	}
	return &innerpb.LogHead{
		NextOffset:   uint64(p.head.next),
		OldestOffset: uint64(p.head.oldest),
		AgeUs:        now.Sub(p.head.readAt).Microseconds(),
		Known:        true,
		Hops:         p.head.hops + 1,
	}
}

// OnResponse applies the response to an exchange request that was sent at sent. It reports
// whether the caller must fetch the complete state of the peer, because the peer's record cache
// no longer contains the records that this node lacks.
func (p *Plane) OnResponse(now, sent time.Time, peer Peer, resp *innerpb.ExchangeResponse) (fetch bool) {
	delete(p.failedAt, peer.Addr)
	p.lastResponseAt = now
	p.applyUpdates(now, resp, false)
	next := int64(resp.GetRecordsNext())
	if len(resp.GetRecords()) == 0 && next > p.replica.Next() {
		fetch = true
	}
	if p.applyRecords(now, resp) && !p.isParent(now, peer) {
		p.upwardUpdates++
	}
	if h := resp.GetHead(); h.GetKnown() {
		p.updateHeadFromResponse(sent, resp)
	}
	return fetch
}

// updateHeadFromResponse applies the head observation of a response. Its readAt must not be later
// than the time at which the log was read, on the local clock. The peer received the request
// after sent. When it responded, it had held the request for held_us, and its observation was
// age_us old. The log was therefore read held_us minus age_us after the peer received the request,
// and so not before sent plus that difference.
func (p *Plane) updateHeadFromResponse(sent time.Time, resp *innerpb.ExchangeResponse) {
	h := resp.GetHead()
	since := time.Duration(resp.GetHeldUs()-h.GetAgeUs()) * time.Microsecond
	if p.replica.Next() >= int64(h.GetNextOffset()) {
		p.caughtUp = true
		p.hasState = true
	}
	p.updateHead(logHead{
		known: true, readAt: sent.Add(since), hops: h.GetHops(),
		next: int64(h.GetNextOffset()), oldest: int64(h.GetOldestOffset()),
	})
}

// isParent reports whether peer is this node's parent in the tree of the zone. Updates received
// from the parent need not be sent to it.
func (p *Plane) isParent(now time.Time, peer Peer) bool {
	leader, _ := p.election.Leader()
	parent, ok := membership.Parent(p.self, leader, p.detector.Live(now))
	return ok && parent == peer.ID
}

// applyRecords folds the records of a response and reports whether any of them was new.
func (p *Plane) applyRecords(now time.Time, resp *innerpb.ExchangeResponse) bool {
	if len(resp.GetRecords()) == 0 {
		return false
	}
	before := p.replica.Next()
	page := logstore.Page{
		Entries: entriesOf(resp.GetRecords()),
		Next:    int64(resp.GetRecordsNext()),
		Head:    int64(resp.GetHead().GetNextOffset()),
		Oldest:  int64(resp.GetHead().GetOldestOffset()),
	}
	p.applyPage(now, page)
	return p.replica.Next() > before
}

// OnRequestFailed records that an exchange request to a peer failed.
func (p *Plane) OnRequestFailed(now time.Time, peer Peer) { p.failedAt[peer.Addr] = now }

// ReaderTargets returns the peers to which a zone's reader sends additional requests for an
// immediate response: one node of each other zone if there are updates, and once per exchange a
// random node of its own zone. Without the latter, two readers elected at the same time would
// not receive each other's heartbeats, since a reader has no parent to send requests to.
func (p *Plane) ReaderTargets(now time.Time) []Peer {
	if !p.IsLeader() || now.Sub(p.zonesRequestedAt) < p.cfg.Exchange/2 {
		return nil
	}
	var out []Peer
	if now.Sub(p.ownZoneRequestedAt) >= p.cfg.Exchange {
		p.ownZoneRequestedAt = now
		out = append(out, p.randomZonePeer(now)...)
	}
	if p.upwardUpdates != p.sentToZones {
		p.zonesRequestedAt = now
		p.sentToZones = p.upwardUpdates
		out = append(out, p.otherZonePeers(now)...)
	}
	return slices.DeleteFunc(out, func(peer Peer) bool {
		at, ok := p.failedAt[peer.Addr]
		return peer.Addr == "" || ok && now.Sub(at) < failedPeerBackoff
	})
}

// randomZonePeer returns a random live member of the zone, if there is one.
func (p *Plane) randomZonePeer(now time.Time) []Peer {
	live := slices.DeleteFunc(p.detector.Live(now), func(id membership.Identity) bool { return id == p.self })
	if len(live) == 0 {
		return nil
	}
	return []Peer{p.peer(live[p.rng.IntN(len(live))])}
}
