package lease

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Authority is the decision on one call.
type Authority struct {
	OK bool
	// Deadline is the time, on the local clock, before which the call must be
	// sent to the upstream; the sender looks at its clock right before.
	Deadline time.Time
	// Refusal says why not, when OK is false.
	Refusal *result.Refusal
}

// ObserveHead takes the result of reading the log's head: at some time after t0 no
// record at or beyond head existed. t0 is the local time before the read was
// sent; through a relay, the own send time less the age that the relay
// reported. Every record below head must have been folded before.
//
// It rests on reads not being stale. For a log whose reads lag by a bound, the
// caller subtracts that bound from t0. A head below an earlier one shows a
// stale read and is dropped.
func (l *Lessor) ObserveHead(t0 time.Time, head int64) {
	if head > l.next {
		// Takeovers not folded yet may hide below head.
		return
	}
	if l.proven && head < l.proofHead {
		return
	}
	if head > l.farHead || head == l.farHead && t0.After(l.farT0) {
		// A read that was sent earlier and waited for a new record knows of
		// that record; one sent later but answered sooner does not.
		l.farHead = head
		l.farT0 = t0
	}
	if l.proven && !t0.After(l.proofT0) {
		return
	}
	l.proven = true
	l.proofT0 = t0
	l.proofHead = head
}

// Promise takes the promise of the process that answers at addr. t0 is the
// question's At; it covers the slots owned by then. A newer incarnation that
// holds the address of a dead guard stands in for it: the dead one takes
// nothing.
func (l *Lessor) Promise(t0 time.Time, from Identity, addr string) {
	if p, ok := l.promises[addr]; ok && p.by == from && p.t0.After(t0) {
		return
	}
	l.promises[addr] = promise{by: from, t0: t0}
}

// MayStart decides whether a call with this key may start now. issued is when
// the key was made, zero when unknown. The caller looks its own memory up
// first: a key found there needs no authority to be answered.
//
// A paused holder is the failure guarded against: it wakes up after another
// guard took its slots and still believes that it owns them. Its proof has
// aged on its own clock meanwhile, so the authority is found too old here, or
// right before the call is sent, by Deadline.
func (l *Lessor) MayStart(now time.Time, keyHash uint64, issued time.Time) Authority {
	i := l.SlotOf(keyHash)
	s := &l.slots[i]
	switch {
	case l.stopped:
		return refuse(result.NoAuthority, "guard is no longer a member")
	case s.owner.IsZero():
		return refuse(result.NoAuthority, "slot %d has no owner", i)
	case s.owner != l.self:
		return elsewhere(i, s.addr)
	case s.released:
		return elsewhere(i, s.releasedTo)
	case now.Before(s.effective):
		a := refuse(result.NoAuthority, "takeover of slot %d is not in effect yet", i)
		a.Refusal = a.Refusal.After(s.effective.Sub(now))
		return a
	}
	until := l.until(now, s)
	if !now.Before(until) {
		return refuse(result.NoAuthority, "last proof is %v old", l.proofAge(now).Round(time.Millisecond))
	}
	if l.mayHaveRun(now, s, issued) {
		return refuse(result.OutcomeUnknown, "an earlier owner of slot %d may have run it", i)
	}
	return Authority{OK: true, Deadline: until}
}

func refuse(code result.Code, format string, args ...any) Authority {
	return Authority{Refusal: result.Refuse(code, format, args...)}
}

func elsewhere(i int, addr string) Authority {
	a := refuse(result.OwnedElsewhere, "slot %d is owned by another guard", i)
	a.Refusal.Owner = addr
	return a
}

// until is the end of the authority over a slot that self owns, not after now
// when there is none. Promises are looked at only once the proof is too old:
// on a good day a call pays for one comparison.
func (l *Lessor) until(now time.Time, s *slot) time.Time {
	if !l.proven {
		return time.Time{}
	}
	if end := l.proofT0.Add(l.cfg.Validity); l.proofHead > s.first && now.Before(end) {
		return end
	}
	if end := l.farT0.Add(l.cfg.Validity); l.farHead > s.first && now.Before(end) {
		return end
	}
	return l.promisedUntil(s)
}

// promisedUntil is the end of the authority that promises give. Every guard
// that the last proof showed must have promised. One that joined since is
// unknown here; it takes nothing over until PromiseLimit after its join, which
// came after that proof, and this authority ends before.
func (l *Lessor) promisedUntil(s *slot) time.Time {
	end := l.proofT0.Add(l.cfg.PromiseLimit)
	for _, g := range l.guards.takers(l.self) {
		p, ok := l.promises[g.addr]
		if !ok || !standsFor(p.by, g.id) || !p.t0.After(s.read) {
			return time.Time{}
		}
		if e := p.t0.Add(l.cfg.Validity); e.Before(end) {
			end = e
		}
	}
	return end
}

// standsFor reports whether a promise made at a guard's address binds it.
func standsFor(by, id Identity) bool { return by == id || by.Incarnation > id.Incarnation }

// mayHaveRun reports whether an earlier owner may have started a key with this
// issue time. A time later than this clock's by more than the skew bound
// breaks the assumption that it is judged by, so it shows nothing.
func (l *Lessor) mayHaveRun(now time.Time, s *slot, issued time.Time) bool {
	if s.unknownBefore.IsZero() || !now.Before(s.cleanAt) {
		return false
	}
	if issued.IsZero() || issued.After(now.Add(l.cfg.SkewBound)) {
		return true
	}
	return !issued.After(s.unknownBefore.Add(l.cfg.SkewBound))
}

// proofAge is how long ago the last proof counts from.
func (l *Lessor) proofAge(now time.Time) time.Duration {
	if !l.proven {
		return l.cfg.PromiseLimit
	}
	return now.Sub(l.proofT0)
}
