package lease

import "time"

// OnPromiseRequest answers a guard that cannot read the log: true promises
// that self appends no takeover of the slots until takeoverWait from now.
//
// It is refused when it may come too late: self has appended a takeover that
// is not decided, holds the memory of a slot, or has read that the slot is not
// the asker's. A process that has not joined yet promises freely: what it
// joins after, the asker's proof does not show, so it must wait for long.
func (l *Lessor) OnPromiseRequest(now time.Time, from Identity, slots []int) bool {
	for _, i := range slots {
		if i < 0 || i >= len(l.slots) || !l.mayPromise(from, i) {
			return false
		}
	}
	until := now.Add(l.cfg.takeoverWait())
	for _, i := range slots {
		l.held[i] = l.held[i].extended(now, from, until)
	}
	return true
}

// extended is the hold after another promise. While promises to two askers are
// out, neither of them can end both: the hold then lasts.
func (h hold) extended(now time.Time, to Identity, until time.Time) hold {
	if now.Before(h.until) && h.to != to {
		to = Identity{}
	}
	return hold{to: to, until: later(until, h.until)}
}

func (l *Lessor) mayPromise(from Identity, i int) bool {
	if l.pending[i] {
		return false
	}
	if _, ok := l.received[i]; ok {
		return false
	}
	return l.joined == noOffset || l.slots[i].owner == from
}

// ObservePeerHead takes a guard's own word on the newest log head that it has proof
// of. It shows which guards that one knows of.
func (l *Lessor) ObservePeerHead(from Identity, head int64) {
	if g, ok := l.guards.byID[from]; ok {
		g.head = max(g.head, head)
	}
}

// Head is the newest log head that self has proof of, to be told to the other
// guards; false before the first proof.
func (l *Lessor) Head() (int64, bool) { return l.proofHead, l.proven }

// Eligible reports whether self may take slots that have had an owner.
//
// It guards against an owner that lives on promises and does not know that
// self exists: it never asks self for one. So every guard that joined earlier
// must have said that its proof covers self's join, or have certainly stopped,
// or PromiseLimit must have passed since the join was read.
func (l *Lessor) Eligible(now time.Time) bool {
	if l.joined == noOffset || l.stopped {
		return false
	}
	if now.Sub(l.joinedAt) >= l.cfg.padded(l.cfg.PromiseLimit) {
		return true
	}
	for _, g := range l.guards.byID {
		if g.joined < l.joined && g.head <= l.joined {
			return false
		}
	}
	return true
}
