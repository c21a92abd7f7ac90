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

// Decision is what becomes of a request.
type Decision struct {
	// Granted says that the request has its token.
	Granted bool
	// Ask are holders to be asked for a token, in this order.
	Ask []Node
	// Unknown says that nobody can be asked since holders gave no answer lately.
	Unknown bool
}

// Take spends a token of a workspace's quota here, or says whom to ask; with nobody to
// ask the request is to be refused. u is a random number in [0, 1). A workspace without a
// quota has no bound.
func (l *Ledger) Take(now time.Time, workspace string, u float64, skip func(node string) bool) Decision {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return Decision{Granted: true}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l.refreshLocked(now, a, workspace)
	if a.bucket.take(now) {
		a.spent++
		return Decision{Granted: true}
	}
	if now.Before(a.exhausted) {
		return Decision{}
	}
	ask, unreached := l.askLocked(now, a, u, skip)
	return Decision{Ask: ask, Unknown: len(ask) == 0 && unreached}
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

// MarkUnresponsive notes that a node gave no answer.
func (l *Ledger) MarkUnresponsive(now time.Time, node string) {
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
