package lease

import (
	"cmp"
	"slices"
	"time"
)

// maxGone bounds how many ended incarnations are remembered. A service of ten
// guards that are replaced daily fills it in three months.
const maxGone = 1024

// guard is a member of the service as the log has it.
type guard struct {
	id   Identity
	addr string
	// joined is the offset of its join record.
	joined int64
	// head is the newest log head that the guard said it has proof of.
	head int64
	// evictedAt is when its evict record was read; zero for a member. An
	// evicted process may still run: only its later records are void.
	evictedAt time.Time
}

// guards is the fold of membership records that ownership needs: who may take
// slots over, and who is certainly not running any more.
type guards struct {
	byID  map[Identity]*guard
	gone  map[string]uint64 // node to highest incarnation whose records are void
	order []string          // nodes in gone, oldest first
}

func newGuards() guards {
	return guards{byID: make(map[Identity]*guard), gone: make(map[string]uint64)}
}

// join adds a guard and drops those that it replaces: two processes cannot
// hold one address, nor two lives of a node run at once.
func (g *guards) join(offset int64, id Identity, addr string, serves bool) bool {
	if g.isGone(id) {
		return false
	}
	for _, old := range g.byID {
		if (old.id.Node == id.Node || old.addr == addr) && old.id.Incarnation > id.Incarnation {
			return false
		}
	}
	for _, old := range g.sorted() {
		if old.id != id && (old.id.Node == id.Node || old.addr == addr) {
			g.stop(old.id)
		}
	}
	if _, known := g.byID[id]; !known && serves {
		g.byID[id] = &guard{id: id, addr: addr, joined: offset}
	}
	return true
}

// stop forgets a guard that certainly no longer runs.
func (g *guards) stop(id Identity) {
	delete(g.byID, id)
	g.void(id)
}

// evict voids later records of a guard that may still run.
func (g *guards) evict(now time.Time, id Identity) {
	if m, ok := g.byID[id]; ok && m.evictedAt.IsZero() {
		m.evictedAt = now
	}
	g.void(id)
}

func (g *guards) void(id Identity) {
	inc, ok := g.gone[id.Node]
	if !ok {
		g.order = append(g.order, id.Node)
	}
	g.gone[id.Node] = max(inc, id.Incarnation)
	if len(g.order) > maxGone {
		delete(g.gone, g.order[0])
		g.order = g.order[1:]
	}
}

func (g *guards) isGone(id Identity) bool {
	inc, ok := g.gone[id.Node]
	return ok && id.Incarnation <= inc
}

// prune forgets evicted guards whose promises cannot count any more.
func (g *guards) prune(now time.Time, limit time.Duration) {
	for id, m := range g.byID {
		if !m.evictedAt.IsZero() && now.Sub(m.evictedAt) >= limit {
			delete(g.byID, id)
		}
	}
}

// takers returns the guards other than self whose takeover records count.
func (g *guards) takers(self Identity) []*guard {
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
		return cmp.Or(cmp.Compare(a.joined, b.joined), a.id.Compare(b.id))
	})
	return out
}
