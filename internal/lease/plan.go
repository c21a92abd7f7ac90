package lease

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// staleShare of Validity: promises are asked for once the last proof is
	// older. Proofs come several times within Validity, so on a good day
	// nobody asks.
	staleShare = 2
	// askShare of Validity is the least time between questions to one guard.
	askShare = 4
	// moveShare of the slots is the most that one rebalancing moves.
	moveShare = 8
)

// Plan returns what is due now. live are the guards of the service that are
// believed alive; a wrong belief costs time, never soundness.
func (l *Lessor) Plan(now time.Time, live []Identity) []Action {
	l.tidy(now)
	if l.stopped {
		return nil
	}
	actions := l.asks(now)
	if slots := l.wanted(now, live); len(slots) > 0 {
		actions = append(actions, l.append(now, slots))
	}
	if slots := l.refreshable(now); len(slots) > 0 {
		actions = append(actions, l.append(now, slots))
	}
	if move, ok := l.rebalance(now, live); ok {
		actions = append(actions, move)
	}
	return actions
}

func (l *Lessor) tidy(now time.Time) {
	l.guards.prune(now, l.cfg.padded(l.cfg.PromiseLimit))
	for i, h := range l.held {
		if !now.Before(h.until) {
			delete(l.held, i)
		}
	}
	for addr, p := range l.promises {
		if now.Sub(p.t0) >= l.cfg.Validity {
			delete(l.promises, addr)
		}
	}
	for addr, at := range l.asked {
		if now.Sub(at) >= l.cfg.Validity {
			delete(l.asked, addr)
		}
	}
}

func (l *Lessor) asks(now time.Time) []Action {
	if !l.proven || l.proofAge(now) < l.cfg.Validity/staleShare || l.proofAge(now) >= l.cfg.PromiseLimit {
		return nil
	}
	owned := l.Owned()
	if len(owned) == 0 {
		return nil
	}
	var out []Action
	for _, g := range l.guards.takers(l.self) {
		if at, ok := l.asked[g.addr]; ok && now.Sub(at) < l.cfg.Validity/askShare {
			continue
		}
		l.asked[g.addr] = now
		out = append(out, AskPromise{At: now, To: g.id, Addr: g.addr, Slots: owned})
	}
	return out
}

func (l *Lessor) append(now time.Time, slots []int) AppendTakeover {
	for _, i := range slots {
		l.pending[i] = true
	}
	return AppendTakeover{Record: Takeover{
		Workspace: l.workspace,
		Service:   l.service,
		Slots:     slots,
		NewOwner:  l.self,
		Addr:      l.addr,
		Folded:    l.next,
		At:        now,
	}}
}

// NotAppended says that a record provably never reaches the log; its slots may
// be planned and promised again.
func (l *Lessor) NotAppended(t Takeover) {
	for _, i := range t.Slots {
		delete(l.pending, i)
	}
}

// wanted returns the slots to take now.
func (l *Lessor) wanted(now time.Time, live []Identity) []int {
	if l.joined == noOffset {
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
		if l.pending[i] || now.Before(l.held[i].until) {
			continue
		}
		if l.wants(now, i, alive, eligible) {
			out = append(out, i)
		}
	}
	return out
}

func (l *Lessor) wants(now time.Time, i int, alive map[Identity]bool, eligible bool) bool {
	s := &l.slots[i]
	if s.owner.IsZero() {
		return (eligible || !s.unseen) && l.assigned(i, alive)
	}
	if !eligible || s.owner == l.self {
		return false
	}
	if r, ok := l.received[i]; ok && r.from == s.owner && r.offset == s.offset {
		return true
	}
	if alive[s.owner] {
		return false
	}
	// A slot that has just changed hands stays for a while, however dead its
	// owner looks from here.
	if !l.guards.isGone(s.owner) && now.Sub(s.read) < l.cfg.takeoverWait() {
		return false
	}
	return l.assigned(i, alive)
}

// assigned reports whether self is the one of the live guards that takes the
// slot: rendezvous hashing, so that takers who agree on who lives never race.
func (l *Lessor) assigned(i int, alive map[Identity]bool) bool {
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

// refreshable returns self's slots once their record must be written again,
// lest the log drops it and a later fold sees no owner.
func (l *Lessor) refreshable(now time.Time) []int {
	if l.cfg.Refresh == 0 {
		return nil
	}
	if l.refreshed.IsZero() {
		l.refreshed = now
	}
	if now.Sub(l.refreshed) < l.cfg.Refresh {
		return nil
	}
	l.refreshed = now
	var out []int
	for _, i := range l.Owned() {
		if !l.pending[i] {
			out = append(out, i)
		}
	}
	return out
}
