package quota

import (
	"sync"
	"time"
)

// account is the state of one workspace's quota on this node.
type account struct {
	mu        sync.Mutex
	limit     Limit
	tolerance Tolerance
	// holders is the division of the quota by ring. ring is nil when the division has to be
	// computed again.
	ring    *Ring
	holders []zoneHolders
	bucket  bucket
	// emptyUntil has the holders that reported an empty bucket, each with the time until which no
	// token is requested from it.
	emptyUntil map[string]time.Time
	// exhaustedUntil is the time until which no holder is asked for a token; backoff is the
	// length of the last such period.
	exhaustedUntil time.Time
	backoff        time.Duration
	// lastRetryAt is the time at which the last refused caller was told to retry.
	lastRetryAt time.Time
	// spent and refused count the requests that arrived at this node.
	spent, refused int64
}

// setLimit changes the quota. A changed quota discards the division and the state of the holders,
// and keeps the tokens of the bucket.
func (a *account) setLimit(now time.Time, limit Limit, t Tolerance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == limit && a.tolerance == t {
		return
	}
	a.bucket.refill(now)
	a.limit, a.tolerance = limit, t
	a.ring = nil
	clear(a.emptyUntil)
	a.exhaustedUntil = time.Time{}
}

// refreshLocked divides the quota again after a change of the ring or the limit, and sets this
// node's part.
func (l *Ledger) refreshLocked(now time.Time, a *account, workspace string) {
	ring := l.ring.Load()
	if a.ring == ring {
		return
	}
	a.ring = ring
	a.holders = ring.split(workspace, a.limit, a.tolerance)
	own := part{}
	for i := range a.holders {
		if a.holders[i].zone.name == l.zone && a.holders[i].holds(l.node) {
			own = a.holders[i].perHolder
		}
	}
	a.bucket.setPart(now, own)
}

// candidatesLocked chooses holders that may have a token, those of the own zone first.
// unresponsive reports that at least one holder was excluded because it is marked unresponsive or
// skip returned true for it. u is a random number in [0, 1) that selects the holder to start with.
func (l *Ledger) candidatesLocked(now time.Time, a *account, u float64, skip func(node string) bool) (candidates []Node, unresponsive bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	eligible := func(n Node) bool {
		if n.Name == l.node || now.Before(a.emptyUntil[n.Name]) {
			return false
		}
		if now.Before(l.unresponsiveUntil[n.Name]) || skip(n.Name) {
			unresponsive = true
			return false
		}
		return true
	}
	offset := int(u * (1 << 20))
	for i := range a.holders {
		p := &a.holders[(i+offset)%len(a.holders)]
		if p.zone.name == l.zone {
			candidates = append(p.choose(offset, maxOwnZoneCandidates, eligible), candidates...)
			continue
		}
		candidates = append(candidates, p.choose(offset, maxOtherZoneCandidates, eligible)...)
	}
	return candidates[:min(len(candidates), maxCandidates)], unresponsive
}
