package lease

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Authority is the decision on whether a call may start.
type Authority struct {
	// OK reports whether the call may start.
	OK bool
	// Deadline is the time on the local clock before which the call must be sent to the upstream.
	// The sender reads its clock immediately before it sends.
	Deadline time.Time
	// Refusal is the reason for which the call may not start; nil if OK is true.
	Refusal *result.Refusal
}

// ObserveHead records the result of reading the log's head: at some time after readAt the log held
// no record at or above head. readAt is the local time before the read was sent. For a head
// received through a relay it is the local send time minus the age that the relay reported. An
// observation counts only if every record below head was folded before.
//
// ObserveHead relies on reads that are not stale. If reads of the log may lag by a known maximum,
// the caller subtracts that lag from readAt. A head below an earlier one comes from a stale read
// and is ignored.
func (l *Lessor) ObserveHead(readAt time.Time, head int64) {
	if head > l.nextOffset {
		// There may be takeovers below head that are not folded yet.
		return
	}
	if l.headObserved && head < l.observedHead {
		return
	}
	if head > l.maxHead || head == l.maxHead && readAt.After(l.maxHeadReadAt) {
		// Reads may overlap: one read waits for a new record and returns it, while another one,
		// sent later, returns at once without it. The latest read may then have the lower head, so the
		// highest head is kept separately, with the send time of its own read.
		l.maxHead = head
		l.maxHeadReadAt = readAt
	}
	if l.headObserved && !readAt.After(l.headReadAt) {
		return
	}
	l.headObserved = true
	l.headReadAt = readAt
	l.observedHead = head
}

// Promise records a promise of the process at addr. requestedAt is the At of the RequestPromise
// action; the promise covers the slots that self owned at that time. If the guard known at addr
// has stopped and a newer incarnation has its address, the promise of the newer one counts for
// both: the old process can no longer append a takeover.
func (l *Lessor) Promise(requestedAt time.Time, from Identity, addr string) {
	if p, ok := l.receivedPromises[addr]; ok && p.from == from && p.requestedAt.After(requestedAt) {
		return
	}
	l.receivedPromises[addr] = receivedPromise{from: from, requestedAt: requestedAt}
}

// MayStart decides whether a call with this key may start now. issued is the time at which the key
// was created, zero if unknown. The caller must look the key up in its own table first: the
// response to a resend of a known key needs no authority.
//
// It prevents calls started by an owner that was paused while another guard took over its slots.
// After it resumes, its state still shows it as the owner of the slots. Its clock has kept running,
// so its authority has expired: either MayStart refuses the call, or the sender finds that Deadline
// has passed immediately before it sends the call.
func (l *Lessor) MayStart(now time.Time, keyHash uint64, issued time.Time) Authority {
	i := l.SlotOf(keyHash)
	s := &l.slots[i]
	switch {
	case l.stopped:
		return refuse(result.NoAuthority, "guard is no longer a member")
	case s.owner.IsZero():
		return refuse(result.NoAuthority, "slot %d has no owner", i)
	case s.owner != l.self:
		return refuseOwnedElsewhere(i, s.addr)
	case s.released:
		return refuseOwnedElsewhere(i, s.releasedTo)
	case now.Before(s.effectiveAt):
		a := refuse(result.NoAuthority, "takeover of slot %d is not in effect yet", i)
		a.Refusal = a.Refusal.WithRetryAfter(s.effectiveAt.Sub(now))
		return a
	}
	deadline := l.authorityEnd(now, s)
	if !now.Before(deadline) {
		return refuse(result.NoAuthority, "last observation of the log's head is %v old", l.headAge(now).Round(time.Millisecond))
	}
	if l.mayHaveRun(now, s, issued) {
		return refuse(result.OutcomeUnknown, "an earlier owner of slot %d may have run the call", i)
	}
	return Authority{OK: true, Deadline: deadline}
}

func refuse(code result.Code, format string, args ...any) Authority {
	return Authority{Refusal: result.Refuse(code, format, args...)}
}

func refuseOwnedElsewhere(i int, addr string) Authority {
	a := refuse(result.OwnedElsewhere, "slot %d is owned by another guard", i)
	a.Refusal.Owner = addr
	return a
}

// authorityEnd returns the end of the authority over a slot that self owns. It is not after now if
// there is no authority. Promises are checked only if the head observations are too old, so with a
// recent observation a call costs one comparison.
func (l *Lessor) authorityEnd(now time.Time, s *slot) time.Time {
	if !l.headObserved {
		return time.Time{}
	}
	if end := l.headReadAt.Add(l.cfg.Validity); l.observedHead > s.firstOffset && now.Before(end) {
		return end
	}
	if end := l.maxHeadReadAt.Add(l.cfg.Validity); l.maxHead > s.firstOffset && now.Before(end) {
		return end
	}
	return l.promisedAuthorityEnd(s)
}

// promisedAuthorityEnd returns the end of the authority that promises give. Every guard that is
// known at the last head observation must have promised. A guard that has joined since is unknown
// here. It takes over no slot until PromiseLimit after its join, and its join came after that
// observation, so this authority ends first.
func (l *Lessor) promisedAuthorityEnd(s *slot) time.Time {
	end := l.headReadAt.Add(l.cfg.PromiseLimit)
	for _, g := range l.guards.contenders(l.self) {
		p, ok := l.receivedPromises[g.addr]
		if !ok || !promiseBinds(p.from, g.id) || !p.requestedAt.After(s.readAt) {
			return time.Time{}
		}
		if e := p.requestedAt.Add(l.cfg.Validity); e.Before(end) {
			end = e
		}
	}
	return end
}

// promiseBinds reports whether a promise of the process from, given at the address of the guard
// id, binds that guard.
func promiseBinds(from, id Identity) bool { return from == id || from.Incarnation > id.Incarnation }

// mayHaveRun reports whether an earlier owner may have started a call whose key was created at
// issued, zero if unknown. An issue time that is ahead of the local clock by more than SkewBound
// comes from a clock that violates the bound, so it does not prove that the key is new.
func (l *Lessor) mayHaveRun(now time.Time, s *slot, issued time.Time) bool {
	if s.unknownBefore.IsZero() || !now.Before(s.unknownUntil) {
		return false
	}
	if issued.IsZero() || issued.After(now.Add(l.cfg.SkewBound)) {
		return true
	}
	return !issued.After(s.unknownBefore.Add(l.cfg.SkewBound))
}

// headAge returns the age of the last head observation, PromiseLimit if there is none.
func (l *Lessor) headAge(now time.Time) time.Duration {
	if !l.headObserved {
		return l.cfg.PromiseLimit
	}
	return now.Sub(l.headReadAt)
}
