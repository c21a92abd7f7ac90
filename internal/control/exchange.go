package control

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

const (
	// answerRecords and answerBytes bound the records of one answer.
	answerRecords = 512
	answerBytes   = 256 << 10
	// failedFor is how long a peer that did not answer is passed over.
	failedFor = 3 * time.Second
)

// beat is the newest heartbeat of the zone's reader that came this way.
type beat struct {
	hb   membership.Heartbeat
	addr string
	seq  uint64
}

// NextExchange returns whom to ask now; false when there is nobody. The parent
// in the zone's tree comes first, then the zone's reader, its stand-by, others
// of the zone, other zones and the seeds.
func (p *Plane) NextExchange(now time.Time) (Peer, bool) {
	for _, peer := range p.candidates(now) {
		if peer.Addr == "" || peer.Addr == p.addr || peer.ID.Node == p.self.Node {
			continue
		}
		if at, ok := p.failed[peer.Addr]; ok && now.Sub(at) < failedFor {
			continue
		}
		return peer, true
	}
	return Peer{}, false
}

func (p *Plane) candidates(now time.Time) []Peer {
	if p.ahead.Addr != "" {
		return []Peer{p.ahead}
	}
	leader, led := p.election.Leader()
	if led && leader == p.self {
		if !p.stale(now) {
			return nil
		}
		return p.strangers(now)
	}
	var out []Peer
	live := p.detector.Live(now)
	if parent, ok := membership.Parent(p.self, leader, live); led && ok {
		out = append(out, p.peer(parent))
	}
	if led {
		out = append(out, p.peer(leader), p.peer(p.standBy(now)))
	}
	known := len(out)
	for _, i := range p.rng.Perm(len(live)) {
		out = append(out, p.peer(live[i]))
	}
	out = append(out, p.others(now)...)
	if !led {
		// The own zone may know as little as this node does.
		p.rng.Shuffle(len(out)-known, func(i, j int) { out[known+i], out[known+j] = out[known+j], out[known+i] })
	}
	return append(out, p.seedPeers()...)
}

// strangers are whom a zone's reader asks while it can't read the log itself.
func (p *Plane) strangers(now time.Time) []Peer {
	out := p.others(now)
	if p.rng.IntN(len(out)+1) == 0 {
		out = append(out, p.peer(p.standBy(now)))
	}
	p.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return append(out, p.seedPeers()...)
}

// peer returns where an identity is reached.
func (p *Plane) peer(id membership.Identity) Peer {
	if s, ok := p.soft[id.Node]; ok && s.member.Identity == id {
		return Peer{ID: id, Addr: s.member.InnerAddr}
	}
	if m, ok := p.Members().Member(id.Node); ok && m.Identity == id {
		return Peer{ID: id, Addr: m.InnerAddr}
	}
	if p.beat.hb.From == id {
		return Peer{ID: id, Addr: p.beat.addr}
	}
	return Peer{ID: id}
}

// others returns the nodes of other zones, one of each zone, in random order.
func (p *Plane) others(time.Time) []Peer {
	byZone := map[string]Peer{}
	var zones []string
	members := p.Known()
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

// NewRequest makes the question of an exchange. hold is how long it may be held for
// updates; a node that was told too little yet asks for an answer at once.
func (p *Plane) NewRequest(now time.Time, hold time.Duration) *innerpb.ExchangeRequest {
	if !p.caught && p.stale(now) {
		hold = 0
	}
	p.sentUp = p.fromBelow
	p.ahead = Peer{}
	return &innerpb.ExchangeRequest{
		From:        Ref(p.self),
		Suspects:    p.suspectUpdates(now),
		Drains:      p.drainUpdates(now),
		Liveness:    livenessOf(p.detector.Findings(now)),
		SoftMembers: p.softUpdates(now),
		Elected:     p.ownBeat(),
		HoldUs:      hold.Microseconds(),
		RecordsFrom: uint64(p.replica.Next()),
	}
}

// RequestDue reports whether there are updates that the asked peer does not have yet:
// a question that is being held should be asked again.
func (p *Plane) RequestDue() bool { return p.fromBelow > p.sentUp || p.ahead.Addr != "" }

// OnRequest takes the updates of a question. It is called once for each, before
// its answer is waited for.
func (p *Plane) OnRequest(now time.Time, q *innerpb.ExchangeRequest) {
	p.takeUpdates(now, q, true)
	if int64(q.GetRecordsFrom()) <= p.replica.Next() || !p.stale(now) && p.reads(now) {
		return
	}
	// The asker has records that did not come here; it is asked for them.
	if peer := p.peer(IdentityOf(q.GetFrom())); peer.Addr != "" && peer.Addr != p.addr {
		p.ahead = peer
		p.updates++
	}
}

// told is what the last answer to a node held.
type told struct {
	updates uint64
	proof   time.Time
}

// ResponseDue reports whether a question should not be held any longer: there
// is an update, or a fresher proof came late in an exchange.
//
// A proof is passed on as it comes, or its age would grow by up to an exchange
// at each level of the tree. The zone's reader has one several times in an
// exchange and keeps the pace; the others follow their parent's.
func (p *Plane) ResponseDue(now, received time.Time, q *innerpb.ExchangeRequest) bool {
	held := now.Sub(received)
	last := p.told[q.GetFrom().GetNodeId()]
	switch {
	case held >= time.Duration(q.GetHoldUs())*time.Microsecond:
		return true
	case p.replica.Next() > int64(q.GetRecordsFrom()):
		return true
	case last.updates < p.updates:
		return true
	}
	least := p.cfg.Exchange / 2
	if p.IsLeader() {
		least = p.cfg.Exchange * 3 / 5
	}
	return held >= least && p.head.known && p.head.t0.After(last.proof)
}

// NewResponse makes the answer to a question that came at received.
func (p *Plane) NewResponse(now, received time.Time, q *innerpb.ExchangeRequest) *innerpb.ExchangeResponse {
	p.told[q.GetFrom().GetNodeId()] = told{updates: p.updates, proof: p.head.t0}
	a := &innerpb.ExchangeResponse{
		From:        Ref(p.self),
		Head:        p.headOf(now),
		HeldUs:      now.Sub(received).Microseconds(),
		Suspects:    p.suspectUpdates(now),
		Drains:      p.drainUpdates(now),
		Liveness:    livenessOf(p.detector.Findings(now)),
		SoftMembers: p.softUpdates(now),
		Elected:     p.elected(),
		RecordsNext: uint64(p.replica.Next()),
	}
	from := int64(q.GetRecordsFrom())
	if from >= p.replica.Next() {
		return a
	}
	records := p.feed.since(from, answerRecords, answerBytes)
	if len(records) == 0 {
		return a
	}
	a.Records = recordsOf(records)
	a.RecordsNext = uint64(records[len(records)-1].Offset + 1)
	a.More = int64(a.RecordsNext) < p.replica.Next()
	return a
}

func (p *Plane) headOf(now time.Time) *innerpb.LogHead {
	if !p.head.known {
		return nil
	}
	return &innerpb.LogHead{
		NextOffset:   uint64(p.head.next),
		OldestOffset: uint64(p.head.oldest),
		AgeUs:        now.Sub(p.head.t0).Microseconds(),
		Known:        true,
		Hops:         p.head.hops + 1,
	}
}

// OnResponse takes the answer to a question that was sent at sent. It reports
// whether the peer's whole state has to be fetched, because the records
// between are no longer kept there.
func (p *Plane) OnResponse(now, sent time.Time, peer Peer, a *innerpb.ExchangeResponse) (fetch bool) {
	delete(p.failed, peer.Addr)
	p.answered = now
	p.takeUpdates(now, a, false)
	next := int64(a.GetRecordsNext())
	if len(a.GetRecords()) == 0 && next > p.replica.Next() {
		fetch = true
	}
	if p.takeRecords(now, a) && !p.above(now, peer) {
		p.fromBelow++
	}
	if h := a.GetHead(); h.GetKnown() {
		p.relayedProof(sent, a)
	}
	return fetch
}

// relayedProof counts a proof from the moment of sending: the peer received
// the question after that, and its read was sent held_us less the age after it
// was received. So the read was not sent before the result.
func (p *Plane) relayedProof(sent time.Time, a *innerpb.ExchangeResponse) {
	h := a.GetHead()
	since := time.Duration(a.GetHeldUs()-h.GetAgeUs()) * time.Microsecond
	if p.replica.Next() >= int64(h.GetNextOffset()) {
		p.caught = true
		p.settled = true
	}
	p.proof(logHead{
		known: true, t0: sent.Add(since), hops: h.GetHops(),
		next: int64(h.GetNextOffset()), oldest: int64(h.GetOldestOffset()),
	})
}

// above reports whether peer is this node's parent in the tree of the zone:
// what comes from there is known there.
func (p *Plane) above(now time.Time, peer Peer) bool {
	leader, _ := p.election.Leader()
	parent, ok := membership.Parent(p.self, leader, p.detector.Live(now))
	return ok && parent == peer.ID
}

// takeRecords reports whether there were new records.
func (p *Plane) takeRecords(now time.Time, a *innerpb.ExchangeResponse) bool {
	if len(a.GetRecords()) == 0 {
		return false
	}
	before := p.replica.Next()
	page := logstore.Page{
		Entries: entriesOf(a.GetRecords()),
		Next:    int64(a.GetRecordsNext()),
		Head:    int64(a.GetHead().GetNextOffset()),
		Oldest:  int64(a.GetHead().GetOldestOffset()),
	}
	p.take(now, page)
	return p.replica.Next() > before
}

// OnRequestFailed notes that a peer did not answer.
func (p *Plane) OnRequestFailed(now time.Time, peer Peer) { p.failed[peer.Addr] = now }

// ReaderTargets returns whom a zone's reader asks besides, for answers at once:
// with updates one node of each other zone, and regularly one of its own zone.
// Two readers that came up at the same time would never hear of each other
// otherwise, since a reader has no parent to ask.
func (p *Plane) ReaderTargets(now time.Time) []Peer {
	if !p.IsLeader() || now.Sub(p.asked) < p.cfg.Exchange/2 {
		return nil
	}
	var out []Peer
	if now.Sub(p.askedOwn) >= p.cfg.Exchange {
		p.askedOwn = now
		out = append(out, p.neighbour(now)...)
	}
	if p.fromBelow != p.crossed {
		p.asked = now
		p.crossed = p.fromBelow
		out = append(out, p.others(now)...)
	}
	return slices.DeleteFunc(out, func(peer Peer) bool {
		at, ok := p.failed[peer.Addr]
		return peer.Addr == "" || ok && now.Sub(at) < failedFor
	})
}

// neighbour returns a random live member of the zone, if there is one.
func (p *Plane) neighbour(now time.Time) []Peer {
	live := slices.DeleteFunc(p.detector.Live(now), func(id membership.Identity) bool { return id == p.self })
	if len(live) == 0 {
		return nil
	}
	return []Peer{p.peer(live[p.rng.IntN(len(live))])}
}
