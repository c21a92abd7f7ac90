package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// headStaleDivisor sets when promises are requested: once the last head observation is older
	// than Validity divided by it. Observations come several times within Validity, so normally
	// there are no requests.
	headStaleDivisor = 2
	// requestIntervalDivisor sets the minimum time between two promise requests to one guard:
	// Validity divided by it.
	requestIntervalDivisor = 4
	// maxMoveDivisor sets the maximum number of slots that one rebalancing moves: Slots divided by
	// it.
	maxMoveDivisor = 8
)

// Plan returns the actions that are due now. live are the guards of the service that the failure
// detector reports as live; a wrong report delays calls but never violates exclusive ownership.
func (l *Lessor) Plan(now time.Time, live []Identity) []Action {
	l.expire(now)
	if l.stopped {
		return nil
	}
	actions := l.promiseRequests(now)
	if slots := l.slotsToTake(now, live); len(slots) > 0 {
		actions = append(actions, l.newTakeover(now, slots))
	}
	if slots := l.slotsToRefresh(now); len(slots) > 0 {
		actions = append(actions, l.newTakeover(now, slots))
	}
	if move, ok := l.rebalance(now, live); ok {
		actions = append(actions, move)
	}
	return actions
}

// expire removes expired promises, promise requests and evicted guards.
func (l *Lessor) expire(now time.Time) {
	l.guards.prune(now, l.cfg.withDrift(l.cfg.PromiseLimit))
	for i, p := range l.givenPromises {
		if !now.Before(p.until) {
			delete(l.givenPromises, i)
		}
	}
	for addr, p := range l.receivedPromises {
		if now.Sub(p.requestedAt) >= l.cfg.Validity {
			delete(l.receivedPromises, addr)
		}
	}
	for addr, at := range l.lastPromiseRequest {
		if now.Sub(at) >= l.cfg.Validity {
			delete(l.lastPromiseRequest, addr)
		}
	}
}

// promiseRequests returns the promise requests that are due. There are none while the last head
// observation is recent, or once it is older than PromiseLimit.
func (l *Lessor) promiseRequests(now time.Time) []Action {
	if !l.headObserved || l.headAge(now) < l.cfg.Validity/headStaleDivisor || l.headAge(now) >= l.cfg.PromiseLimit {
		return nil
	}
	owned := l.Owned()
	if len(owned) == 0 {
		return nil
	}
	var out []Action
	for _, g := range l.guards.contenders(l.self) {
		if at, ok := l.lastPromiseRequest[g.addr]; ok && now.Sub(at) < l.cfg.Validity/requestIntervalDivisor {
			continue
		}
		l.lastPromiseRequest[g.addr] = now
		out = append(out, RequestPromise{At: now, To: g.id, Addr: g.addr, Slots: owned})
	}
	return out
}

// newTakeover returns a takeover record for the slots and marks them as pending.
func (l *Lessor) newTakeover(now time.Time, slots []int) AppendTakeover {
	for _, i := range slots {
		l.pendingTakeovers[i] = true
	}
	return AppendTakeover{Record: Takeover{
		Workspace: l.workspace,
		Service:   l.service,
		Slots:     slots,
		NewOwner:  l.self,
		Addr:      l.addr,
		Folded:    l.nextOffset,
		At:        now,
	}}
}

// NotAppended reports that a record will provably never reach the log. Its slots may be planned
// and promised again.
func (l *Lessor) NotAppended(t Takeover) {
	for _, i := range t.Slots {
		delete(l.pendingTakeovers, i)
	}
}

// slotsToTake returns the slots that self should take over now.
func (l *Lessor) slotsToTake(now time.Time, live []Identity) []int {
	if l.joinOffset == noOffset {
		return nil
	}
	alive := make(map[Identity]bool, len(live)+1)
	alive[l.self] = true
	for _, id := range live {
		alive[id] = true
	}
	eligible := l.Eligible(now)
	var out []int
	for i := range l.slots {
		if l.pendingTakeovers[i] || now.Before(l.givenPromises[i].until) {
			continue
		}
		if l.shouldTake(now, i, alive, eligible) {
			out = append(out, i)
		}
	}
	return out
}

// shouldTake reports whether self should take over slot i. It ignores pending takeovers and given
// promises; its caller checks them.
func (l *Lessor) shouldTake(now time.Time, i int, alive map[Identity]bool, eligible bool) bool {
	s := &l.slots[i]
	if s.owner.IsZero() {
		return (eligible || !s.ownerMayBeTruncated) && l.assignedToSelf(i, alive)
	}
	if !eligible || s.owner == l.self {
		return false
	}
	if r, ok := l.importedSlots[i]; ok && r.from == s.owner && r.offset == s.lastOffset {
		return true
	}
	if alive[s.owner] {
		return false
	}
	// A slot that was taken over less than takeoverWait ago is left to its owner, even if the
	// owner seems unreachable, unless its records are void.
	if !l.guards.isVoid(s.owner) && now.Sub(s.readAt) < l.cfg.takeoverWait() {
		return false
	}
	return l.assignedToSelf(i, alive)
}

// assignedToSelf reports whether rendezvous hashing over the live guards assigns the slot to self.
// Guards with the same view of the live guards therefore never compete for a slot.
func (l *Lessor) assignedToSelf(i int, alive map[Identity]bool) bool {
	return rendezvous(i, alive) == l.self
}

func rendezvous(i int, alive map[Identity]bool) Identity {
	var best Identity
	var bestScore uint64
	for id := range alive {
		score := slotScore(i, id.Node)
		if best.IsZero() || score > bestScore || (score == bestScore && id.Compare(best) > 0) {
			best, bestScore = id, score
		}
	}
	return best
}

func slotScore(i int, node string) uint64 {
	var d xxhash.Digest
	d.ResetWithSeed(uint64(i))
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// slotsToRefresh returns the slots of self whose record must be appended again. Otherwise the log
// would drop it, and a later fold would find no owner.
func (l *Lessor) slotsToRefresh(now time.Time) []int {
	if l.cfg.Refresh == 0 {
		return nil
	}
	if l.lastRefresh.IsZero() {
		l.lastRefresh = now
	}
	if now.Sub(l.lastRefresh) < l.cfg.Refresh {
		return nil
	}
	l.lastRefresh = now
	var out []int
	for _, i := range l.Owned() {
		if !l.pendingTakeovers[i] {
			out = append(out, i)
		}
	}
	return out
}
