package quota

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// nearAsks and farAsks are how many holders of the own zone and of each other zone may
	// be asked for one request, maxAsks how many in all.
	nearAsks, farAsks, maxAsks = 2, 1, 4
	// minExhausted and maxExhausted bound how long a workspace is refused without asking
	// again after all that were asked had no token: twice as long each time, as a flood
	// that lasts finds no tokens anywhere.
	minExhausted, maxExhausted = 100 * time.Millisecond, 800 * time.Millisecond
	// silentFor is how long a node is not asked that gave no answer.
	silentFor = 2 * time.Second
	// minReturn and maxReturn bound when a refused caller may come back.
	minReturn, maxReturn = 50 * time.Millisecond, time.Second
)

// Ledger is what one node knows of all quotas. Safe for concurrent use: limits and ring
// are read without a lock, each workspace has a lock of its own.
type Ledger struct {
	node, zone string
	ring       atomic.Pointer[Ring]
	accounts   atomic.Pointer[map[string]*account]

	mu sync.Mutex
	// silent are nodes that gave no answer, and until when they are not asked.
	silent map[string]time.Time
}

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

// NewLedger makes the ledger of a node. Until it knows a ring, no quota has holders.
func NewLedger(node, zone string) *Ledger {
	l := &Ledger{node: node, zone: zone, silent: make(map[string]time.Time)}
	l.ring.Store(NewRing(nil))
	l.accounts.Store(&map[string]*account{})
	return l
}

// SetRing puts the nodes in force that hold quotas from now on.
func (l *Ledger) SetRing(r *Ring) { l.ring.Store(r) }

// SetLimits puts quotas in force, by workspace. Buckets go on as they are. One caller at a
// time.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit, t Tolerance) {
	old := *l.accounts.Load()
	next := make(map[string]*account, len(limits))
	for name, limit := range limits {
		a := old[name]
		if a == nil {
			a = &account{empty: make(map[string]time.Time)}
		}
		a.setLimit(now, limit, t)
		next[name] = a
	}
	l.accounts.Store(&next)
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

// Answer is what becomes of a request.
type Answer struct {
	// Granted says that the request has its token.
	Granted bool
	// Ask are holders to be asked for a token, in this order.
	Ask []Node
}

// Take spends a token of a workspace's quota here, or says whom to ask; with nobody to
// ask the request is to be refused. u is a random number in [0, 1). A workspace without a
// quota has no bound.
func (l *Ledger) Take(now time.Time, workspace string, u float64, skip func(node string) bool) Answer {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return Answer{Granted: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l.refreshLocked(now, a, workspace)
	if a.bucket.take(now) {
		a.spent++
		return Answer{Granted: true}
	}
	if now.Before(a.exhausted) {
		return Answer{}
	}
	return Answer{Ask: l.askLocked(now, a, u, skip)}
}

// Grant spends a token here for a request of another node. With none left, next is how
// long it takes to the next one.
func (l *Ledger) Grant(now time.Time, workspace string) (granted bool, next time.Duration) {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return false, notHeld
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l.refreshLocked(now, a, workspace)
	if a.bucket.take(now) {
		return true, 0
	}
	return false, a.bucket.next(now)
}

// Granted notes that another node granted a token.
func (l *Ledger) Granted(workspace string) {
	l.with(workspace, func(a *account) {
		a.spent++
		a.backoff = 0
	})
}

// Return gives the token of a request back that has not run.
func (l *Ledger) Return(now time.Time, workspace string) {
	l.with(workspace, func(a *account) {
		a.spent--
		a.bucket.put(now)
	})
}

// Empty notes that a holder has no token for some time.
func (l *Ledger) Empty(now time.Time, workspace, node string, next time.Duration) {
	l.with(workspace, func(a *account) {
		maps.DeleteFunc(a.empty, func(_ string, until time.Time) bool { return !now.Before(until) })
		a.empty[node] = now.Add(next)
	})
}

// Silent notes that a node gave no answer.
func (l *Ledger) Silent(now time.Time, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.silent, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.silent[node] = now.Add(silentFor)
}

// Refuse notes that a request found no token, and returns when its caller may come back:
// this node's callers in turn, as fast as their part of the quota comes. u is a random
// number in [0, 1).
func (l *Ledger) Refuse(now time.Time, workspace string, u float64) time.Duration {
	pause := maxReturn
	l.with(workspace, func(a *account) {
		a.refused++
		if !now.Before(a.exhausted) {
			a.backoff = min(max(2*a.backoff, minExhausted), maxExhausted)
			a.exhausted = now.Add(a.backoff)
		}
		spacing := time.Duration(float64(l.ring.Load().nodes) / a.limit.Rate * float64(time.Second))
		if a.returns.Before(now) {
			a.returns = now
		}
		pause = a.returns.Sub(now) + time.Duration(u*float64(spacing))
		a.returns = minTime(a.returns.Add(spacing), now.Add(maxReturn))
	})
	return min(max(pause, minReturn), maxReturn)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (l *Ledger) with(workspace string, f func(*account)) {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
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

// askLocked chooses holders that may have a token, those of the own zone first.
func (l *Ledger) askLocked(now time.Time, a *account, u float64, skip func(node string) bool) []Node {
	l.mu.Lock()
	defer l.mu.Unlock()
	may := func(n Node) bool {
		return n.Name != l.node && !now.Before(a.empty[n.Name]) && !now.Before(l.silent[n.Name]) && !skip(n.Name)
	}
	var ask []Node
	offset := int(u * (1 << 20))
	for i := range a.parts {
		p := &a.parts[(i+offset)%len(a.parts)]
		if p.zone.name == l.zone {
			ask = append(p.choose(offset, nearAsks, may), ask...)
			continue
		}
		ask = append(ask, p.choose(offset, farAsks, may)...)
	}
	return ask[:min(len(ask), maxAsks)]
}

// choose returns up to so many holders that may be asked, from an offset on.
func (p *zoneParts) choose(offset, most int, may func(Node) bool) []Node {
	var out []Node
	for i := 0; i < p.count && len(out) < most; i++ {
		if n := p.at(offset + i); may(n) {
			out = append(out, n)
		}
	}
	return out
}

// State is a workspace's quota as one node sees it.
type State struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	// PartRate and PartDepth are of this node's bucket; 0 where it holds none.
	PartRate  float64 `json:"part_rate"`
	PartDepth float64 `json:"part_depth"`
	Tokens    float64 `json:"tokens"`
	// Spent and Refused count the requests that came here, since the start.
	Spent   int64 `json:"spent"`
	Refused int64 `json:"refused"`
}

// States returns all quotas, in no order.
func (l *Ledger) States(now time.Time) []State {
	accounts := *l.accounts.Load()
	out := make([]State, 0, len(accounts))
	for name, a := range accounts {
		a.mu.Lock()
		l.refreshLocked(now, a, name)
		a.bucket.fill(now)
		out = append(out, State{
			Workspace: name, Rate: a.limit.Rate, Burst: a.limit.Burst,
			PartRate: a.bucket.rate, PartDepth: a.bucket.depth, Tokens: a.bucket.tokens,
			Spent: a.spent, Refused: a.refused,
		})
		a.mu.Unlock()
	}
	return out
}
