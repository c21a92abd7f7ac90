package control

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
)

const (
	// maxCachedRecords and maxCachedBytes limit the records that are kept for peers. They hold
	// the records of about a quarter of an hour at 13,000 changes per day (135 changes), and a
	// burst.
	maxCachedRecords = 4096
	maxCachedBytes   = 2 << 20
)

// recordCache holds the newest contiguous records, to be sent to peers that request them.
type recordCache struct {
	from    int64 // offset of the first entry
	entries []logstore.Entry
	bytes   int
}

// add appends the entries with offsets from from up to next. If they leave a gap after the
// cached ones, the cache is cleared first.
func (c *recordCache) add(entries []logstore.Entry, from, next int64) {
	if from != c.from+int64(len(c.entries)) {
		*c = recordCache{from: from}
	}
	for _, e := range entries {
		if e.Offset < from || e.Offset >= next {
			continue
		}
		c.entries = append(c.entries, e)
		c.bytes += recordSize(e)
	}
	drop := 0
	for len(c.entries)-drop > maxCachedRecords || c.bytes > maxCachedBytes {
		c.bytes -= recordSize(c.entries[drop])
		drop++
	}
	c.entries = c.entries[drop:]
	c.from += int64(drop)
}

// since returns at most max cached records from an offset on, limited to about the given number
// of bytes. It returns at least one record if the cache has any; nil if from is not cached.
func (c *recordCache) since(from int64, max, bytes int) []logstore.Entry {
	if from < c.from || from-c.from >= int64(len(c.entries)) {
		return nil
	}
	out := c.entries[from-c.from:]
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

// ReadFrom returns the offset from which to read the log, and whether this node should read it
// now.
func (p *Plane) ReadFrom(now time.Time) (from int64, read bool) {
	from = min(p.replica.Next(), p.replica.NextContiguous())
	return from, p.shouldRead(now)
}

// shouldRead reports whether this node reads the log. The zone's reader and its standby do, as
// does every node that has not seen every record, has no leader, or has received no response
// to its exchanges for the fallback time.
func (p *Plane) shouldRead(now time.Time) bool {
	leader, ok := p.election.Leader()
	if !ok || leader == p.self || p.standbyReader(now) == p.self {
		return true
	}
	if !p.Complete() {
		return true
	}
	wait := p.cfg.FallBack + time.Duration(p.nodeJitter()*float64(p.cfg.FallBack))
	return now.Sub(p.lastResponseAt) > wait
}

// standbyReader returns the first live member of the zone other than its reader. The standby
// reads the log as well, so that the zone has fresh head observations when the reader fails.
func (p *Plane) standbyReader(now time.Time) membership.Identity {
	leader, _ := p.election.Leader()
	for _, id := range p.detector.Live(now) {
		if id != leader && p.isMember(id) {
			return id
		}
	}
	return membership.Identity{}
}

// isMember reports whether id is a live member of the log or a soft member.
func (p *Plane) isMember(id membership.Identity) bool {
	if p.Members().Live(id) {
		return true
	}
	s, ok := p.softMembers[id.Node]
	return ok && s.member.Identity == id
}

// OnPage applies a page of the log; sent is the local time at which its read was sent.
func (p *Plane) OnPage(now, sent time.Time, page logstore.Page) {
	p.readFailing = false
	p.applyPage(now, page)
	if page.Next >= page.Head {
		p.caughtUp = true
		p.hasState = true
	}
	p.updateHead(logHead{known: true, readAt: sent, next: page.Head, oldest: page.Oldest})
}

// OnReadFailed records that a read of the log failed. The records read last may not have reached
// other zones. If this node is its zone's reader, the update counted here makes it send a request
// to each other zone, and the offset in the request shows that this node has newer records.
func (p *Plane) OnReadFailed() {
	if !p.readFailing {
		p.upwardUpdates++
	}
	p.readFailing = true
}

// OnTruncated records that the log's entries below oldest have expired.
func (p *Plane) OnTruncated(oldest int64) {
	if p.replica.Truncated(oldest) && p.follower != nil {
		p.follower.Truncated()
	}
}

// applyPage folds a page that this node or a peer has read from the log.
func (p *Plane) applyPage(now time.Time, page logstore.Page) {
	if len(page.Entries) == 0 {
		return
	}
	before, members := p.replica.Next(), p.Members()
	followerEntries := p.replica.Take(now, page)
	if next := p.replica.Next(); next > before {
		p.recordCache.add(page.Entries, before, next)
		p.updates++
	}
	if len(followerEntries) > 0 && p.follower != nil {
		p.follower.Applied(now, followerEntries)
	}
	if p.Members() != members {
		p.membersChanged(now)
	}
}

// updateHead stores h if it is newer than the current observation of the log's head.
func (p *Plane) updateHead(h logHead) {
	if p.head.known && !h.readAt.After(p.head.readAt) {
		return
	}
	p.head = h
	if p.follower != nil {
		p.follower.ObserveHead(h.readAt, h.next)
	}
}

// HeadAge returns the age of the newest observation of the log's head; false if there is none.
func (p *Plane) HeadAge(now time.Time) (time.Duration, bool) {
	return now.Sub(p.head.readAt), p.head.known
}

// headStale reports whether the head age exceeds Stale, or this node is the zone's reader and
// its reads fail.
func (p *Plane) headStale(now time.Time) bool {
	return p.readFailing && p.IsLeader() || !p.head.known || now.Sub(p.head.readAt) > p.cfg.Stale
}

// membersChanged updates the state that depends on the members: soft members that the log now
// lists or has removed, the peers of the zone and the endpoints.
func (p *Plane) membersChanged(now time.Time) {
	v := p.Members()
	for node, s := range p.softMembers {
		if v.Live(s.member.Identity) || v.Gone(s.member.Identity) {
			delete(p.softMembers, node)
		}
	}
	if v.Live(p.self) {
		p.wasMember = true
	}
	p.setPeers()
	p.endpointsDirty = true
	_ = now
}

// setPeers passes the members of the zone, soft members included, to the failure detector and
// the election.
func (p *Plane) setPeers() {
	var ids []membership.Identity
	var peers []membership.Peer
	for _, m := range p.Members().InZone(p.region, p.zone) {
		if s, ok := p.softMembers[m.Node]; ok && s.member.Incarnation > m.Incarnation {
			continue
		}
		ids = append(ids, m.Identity)
		peers = append(peers, membership.Peer{ID: m.Identity, Started: m.JoinedAt})
	}
	for _, s := range p.softMembers {
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

// Evicted reports whether the log has removed this node although it is not draining. The
// process must then stop and start again as a new incarnation.
func (p *Plane) Evicted() bool {
	return !p.draining && p.Members().Gone(p.self)
}
