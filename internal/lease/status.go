package lease

import "time"

// Status is what operators see of one service's ownership at one guard.
type Status struct {
	// Owned is the number of slots that the log gives to self.
	Owned int `json:"owned"`
	// Ready is how many of them may start calls now.
	Ready int `json:"ready"`
	// Waiting is how many are owned and not in effect yet.
	Waiting int `json:"waiting"`
	// Unknown is how many answer old keys with an unknown outcome.
	Unknown int `json:"unknown"`
	// Released is how many were handed over and wait for their receiver.
	Released int `json:"released"`
	// Unowned is the number of slots that have no owner at all.
	Unowned int `json:"unowned"`
	// Pending is how many takeovers were appended and not read back.
	Pending int `json:"pending"`
	// HeadAge is the age of the last proof; ok on a good day while it stays
	// below half of Validity.
	HeadAge time.Duration `json:"proofAge"`
	// Promises is how many guards' promises count now, of Takers.
	Promises int `json:"promises"`
	// Contenders is how many other guards could take slots over.
	Contenders int `json:"takers"`
	// Eligible says whether self may take slots that have had an owner.
	Eligible bool `json:"eligible"`
	// Stopped says that self is no longer a member and starts nothing.
	Stopped bool `json:"stopped"`
}

// Status returns the present figures.
func (l *Lessor) Status(now time.Time) Status {
	st := Status{
		Pending:  len(l.pending),
		HeadAge:  l.proofAge(now),
		Eligible: l.Eligible(now),
		Stopped:  l.stopped,
	}
	for i := range l.slots {
		l.countSlot(now, &l.slots[i], &st)
	}
	for _, g := range l.guards.takers(l.self) {
		st.Contenders++
		p, ok := l.promises[g.addr]
		if ok && standsFor(p.by, g.id) && now.Sub(p.t0) < l.cfg.Validity {
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
	case now.Before(s.effective):
		st.Waiting++
	case !l.stopped && now.Before(l.until(now, s)):
		st.Ready++
	}
	if !s.unknownBefore.IsZero() && now.Before(s.cleanAt) {
		st.Unknown++
	}
}
