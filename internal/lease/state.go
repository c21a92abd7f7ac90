package lease

import (
	"cmp"
	"slices"
	"time"
)

// State is the fold of a prefix of the log, for a guard that starts when the
// log no longer holds that prefix, or cannot be read.
type State struct {
	// Next is the offset after the last record folded.
	Next   int64        `json:"next"`
	Slots  []SlotState  `json:"slots"`
	Guards []GuardState `json:"guards"`
	// Gone are incarnations whose records are void, with all before them.
	Gone []Identity `json:"gone,omitempty"`
}

// SlotState is one slot that has an owner.
type SlotState struct {
	Slot   int      `json:"slot"`
	Owner  Identity `json:"owner"`
	Addr   string   `json:"addr"`
	Offset int64    `json:"offset"`
	First  int64    `json:"first"`
}

// GuardState is one guard of the service.
type GuardState struct {
	ID      Identity `json:"id"`
	Addr    string   `json:"addr"`
	Joined  int64    `json:"joined"`
	Evicted bool     `json:"evicted,omitempty"`
}

// State returns the fold. What only self knows, such as proofs and promises,
// is not part of it.
func (l *Lessor) State() State {
	st := State{Next: l.next}
	for i := range l.slots {
		s := &l.slots[i]
		if s.owner.IsZero() {
			continue
		}
		st.Slots = append(st.Slots, SlotState{Slot: i, Owner: s.owner, Addr: s.addr, Offset: s.offset, First: s.first})
	}
	for _, g := range l.guards.sorted() {
		st.Guards = append(st.Guards, GuardState{ID: g.id, Addr: g.addr, Joined: g.joined, Evicted: !g.evictedAt.IsZero()})
	}
	for _, node := range l.guards.order {
		st.Gone = append(st.Gone, Identity{Node: node, Incarnation: l.guards.gone[node]})
	}
	return st
}

// Restore begins with a fold that another guard made; it does nothing once a
// record was folded here. It must come before self joins.
func (l *Lessor) Restore(now time.Time, st State) {
	if l.next > 0 {
		return
	}
	l.next = st.Next
	for _, ss := range st.Slots {
		if ss.Slot < 0 || ss.Slot >= len(l.slots) || ss.Owner == l.self {
			continue
		}
		l.slots[ss.Slot] = slot{owner: ss.Owner, addr: ss.Addr, offset: ss.Offset, first: ss.First, read: now}
	}
	slices.SortFunc(st.Guards, func(a, b GuardState) int { return cmp.Compare(a.Joined, b.Joined) })
	for _, gs := range st.Guards {
		g := &guard{id: gs.ID, addr: gs.Addr, joined: gs.Joined}
		if gs.Evicted {
			// The age of the eviction is unknown; counting from now is
			// the longer wait.
			g.evictedAt = now
		}
		l.guards.byID[gs.ID] = g
	}
	for _, id := range st.Gone {
		l.guards.void(id)
	}
}
