package quota

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxOwnZoneCandidates and maxOtherZoneCandidates bound the holders of the own zone and of
	// each other zone that Take returns for one request; maxCandidates bounds their sum.
	maxOwnZoneCandidates, maxOtherZoneCandidates, maxCandidates = 2, 1, 4
	// minBackoff and maxBackoff bound the time for which requests of a workspace are refused
	// without asking holders, after no holder had a token. The time doubles on each repetition,
	// since during a lasting flood no holder has tokens.
	minBackoff, maxBackoff = 100 * time.Millisecond, 800 * time.Millisecond
	// unresponsiveFor is the time for which no token is requested from a node that did not
	// respond.
	unresponsiveFor = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller may retry.
	minRetryAfter, maxRetryAfter = 50 * time.Millisecond, time.Second
)

// Ledger is the state of all quotas on one node. It is safe for concurrent use: the limits and
// the ring are read without a lock, and each workspace has its own lock.
type Ledger struct {
	node, zone string
	ring       atomic.Pointer[Ring]
	accounts   atomic.Pointer[map[string]*account]

	mu sync.Mutex
	// unresponsiveUntil has the nodes that did not respond, each with the time until which no
	// token is requested from it.
	unresponsiveUntil map[string]time.Time
}

// NewLedger returns the ledger of a node. Until SetRing is called, no quota has holders.
func NewLedger(node, zone string) *Ledger {
	l := &Ledger{node: node, zone: zone, unresponsiveUntil: make(map[string]time.Time)}
	l.ring.Store(NewRing(nil))
	l.accounts.Store(&map[string]*account{})
	return l
}

// SetRing sets the nodes among which quotas are divided.
func (l *Ledger) SetRing(r *Ring) { l.ring.Store(r) }

// SetLimits replaces all quotas; limits maps a workspace to its quota. Workspaces that stay keep
// their buckets. It must not be called concurrently with itself.
func (l *Ledger) SetLimits(now time.Time, limits map[string]Limit, t Tolerance) {
	old := *l.accounts.Load()
	next := make(map[string]*account, len(limits))
	for name, limit := range limits {
		a := old[name]
		if a == nil {
			a = &account{emptyUntil: make(map[string]time.Time)}
		}
		a.setLimit(now, limit, t)
		next[name] = a
	}
	l.accounts.Store(&next)
}

// Decision is the result of Take for one request.
type Decision struct {
	// Granted is true if the request has its token.
	Granted bool
	// Holders has the holders to request a token from, in this order.
	Holders []Node
	// Unknown is true if there is no holder to ask because holders are unresponsive: whether the
	// quota has tokens left is not known.
	Unknown bool
}

// Take spends a token of a workspace's quota on this node, or returns the holders to request one
// from. A request that is not granted and has no holders to ask is to be refused. u is a random
// number in [0, 1). skip reports nodes that must not be asked. A workspace without a quota is not
// limited.
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
	if now.Before(a.exhaustedUntil) {
		return Decision{}
	}
	candidates, unresponsive := l.candidatesLocked(now, a, u, skip)
	return Decision{Holders: candidates, Unknown: len(candidates) == 0 && unresponsive}
}

// Grant spends a token of this node for a request of another node. If there is none, untilNext is
// the time until the next token.
func (l *Ledger) Grant(now time.Time, workspace string) (granted bool, untilNext time.Duration) {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return false, noPartRetryAfter
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	l.refreshLocked(now, a, workspace)
	if a.bucket.take(now) {
		return true, 0
	}
	return false, a.bucket.untilNextToken(now)
}

// RecordGrant records that another node granted a token to a request of this node.
func (l *Ledger) RecordGrant(workspace string) {
	l.withAccount(workspace, func(a *account) {
		a.spent++
		a.backoff = 0
	})
}

// Return refunds the token of a request that did not run.
func (l *Ledger) Return(now time.Time, workspace string) {
	l.withAccount(workspace, func(a *account) {
		a.spent--
		a.bucket.refund(now)
	})
}

// MarkEmpty records that a holder has no token until untilNext has passed.
func (l *Ledger) MarkEmpty(now time.Time, workspace, node string, untilNext time.Duration) {
	l.withAccount(workspace, func(a *account) {
		maps.DeleteFunc(a.emptyUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
		a.emptyUntil[node] = now.Add(untilNext)
	})
}

// MarkUnresponsive records that a node did not respond to a token request.
func (l *Ledger) MarkUnresponsive(now time.Time, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.unresponsiveUntil, func(_ string, until time.Time) bool { return !now.Before(until) })
	l.unresponsiveUntil[node] = now.Add(unresponsiveFor)
}

// Refuse records that a request found no token, and returns the delay after which its caller may
// retry. The time up to maxRetryAfter is divided into intervals of the number of nodes divided by the
// quota's rate, and each refused caller gets a random time in the next interval. If all nodes refuse,
// their callers' retries together arrive at the rate of the quota, an equal part at each node. u is a
// random number in [0, 1).
func (l *Ledger) Refuse(now time.Time, workspace string, u float64) time.Duration {
	retryAfter := maxRetryAfter
	l.withAccount(workspace, func(a *account) {
		a.refused++
		if !now.Before(a.exhaustedUntil) {
			a.backoff = min(max(2*a.backoff, minBackoff), maxBackoff)
			a.exhaustedUntil = now.Add(a.backoff)
		}
		spacing := time.Duration(float64(l.ring.Load().nodes) / a.limit.Rate * float64(time.Second))
		if a.lastRetryAt.Before(now) {
			a.lastRetryAt = now
		}
		retryAfter = a.lastRetryAt.Sub(now) + time.Duration(u*float64(spacing))
		a.lastRetryAt = minTime(a.lastRetryAt.Add(spacing), now.Add(maxRetryAfter))
	})
	return min(max(retryAfter, minRetryAfter), maxRetryAfter)
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// withAccount calls f with the locked account of a workspace that has a quota.
func (l *Ledger) withAccount(workspace string, f func(*account)) {
	a := (*l.accounts.Load())[workspace]
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
}
