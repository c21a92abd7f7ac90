package lease

import (
	"cmp"
	"slices"
	"time"
)

// State is the fold of a prefix of the log. A guard starts from it if the log no longer holds that
// prefix or cannot be read.
type State struct {
	// Next is the offset after the last folded record.
	Next   int64        `json:"next"`
	Slots  []SlotState  `json:"slots"`
	Guards []GuardState `json:"guards"`
	// Gone lists, by node, the highest incarnation whose records are void. All earlier
	// incarnations of the node are void as well.
	Gone []Identity `json:"gone,omitempty"`
}

// SlotState is the state of one slot that has an owner.
type SlotState struct {
	Slot   int      `json:"slot"`
	Owner  Identity `json:"owner"`
	Addr   string   `json:"addr"`
	Offset int64    `json:"offset"`
	First  int64    `json:"first"`
}

// GuardState is the state of one guard of the service.
type GuardState struct {
	ID      Identity `json:"id"`
	Addr    string   `json:"addr"`
	Joined  int64    `json:"joined"`
	Evicted bool     `json:"evicted,omitempty"`
}

// State returns the fold. It does not contain state that only self has, such as head observations
// and promises.
func (l *Lessor) State() State {
	st := State{Next: l.nextOffset}
	for i := range l.slots {
		s := &l.slots[i]
		if s.owner.IsZero() {
			continue
		}
		st.Slots = append(st.Slots, SlotState{Slot: i, Owner: s.owner, Addr: s.addr, Offset: s.lastOffset, First: s.firstOffset})
	}
	for _, g := range l.guards.sorted() {
		st.Guards = append(st.Guards, GuardState{ID: g.id, Addr: g.addr, Joined: g.joinOffset, Evicted: !g.evictedAt.IsZero()})
	}
	for _, node := range l.guards.voidOrder {
		st.Gone = append(st.Gone, Identity{Node: node, Incarnation: l.guards.voidIncarnations[node]})
	}
	return st
}

// Restore starts from the fold of another guard. It does nothing if a record was folded already.
// It must be called before self joins.
func (l *Lessor) Restore(now time.Time, st State) {
	if l.nextOffset > 0 {
		return
	}
	l.nextOffset = st.Next
	for _, ss := range st.Slots {
		if ss.Slot < 0 || ss.Slot >= len(l.slots) || ss.Owner == l.self {
			continue
		}
		l.slots[ss.Slot] = slot{owner: ss.Owner, addr: ss.Addr, lastOffset: ss.Offset, firstOffset: ss.First, readAt: now}
	}
	slices.SortFunc(st.Guards, func(a, b GuardState) int { return cmp.Compare(a.Joined, b.Joined) })
	for _, gs := range st.Guards {
		g := &guard{id: gs.ID, addr: gs.Addr, joinOffset: gs.Joined}
		if gs.Evicted {
			// The age of the eviction is unknown; counting from now gives the longer wait.
			g.evictedAt = now
		}
		l.guards.byID[gs.ID] = g
	}
	for _, id := range st.Gone {
		l.guards.voidRecords(id)
	}
}
