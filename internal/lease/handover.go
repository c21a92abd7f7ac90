package lease

import (
	"slices"
	"time"
)

// HandOver states that an owner has stopped starting calls in some slots, and that the receiver
// gets the owner's records of the keys in these slots. It is sent together with the exported keys.
type HandOver struct {
	From  Identity     `json:"from"`
	Slots []HandedSlot `json:"slots"`
}

// HandedSlot is one slot of a HandOver. Durations count from Release on the sender's clock. The
// receiver counts them from the later time of arrival, so at the receiver they end late, which
// delays or refuses calls, and never early, which could run a call twice.
type HandedSlot struct {
	Slot int `json:"slot"`
	// Offset is the offset of the record by which the sender owned the slot.
	Offset int64 `json:"offset"`
	// EffectiveIn is the remaining time until the sender's own takeover takes effect.
	EffectiveIn time.Duration `json:"effectiveIn,omitempty"`
	// UnknownBefore is the wall clock time before which issued keys have an unknown outcome at the
	// sender; zero if there are none. It is only compared with wall clock times. UnknownFor is the
	// remaining time during which they stay unknown.
	UnknownBefore time.Time     `json:"unknownBefore,omitzero"`
	UnknownFor    time.Duration `json:"cleanIn,omitempty"`
}

// Release returns the hand-over of the slots for the receiver at addr. From then on self starts no
// calls in these slots, until it has taken them over again. The caller waits for the running calls,
// exports the keys of the slots, and sends the hand-over with the keys. If the receiver does not
// accept the hand-over, the caller must call Reclaim.
func (l *Lessor) Release(now time.Time, addr string, slots []int) HandOver {
	h := HandOver{From: l.self}
	for _, i := range slots {
		if i < 0 || i >= len(l.slots) {
			continue
		}
		s := &l.slots[i]
		if s.owner != l.self || s.released || l.pendingTakeovers[i] {
			continue
		}
		s.released = true
		s.releasedTo = addr
		h.Slots = append(h.Slots, l.handedSlot(now, i))
	}
	return h
}

func (l *Lessor) handedSlot(now time.Time, i int) HandedSlot {
	s := &l.slots[i]
	handed := HandedSlot{
		Slot:        i,
		Offset:      s.lastOffset,
		EffectiveIn: l.cfg.withDrift(max(0, s.effectiveAt.Sub(now))),
	}
	if !s.unknownBefore.IsZero() && now.Before(s.unknownUntil) {
		handed.UnknownBefore = s.unknownBefore.Round(0)
		handed.UnknownFor = l.cfg.withDrift(s.unknownUntil.Sub(now))
	}
	return handed
}

// Reclaim returns the takeover record that takes back released slots after the receiver refused the
// hand-over or did not respond. It returns false if there are none or self is no longer a member.
// The log decides between the two guards: if the receiver's takeover comes first, the returned
// record has no effect.
func (l *Lessor) Reclaim(now time.Time) (AppendTakeover, bool) {
	var slots []int
	for i := range l.slots {
		s := &l.slots[i]
		if s.owner == l.self && s.released && !l.pendingTakeovers[i] {
			slots = append(slots, i)
		}
	}
	if l.stopped || len(slots) == 0 {
		return AppendTakeover{}, false
	}
	return l.newTakeover(now, slots), true
}

// ImportedHandOver records that self has the sender's complete records of the keys in the slots.
// Plan then takes over these slots without a wait, and no keys are unknown except those that were
// unknown to the sender. It returns false if self cannot take over the slots; the sender must then
// call Reclaim.
func (l *Lessor) ImportedHandOver(now time.Time, h HandOver) bool {
	if !l.Eligible(now) {
		return false
	}
	for _, hs := range h.Slots {
		if hs.Slot < 0 || hs.Slot >= len(l.slots) {
			continue
		}
		if l.slots[hs.Slot].lastOffset > hs.Offset {
			continue
		}
		if l.givenPromises[hs.Slot].to == h.From {
			// The promise protected the sender, which starts no more calls in this slot.
			delete(l.givenPromises, hs.Slot)
		}
		r := importedSlot{from: h.From, offset: hs.Offset, effectiveAt: now.Add(hs.EffectiveIn)}
		if !hs.UnknownBefore.IsZero() {
			r.unknownBefore = hs.UnknownBefore
			r.unknownUntil = now.Add(hs.UnknownFor)
		}
		l.importedSlots[hs.Slot] = r
	}
	return true
}

// StopPlan returns the moves of a planned stop: each owned slot goes to the live guard that
// rendezvous hashing assigns it to. If there is no other live guard it returns no moves, and the
// keys have an unknown outcome at the next owner.
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
		target := rendezvous(i, alive)
		byTarget[target] = append(byTarget[target], i)
	}
	var out []MoveSlots
	for id, slots := range byTarget {
		out = append(out, MoveSlots{To: id, Addr: l.guards.byID[id].addr, Slots: slots})
	}
	slices.SortFunc(out, func(a, b MoveSlots) int { return a.To.Compare(b.To) })
	return out
}

// rebalance moves a few slots from self to the live guard with the fewest slots, if self owns more
// than its share. Without it, the first guard of a service to start would own every slot
// permanently.
func (l *Lessor) rebalance(now time.Time, live []Identity) (MoveSlots, bool) {
	if l.cfg.RebalanceEvery == 0 || len(l.pendingTakeovers) > 0 || l.headAge(now) >= l.cfg.Validity/headStaleDivisor {
		return MoveSlots{}, false
	}
	if now.Sub(l.lastRebalance) < l.cfg.RebalanceEvery {
		return MoveSlots{}, false
	}
	l.lastRebalance = now
	count := make(map[Identity]int)
	for i := range l.slots {
		count[l.slots[i].owner]++
	}
	var target *guard
	liveGuards := 1
	for _, id := range slices.SortedFunc(slices.Values(live), Identity.Compare) {
		g, ok := l.guards.byID[id]
		if !ok || id == l.self {
			continue
		}
		liveGuards++
		if target == nil || count[id] < count[target.id] {
			target = g
		}
	}
	if target == nil {
		return MoveSlots{}, false
	}
	share := (l.cfg.Slots + liveGuards - 1) / liveGuards
	owned := l.Owned()
	moves := min(len(owned)-share, share-count[target.id], max(1, l.cfg.Slots/maxMoveDivisor))
	if moves <= 0 {
		return MoveSlots{}, false
	}
	return MoveSlots{To: target.id, Addr: target.addr, Slots: owned[len(owned)-moves:]}, true
}
