package quota

import (
	"sync"
	"time"
)

// account is one workspace's quota at this node.
type account struct {
	mu        sync.Mutex
	limit     Limit
	tolerance Tolerance
	// parts is how ring divides the quota; ring is nil where that is to be worked out anew.
	ring   *Ring
	parts  []zoneParts
	bucket bucket
	// empty are holders without a token, and until when.
	empty map[string]time.Time
	// exhausted is until when nobody is asked, backoff for how long that was.
	exhausted time.Time
	backoff   time.Duration
	// returns is when the last refused caller was told to come back.
	returns        time.Time
	spent, refused int64
}

func (a *account) setLimit(now time.Time, limit Limit, t Tolerance) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.limit == limit && a.tolerance == t {
		return
	}
	a.bucket.fill(now)
	a.limit, a.tolerance = limit, t
	a.ring = nil
	clear(a.empty)
	a.exhausted = time.Time{}
}

// refreshLocked works out this node's part where the ring or the limit changed.
func (l *Ledger) refreshLocked(now time.Time, a *account, workspace string) {
	ring := l.ring.Load()
	if a.ring == ring {
		return
	}
	a.ring = ring
	a.parts = ring.split(workspace, a.limit, a.tolerance)
	own := part{}
	for i := range a.parts {
		if a.parts[i].zone.name == l.zone && a.parts[i].holds(l.node) {
			own = a.parts[i].each
		}
	}
	a.bucket.set(now, own)
}

// askLocked chooses holders that may have a token, those of the own zone first. unreached
// says that some were left out since they gave no answer lately.
func (l *Ledger) askLocked(now time.Time, a *account, u float64, skip func(node string) bool) (ask []Node, unreached bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	may := func(n Node) bool {
		if n.Name == l.node || now.Before(a.empty[n.Name]) {
			return false
		}
		if now.Before(l.silent[n.Name]) || skip(n.Name) {
			unreached = true
			return false
		}
		return true
	}
	offset := int(u * (1 << 20))
	for i := range a.parts {
		p := &a.parts[(i+offset)%len(a.parts)]
		if p.zone.name == l.zone {
			ask = append(p.choose(offset, nearAsks, may), ask...)
			continue
		}
		ask = append(ask, p.choose(offset, farAsks, may)...)
	}
	return ask[:min(len(ask), maxAsks)], unreached
}
