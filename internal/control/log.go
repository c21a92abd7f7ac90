package control

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

const (
	// feedEntries and feedBytes bound the records kept for others: about a
	// quarter of an hour of 13,000 changes a day, and a burst besides.
	feedEntries = 4096
	feedBytes   = 2 << 20
)

// feed keeps the newest records for those that ask.
type feed struct {
	from    int64
	entries []logstore.Entry
	bytes   int
}

func (f *feed) add(entries []logstore.Entry, from, next int64) {
	if from != f.from+int64(len(f.entries)) {
		*f = feed{from: from}
	}
	for _, e := range entries {
		if e.Offset < from || e.Offset >= next {
			continue
		}
		f.entries = append(f.entries, e)
		f.bytes += recordSize(e)
	}
	drop := 0
	for len(f.entries)-drop > feedEntries || f.bytes > feedBytes {
		f.bytes -= recordSize(f.entries[drop])
		drop++
	}
	f.entries = f.entries[drop:]
	f.from += int64(drop)
}

// since returns the records from an offset on, at most max and at least one
// if any, in at most about bytes.
func (f *feed) since(from int64, max, bytes int) []logstore.Entry {
	if from < f.from || from-f.from >= int64(len(f.entries)) {
		return nil
	}
	out := f.entries[from-f.from:]
	size := 0
	for i := range out {
		size += recordSize(out[i])
		if i > 0 && (i >= max || size > bytes) {
			return out[:i]
		}
	}
	return out
}

func recordSize(e logstore.Entry) int { return len(e.Record.Body) + len(e.Record.ID) + 48 }

// ReadFrom returns the offset to read the log from, and whether this node
// should read it at all now.
func (p *Plane) ReadFrom(now time.Time) (from int64, read bool) {
	from = min(p.replica.Next(), p.replica.Strict())
	return from, p.reads(now)
}

// reads decides who reads the log: the zone's reader and a stand-by, whoever
// has not seen all of it, and one whom nobody answers.
func (p *Plane) reads(now time.Time) bool {
	leader, ok := p.election.Leader()
	if !ok || leader == p.self || p.standBy(now) == p.self {
		return true
	}
	if !p.Whole() {
		return true
	}
	wait := p.cfg.FallBack + time.Duration(p.share()*float64(p.cfg.FallBack))
	return now.Sub(p.answered) > wait
}

// standBy is the first live member of the zone after its reader; it reads too,
// so that the reader's end leaves no gap in the proofs.
func (p *Plane) standBy(now time.Time) membership.Identity {
	leader, _ := p.election.Leader()
	for _, id := range p.detector.Live(now) {
		if id != leader && p.joined(id) {
			return id
		}
	}
	return membership.Identity{}
}

func (p *Plane) joined(id membership.Identity) bool {
	if p.Members().Live(id) {
		return true
	}
	s, ok := p.soft[id.Node]
	return ok && s.member.Identity == id
}

// OnPage takes a page of the log; sent is when its read was sent.
func (p *Plane) OnPage(now, sent time.Time, page logstore.Page) {
	p.failing = false
	p.take(now, page)
	if page.Next >= page.Head {
		p.caught = true
		p.settled = true
	}
	p.proof(logHead{known: true, t0: sent, next: page.Head, oldest: page.Oldest})
}

// OnReadFailed says that a read of the log failed. What was read last may not
// have reached other zones, so their readers are told how far this one is.
func (p *Plane) OnReadFailed() {
	if !p.failing {
		p.fromBelow++
	}
	p.failing = true
}

// OnTruncated says that the log has dropped what is below oldest.
func (p *Plane) OnTruncated(oldest int64) {
	if p.replica.Truncated(oldest) && p.follower != nil {
		p.follower.Truncated()
	}
}

// take folds a page of the log, whoever read it.
func (p *Plane) take(now time.Time, page logstore.Page) {
	if len(page.Entries) == 0 {
		return
	}
	before, members := p.replica.Next(), p.Members()
	seen := p.replica.Take(now, page)
	if next := p.replica.Next(); next > before {
		p.feed.add(page.Entries, before, next)
		p.updates++
	}
	if len(seen) > 0 && p.follower != nil {
		p.follower.Applied(now, seen)
	}
	if p.Members() != members {
		p.membersChanged(now)
	}
}

// proof keeps the newest proof of the log's head.
func (p *Plane) proof(h logHead) {
	if p.head.known && !h.t0.After(p.head.t0) {
		return
	}
	p.head = h
	if p.follower != nil {
		p.follower.ObserveHead(h.t0, h.next)
	}
}

// HeadAge is the age of the newest proof of the log's head; false without one.
func (p *Plane) HeadAge(now time.Time) (time.Duration, bool) {
	return now.Sub(p.head.t0), p.head.known
}

func (p *Plane) stale(now time.Time) bool {
	return p.failing && p.IsLeader() || !p.head.known || now.Sub(p.head.t0) > p.cfg.Stale
}

// membersChanged brings up to date what rests on who is a member.
func (p *Plane) membersChanged(now time.Time) {
	v := p.Members()
	for node, s := range p.soft {
		if v.Live(s.member.Identity) || v.Gone(s.member.Identity) {
			delete(p.soft, node)
		}
	}
	if v.Live(p.self) {
		p.member = true
	}
	p.setPeers()
	p.dirty = true
	_ = now
}

func (p *Plane) setPeers() {
	var ids []membership.Identity
	var peers []membership.Peer
	for _, m := range p.Members().InZone(p.region, p.zone) {
		if s, ok := p.soft[m.Node]; ok && s.member.Incarnation > m.Incarnation {
			continue
		}
		ids = append(ids, m.Identity)
		peers = append(peers, membership.Peer{ID: m.Identity, Started: m.JoinedAt})
	}
	for _, s := range p.soft {
		if s.member.Region == p.region && s.member.Zone == p.zone {
			ids = append(ids, s.member.Identity)
			peers = append(peers, membership.Peer{ID: s.member.Identity, Started: s.member.JoinedAt})
		}
	}
	p.zoneIDs = ids
	leader, _ := p.election.Leader()
	p.detector.SetPeers(ids, leader)
	p.election.SetPeers(peers)
}

// Evicted reports whether the log says that this process is gone though it
// never said so: it has to stop and start again as a new incarnation.
func (p *Plane) Evicted() bool {
	return !p.draining && p.Members().Gone(p.self)
}
