package fleet

import "time"

// introductionPeriod is the time for which an absent member is contacted. A process restarts
// within seconds; contacting a member that does not return costs nothing after this time.
const introductionPeriod = time.Minute

// Absent selects the members that may have restarted and need an introduction, which is an exchange
// of member records started by another node. A node that starts while it is partitioned from the
// store knows no other node and has no routes, and its new record reaches no other node. Nodes that
// still have the record of its previous process know its address and can contact it. An Absent is
// not safe for concurrent use.
type Absent struct {
	absences map[string]absence
}

// absence is the incarnation of an absent member and the time at which its absence was noticed.
type absence struct {
	incarnation uint64
	since       time.Time
}

// NewAbsent returns an Absent that tracks no members.
func NewAbsent() *Absent { return &Absent{absences: make(map[string]absence)} }

// Due returns the members to contact. A member is absent if its record is not in state Serving or if
// calls do not reach it. An absent member is due until introductionPeriod is over, or until a newer
// record of it is in state Serving and calls reach it.
func (a *Absent) Due(now time.Time, members []Member, unreachable func(node string) bool) []Member {
	var due []Member
	for i := range members {
		m := &members[i]
		if m.State == Serving && !unreachable(m.Node) {
			delete(a.absences, m.Node)
			continue
		}
		if a.withinIntroductionPeriod(now, m) {
			due = append(due, *m)
		}
	}
	return due
}

// withinIntroductionPeriod reports whether the current absence of m began less than
// introductionPeriod ago.
func (a *Absent) withinIntroductionPeriod(now time.Time, m *Member) bool {
	absent, ok := a.absences[m.Node]
	if !ok || absent.incarnation != m.Incarnation {
		absent = absence{incarnation: m.Incarnation, since: now}
		a.absences[m.Node] = absent
	}
	return now.Sub(absent.since) < introductionPeriod
}
