package lease

import "time"

// OnPromiseRequest handles the request of a guard that cannot read the log. By returning true,
// self promises to append no takeover of the slots until takeoverWait from now.
//
// It returns false if the promise may be too late: self has a pending takeover of one of the
// slots, has imported the keys of one of them, or has read that one of them does not belong to the
// requester.
//
// A process that has not joined yet always promises. Its join will follow the newest log head that
// the requester has observed, so the requester does not know that this process exists. Eligible
// therefore makes the process wait before it takes over slots.
func (l *Lessor) OnPromiseRequest(now time.Time, from Identity, slots []int) bool {
	for _, i := range slots {
		if i < 0 || i >= len(l.slots) || !l.mayPromise(from, i) {
			return false
		}
	}
	until := now.Add(l.cfg.takeoverWait())
	for _, i := range slots {
		l.givenPromises[i] = l.givenPromises[i].extended(now, from, until)
	}
	return true
}

// extended returns the promise for a slot after another request. If promises to two requesters are
// in force, a hand-over from one of them must not end the promise to the other. The field to is
// then empty, and the promise ends only at until.
func (p givenPromise) extended(now time.Time, to Identity, until time.Time) givenPromise {
	if now.Before(p.until) && p.to != to {
		to = Identity{}
	}
	return givenPromise{to: to, until: later(until, p.until)}
}

func (l *Lessor) mayPromise(from Identity, i int) bool {
	if l.pendingTakeovers[i] {
		return false
	}
	if _, ok := l.importedSlots[i]; ok {
		return false
	}
	return l.joinOffset == noOffset || l.slots[i].owner == from
}

// ObservePeerHead records the newest log head that a guard reports to have observed. It shows
// which guards that guard knows of.
func (l *Lessor) ObservePeerHead(from Identity, head int64) {
	if g, ok := l.guards.byID[from]; ok {
		g.reportedHead = max(g.reportedHead, head)
	}
}

// Head returns the newest log head that self has observed, which is sent to the other guards;
// false before the first observation.
func (l *Lessor) Head() (int64, bool) { return l.observedHead, l.headObserved }

// Eligible reports whether self may take over slots that have had an owner.
//
// It protects an owner that continues on promises and does not know that self exists: that owner
// never requests a promise from self. Therefore one of the following must hold for every guard
// that joined earlier: it has reported a head observation that covers the join of self, it has
// certainly stopped, or PromiseLimit has passed since the join of self was read.
func (l *Lessor) Eligible(now time.Time) bool {
	if l.joinOffset == noOffset || l.stopped {
		return false
	}
	if now.Sub(l.joinedAt) >= l.cfg.withDrift(l.cfg.PromiseLimit) {
		return true
	}
	for _, g := range l.guards.byID {
		if g.joinOffset < l.joinOffset && g.reportedHead <= l.joinOffset {
			return false
		}
	}
	return true
}
