package lease

import "time"

// Status is a summary of one service's ownership at one guard for operators.
type Status struct {
	// Owned is the number of slots that self owns according to the log.
	Owned int `json:"owned"`
	// Ready is the number of owned slots in which calls may start now.
	Ready int `json:"ready"`
	// Waiting is the number of owned slots whose takeover is not in effect yet.
	Waiting int `json:"waiting"`
	// Unknown is the number of owned slots in which old keys have an unknown outcome.
	Unknown int `json:"unknown"`
	// Released is the number of owned slots that were handed over and not taken over yet by the
	// receiver.
	Released int `json:"released"`
	// Unowned is the number of slots without an owner.
	Unowned int `json:"unowned"`
	// Pending is the number of slots in takeovers that were appended and not read back yet.
	Pending int `json:"pending"`
	// HeadAge is the age of the last head observation. In normal operation it stays below half of
	// Validity.
	HeadAge time.Duration `json:"proofAge"`
	// Promises is the number of guards, out of Contenders, whose promises are valid now.
	Promises int `json:"promises"`
	// Contenders is the number of other guards that could take over slots.
	Contenders int `json:"takers"`
	// Eligible reports whether self may take over slots that have had an owner.
	Eligible bool `json:"eligible"`
	// Stopped reports that self is no longer a member and starts no calls.
	Stopped bool `json:"stopped"`
}

// Status returns the current state.
func (l *Lessor) Status(now time.Time) Status {
	st := Status{
		Pending:  len(l.pendingTakeovers),
		HeadAge:  l.headAge(now),
		Eligible: l.Eligible(now),
		Stopped:  l.stopped,
	}
	for i := range l.slots {
		l.countSlot(now, &l.slots[i], &st)
	}
	for _, g := range l.guards.contenders(l.self) {
		st.Contenders++
		p, ok := l.receivedPromises[g.addr]
		if ok && promiseBinds(p.from, g.id) && now.Sub(p.requestedAt) < l.cfg.Validity {
			st.Promises++
		}
	}
	return st
}

func (l *Lessor) countSlot(now time.Time, s *slot, st *Status) {
	switch {
	case s.owner.IsZero():
		st.Unowned++
		return
	case s.owner != l.self:
		return
	}
	st.Owned++
	switch {
	case s.released:
		st.Released++
	case now.Before(s.effectiveAt):
		st.Waiting++
	case !l.stopped && now.Before(l.authorityEnd(now, s)):
		st.Ready++
	}
	if !s.unknownBefore.IsZero() && now.Before(s.unknownUntil) {
		st.Unknown++
	}
}
