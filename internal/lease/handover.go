package lease

import (
	"slices"
	"time"
)

// HandOver says that an owner has stopped starting calls in some slots and
// that the receiver has its memory of them. It travels with the exported keys.
type HandOver struct {
	From  Identity     `json:"from"`
	Slots []HandedSlot `json:"slots"`
}

// HandedSlot is one slot of a HandOver. Spans are relative to the sender's
// clock at Release, so the time on the way only makes them longer.
type HandedSlot struct {
	Slot int `json:"slot"`
	// Offset is the record that the sender owned the slot by.
	Offset int64 `json:"offset"`
	// EffectiveIn is the rest of the sender's own takeover wait.
	EffectiveIn time.Duration `json:"effectiveIn,omitempty"`
	// UnknownBefore and CleanIn are what was unknown to the sender; the first
	// is zero when nothing was. It is a wall clock time, and is compared with
	// wall clock times only.
	UnknownBefore time.Time     `json:"unknownBefore,omitzero"`
	CleanIn       time.Duration `json:"cleanIn,omitempty"`
}

// Release stops starting calls in the slots for good and returns what goes to
// the receiver at addr. The caller then waits for the calls that run, exports
// their keys and sends both. Should the receiver not take them, Reclaim.
func (l *Lessor) Release(now time.Time, addr string, slots []int) HandOver {
	h := HandOver{From: l.self}
	for _, i := range slots {
		if i < 0 || i >= len(l.slots) {
			continue
		}
		s := &l.slots[i]
		if s.owner != l.self || s.released || l.pending[i] {
			continue
		}
		s.released = true
		s.releasedTo = addr
		h.Slots = append(h.Slots, l.handed(now, i))
	}
	return h
}

func (l *Lessor) handed(now time.Time, i int) HandedSlot {
	s := &l.slots[i]
	out := HandedSlot{
		Slot:        i,
		Offset:      s.offset,
		EffectiveIn: l.cfg.padded(max(0, s.effective.Sub(now))),
	}
	if !s.unknownBefore.IsZero() && now.Before(s.cleanAt) {
		out.UnknownBefore = s.unknownBefore.Round(0)
		out.CleanIn = l.cfg.padded(s.cleanAt.Sub(now))
	}
	return out
}

// Reclaim takes released slots again: the receiver refused or fell silent. The
// record decides between the two: if the receiver's takeover is in the log
// first, this one is void.
func (l *Lessor) Reclaim(now time.Time) (AppendTakeover, bool) {
	var slots []int
	for i := range l.slots {
		s := &l.slots[i]
		if s.owner == l.self && s.released && !l.pending[i] {
			slots = append(slots, i)
		}
	}
	if l.stopped || len(slots) == 0 {
		return AppendTakeover{}, false
	}
	return l.append(now, slots), true
}

// ImportedHandOver notes that self holds the memory of the slots, all of it.
// Plan then takes them, at once and with nothing unknown beyond what was
// unknown to the sender. It reports whether self can take them; if not, the
// sender must Reclaim.
func (l *Lessor) ImportedHandOver(now time.Time, h HandOver) bool {
	if !l.Eligible(now) {
		return false
	}
	for _, hs := range h.Slots {
		if hs.Slot < 0 || hs.Slot >= len(l.slots) {
			continue
		}
		if l.slots[hs.Slot].offset > hs.Offset {
			continue
		}
		if l.held[hs.Slot].to == h.From {
			// The promise protected the sender, which starts nothing more.
			delete(l.held, hs.Slot)
		}
		r := received{from: h.From, offset: hs.Offset, effective: now.Add(hs.EffectiveIn)}
		if !hs.UnknownBefore.IsZero() {
			r.unknownBefore = hs.UnknownBefore
			r.cleanAt = now.Add(hs.CleanIn)
		}
		l.received[hs.Slot] = r
	}
	return true
}

// StopPlan returns the moves of a planned stop: every owned slot goes to the
// live guard that rendezvous hashing assigns it to. Without another guard
// there are none; the keys are then unknown to the next owner.
func (l *Lessor) StopPlan(live []Identity) []MoveSlots {
	alive := make(map[Identity]bool, len(live))
	for _, id := range live {
		if _, ok := l.guards.byID[id]; ok && id != l.self {
			alive[id] = true
		}
	}
	if len(alive) == 0 {
		return nil
	}
	byTarget := make(map[Identity][]int)
	for _, i := range l.Owned() {
		to := rendezvous(i, alive)
		byTarget[to] = append(byTarget[to], i)
	}
	var out []MoveSlots
	for id, slots := range byTarget {
		out = append(out, MoveSlots{To: id, Addr: l.guards.byID[id].addr, Slots: slots})
	}
	slices.SortFunc(out, func(a, b MoveSlots) int { return a.To.Compare(b.To) })
	return out
}

// rebalance moves a few slots from self to the live guard with the fewest,
// when self owns more than its share. Without it the first guard of a service
// to start would own every slot for good.
func (l *Lessor) rebalance(now time.Time, live []Identity) (MoveSlots, bool) {
	if l.cfg.RebalanceEvery == 0 || len(l.pending) > 0 || l.proofAge(now) >= l.cfg.Validity/staleShare {
		return MoveSlots{}, false
	}
	if now.Sub(l.rebalanced) < l.cfg.RebalanceEvery {
		return MoveSlots{}, false
	}
	l.rebalanced = now
	count := make(map[Identity]int)
	for i := range l.slots {
		count[l.slots[i].owner]++
	}
	var to *guard
	n := 1
	for _, id := range slices.SortedFunc(slices.Values(live), Identity.Compare) {
		g, ok := l.guards.byID[id]
		if !ok || id == l.self {
			continue
		}
		n++
		if to == nil || count[id] < count[to.id] {
			to = g
		}
	}
	if to == nil {
		return MoveSlots{}, false
	}
	share := (l.cfg.Slots + n - 1) / n
	owned := l.Owned()
	k := min(len(owned)-share, share-count[to.id], max(1, l.cfg.Slots/moveShare))
	if k <= 0 {
		return MoveSlots{}, false
	}
	return MoveSlots{To: to.id, Addr: to.addr, Slots: owned[len(owned)-k:]}, true
}
