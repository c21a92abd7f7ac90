package lease

import (
	"cmp"
	"slices"
	"time"
)

// maxVoided limits the number of nodes whose ended incarnations are recorded. A service of ten
// guards that are replaced daily reaches it in three months.
const maxVoided = 1024

// guard is a member of the service according to the log.
type guard struct {
	id   Identity
	addr string
	// joinOffset is the offset of the join record.
	joinOffset int64
	// reportedHead is the newest log head that the guard reported to have observed.
	reportedHead int64
	// evictedAt is the time at which the evict record was read; zero if there is none. An evicted
	// process may still run: only its later records are void.
	evictedAt time.Time
}

// guards is the fold of the membership records that ownership depends on: the guards that may take
// over slots, and the incarnations that have certainly stopped or whose records are void. The fold
// ignores joins and takeovers of an incarnation whose records are void.
type guards struct {
	byID             map[Identity]*guard
	voidIncarnations map[string]uint64 // by node: the highest incarnation whose records are void
	voidOrder        []string          // the nodes in voidIncarnations, oldest first
}

func newGuards() guards {
	return guards{byID: make(map[Identity]*guard), voidIncarnations: make(map[string]uint64)}
}

// join adds a guard and removes the guards that it replaces: two processes cannot have one
// address, and two incarnations of a node cannot run at once.
func (g *guards) join(offset int64, id Identity, addr string, serves bool) bool {
	if g.isVoid(id) {
		return false
	}
	for _, old := range g.byID {
		if (old.id.Node == id.Node || old.addr == addr) && old.id.Incarnation > id.Incarnation {
			return false
		}
	}
	for _, old := range g.sorted() {
		if old.id != id && (old.id.Node == id.Node || old.addr == addr) {
			g.markStopped(old.id)
		}
	}
	if _, known := g.byID[id]; !known && serves {
		g.byID[id] = &guard{id: id, addr: addr, joinOffset: offset}
	}
	return true
}

// markStopped removes a guard that has certainly stopped and voids its later records.
func (g *guards) markStopped(id Identity) {
	delete(g.byID, id)
	g.voidRecords(id)
}

// evict voids the later records of a guard that may still run.
func (g *guards) evict(now time.Time, id Identity) {
	if m, ok := g.byID[id]; ok && m.evictedAt.IsZero() {
		m.evictedAt = now
	}
	g.voidRecords(id)
}

func (g *guards) voidRecords(id Identity) {
	inc, ok := g.voidIncarnations[id.Node]
	if !ok {
		g.voidOrder = append(g.voidOrder, id.Node)
	}
	g.voidIncarnations[id.Node] = max(inc, id.Incarnation)
	if len(g.voidOrder) > maxVoided {
		delete(g.voidIncarnations, g.voidOrder[0])
		g.voidOrder = g.voidOrder[1:]
	}
}

func (g *guards) isVoid(id Identity) bool {
	inc, ok := g.voidIncarnations[id.Node]
	return ok && id.Incarnation <= inc
}

// prune removes evicted guards whose promises can no longer count.
func (g *guards) prune(now time.Time, limit time.Duration) {
	for id, m := range g.byID {
		if !m.evictedAt.IsZero() && now.Sub(m.evictedAt) >= limit {
			delete(g.byID, id)
		}
	}
}

// contenders returns the guards other than self whose takeover records are valid.
func (g *guards) contenders(self Identity) []*guard {
	return slices.DeleteFunc(g.sorted(), func(m *guard) bool {
		return m.id == self || !m.evictedAt.IsZero()
	})
}

func (g *guards) sorted() []*guard {
	out := make([]*guard, 0, len(g.byID))
	for _, m := range g.byID {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b *guard) int {
		return cmp.Or(cmp.Compare(a.joinOffset, b.joinOffset), a.id.Compare(b.id))
	})
	return out
}
