package fleet

import "time"

// absentFor is how long a member that went is looked for: a process is started
// again within seconds, and one that stays away costs nothing after that.
const absentFor = time.Minute

// Absent decides which members may have been started again without being able
// to say so: a node that starts cut off from the store knows nobody and has no
// routes, and nobody reads its new record. Those who know where it was can tell it.
// It is not safe for concurrent use.
type Absent struct {
	since map[string]absence
}

type absence struct {
	incarnation uint64
	at          time.Time
}

// NewAbsent returns one that misses nobody.
func NewAbsent() *Absent { return &Absent{since: make(map[string]absence)} }

// Due returns the members to be looked for. Those that don't serve, by their own
// record or because calls fail to reach them, are looked for until a newer record
// of them serves or absentFor is over.
func (a *Absent) Due(now time.Time, members []Member, unreached func(node string) bool) []Member {
	var due []Member
	for i := range members {
		m := &members[i]
		if m.State == Serving && !unreached(m.Node) {
			delete(a.since, m.Node)
			continue
		}
		if a.awaited(now, m) {
			due = append(due, *m)
		}
	}
	return due
}

func (a *Absent) awaited(now time.Time, m *Member) bool {
	seen, ok := a.since[m.Node]
	if !ok || seen.incarnation != m.Incarnation {
		seen = absence{incarnation: m.Incarnation, at: now}
		a.since[m.Node] = seen
	}
	return now.Sub(seen.at) < absentFor
}
