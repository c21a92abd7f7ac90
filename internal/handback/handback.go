// Package handback decides how many of the calls that wait at a guard are handed back to their
// senders, because other upstreams of the service would start them sooner.
//
// It answers this load pattern: the upstreams of a service differ in speed, or one of them becomes
// slow. Senders learn it from later responses. Until then calls wait at the slow upstream while slots
// of the others are idle. A call that waits has not started, so that it can run elsewhere whether it
// is idempotent or not.
//
// The package is pure: no I/O, no clock, no random source.
package handback

import (
	"math"
	"time"
)

const (
	// MaxPerCall is how many times one call is handed back, by all guards together. Without a bound
	// two guards could pass a call between them until its deadline.
	MaxPerCall = 2
	// MaxSlots bounds the numbers of slots and calls that a sender reports.
	MaxSlots = 1 << 20

	// minWait is the shortest expected wait for which a call is handed back. It covers the way to
	// another upstream.
	minWait = 5 * time.Millisecond
	// waitDivisor divides the service time to give the shortest wait of slow services.
	waitDivisor = 2
	// minSettle is the shortest time after which calls that were handed back show in the load of
	// the upstreams that took them.
	minSettle = 20 * time.Millisecond
)

// SpareSlots are the free slots of a service, as far as a sender or a view knows them. The zero value is
// unknown.
type SpareSlots struct {
	// Free is the number of slots at which a call would start at once.
	Free float64
	// Queued is the number of calls that wait, at all guards of the service.
	Queued float64
	// ValidUntil is the time until which the numbers are used.
	ValidUntil time.Time
}

// Usable reports whether r is known and recent.
func (r SpareSlots) Usable(now time.Time) bool { return now.Before(r.ValidUntil) }

// Backlog is the queue of a guard.
type Backlog struct {
	// Queued is the number of waiting calls, and Wait the expected wait of the last of them.
	Queued int
	Wait   time.Duration
	// ServiceTime is the median service time; 0 if unknown.
	ServiceTime time.Duration
}

// MinWait returns the shortest expected wait for which a call is handed back.
func (b Backlog) MinWait() time.Duration { return max(minWait, b.ServiceTime/waitDivisor) }

// Decider decides for one guard. The zero value is ready.
type Decider struct {
	// tokens is the number of calls that may be handed back now, as of refilledAt.
	tokens     float64
	refilledAt time.Time
}

// Allow returns how many waiting calls may be handed back now. It is at most the number of those that
// would wait longer than MinWait. The guard takes its share of the free slots: the part that its
// queue is of all queues. It hands back that many calls at once, and then as many per settling time:
// the guards of a service together never send more calls to the free slots than there are.
func (d *Decider) Allow(now time.Time, b Backlog, r SpareSlots) int {
	if b.Queued <= 0 || b.Wait <= b.MinWait() || !r.Usable(now) || !(r.Free >= 1) {
		return 0
	}
	share := r.Free * float64(b.Queued) / max(r.Queued, float64(b.Queued))
	d.refill(now, share, b)
	late := math.Ceil(float64(b.Queued) * (1 - float64(b.MinWait())/float64(b.Wait)))
	return int(min(d.tokens, late))
}

// refill adds the tokens of the time since the last refill. At least one token accumulates, so that a
// guard with a small share hands back a call from time to time.
func (d *Decider) refill(now time.Time, share float64, b Backlog) {
	settle := max(minSettle, b.ServiceTime)
	elapsed := max(0, min(now.Sub(d.refilledAt), settle))
	if d.refilledAt.IsZero() {
		elapsed = settle
	}
	d.refilledAt = now
	d.tokens = min(max(share, 1), d.tokens+share*float64(elapsed)/float64(settle))
}

// Spend records that n calls were handed back.
func (d *Decider) Spend(n int) { d.tokens = max(0, d.tokens-float64(n)) }
