package share

import (
	"maps"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Mix is the part of the requests at each level, among those whose routes set the level. Its sum is 1.
type Mix [callctx.Levels]float64

// Table maps the requests of workspaces to positions. It is immutable.
type Table struct {
	demand *Demand
	book   *Book
	mix    Mix
	levels [callctx.Levels]*curve
}

// NewTable returns the table of a demand. It needs time in proportion to the workspaces that are listed,
// not to all of the configuration.
//
// The distribution is that of the demand that all nodes know alike. What this node alone knows of a
// workspace changes the numbers of its requests only, since positions of different nodes are compared.
func NewTable(d *Demand, b *Book, mix Mix) *Table {
	t := &Table{demand: d, book: b, mix: mix}
	var members [callctx.Levels][]member
	rest := b.groups
	listed := 0
	for _, name := range slices.Sorted(maps.Keys(d.listed)) {
		terms, known := b.byName[name]
		if !known {
			continue
		}
		listed++
		g := &rest[terms.group()]
		g.count--
		g.weight -= terms.Weight
		t.addMember(&members, d.listed[name], terms, 1)
	}
	active := min(1, float64(d.rest)/float64(max(b.Workspaces()-listed, 1)))
	for i, g := range rest {
		if g.count <= 0 || active <= 0 {
			continue
		}
		terms := Terms{Weight: max(g.weight/float64(g.count), MinWeight), Most: defaultTerms.Most, OwnLevel: i < callctx.Levels}
		if terms.OwnLevel {
			terms.Level = callctx.Level(i)
		}
		t.addRest(&members, terms, active*float64(g.count))
	}
	for level := range t.levels {
		t.levels[level] = newCurve(members[level])
	}
	return t
}

// restSpread are the demands of equal parts of the workspaces that are not listed, as multiples of their
// mean. Demands differ, and if all were taken for the mean, the requests of those above it would have the
// same position, at which a threshold sheds all of them or none.
var restSpread = [...]float64{0.25, 0.5, 0.75, 1, 1.5, 2}

// addRest adds a number of workspaces that are not listed.
func (t *Table) addRest(members *[callctx.Levels][]member, terms Terms, number float64) {
	for _, multiple := range restSpread {
		t.addMember(members, t.demand.restMean*multiple, terms, number/float64(len(restSpread)))
	}
}

// addMember adds a number of workspaces that are alike to the levels at which they send requests.
func (t *Table) addMember(members *[callctx.Levels][]member, rate float64, terms Terms, number float64) {
	for level := range members {
		m, ok := t.memberAt(rate, terms, callctx.Level(level))
		if !ok {
			continue
		}
		m.demand, m.least, m.most, m.weight = m.demand*number, m.least*number, m.most*number, m.weight*number
		members[level] = append(members[level], m)
	}
}

// memberAt returns a workspace as it competes at a level; false if it sends nothing there.
func (t *Table) memberAt(rate float64, terms Terms, level callctx.Level) (member, bool) {
	part := t.mix[level]
	if terms.OwnLevel {
		part = 0
		if terms.Level == level {
			part = 1
		}
	}
	if rate*part <= 0 {
		return member{}, false
	}
	terms.Least *= part
	terms.Most *= part
	return newMember(rate*part, terms), true
}

// Position returns the position of a request among all of its level, from 0 for the first to go up to
// 1. u is evenly distributed in [0, 1), as the positions of all requests are. It returns false if the
// demand of the workspace is unknown.
func (t *Table) Position(workspace string, level callctx.Level, u float64) (position float64, ok bool) {
	terms, known := t.book.byName[workspace]
	if !known || int(level) >= len(t.levels) || t.levels[level].total <= 0 {
		return 0, false
	}
	m, ok := t.memberAt(t.demand.Of(workspace), terms, level)
	if !ok {
		return 0, false
	}
	return min(max(t.levels[level].position(&m, u), 0), 1), true
}

// Share is what a workspace asks and may get at a level, in requests per second over all nodes.
type Share struct {
	Asked, Admitted float64
	// Weight is the weight of the workspace.
	Weight float64
}

// Ratio returns the part of the demand that is admitted, between 0 and 1.
func (s Share) Ratio() float64 {
	if s.Asked <= 0 {
		return 1
	}
	return min(1, s.Admitted/s.Asked)
}

const (
	// evenOdds is the part of a demand from which on a returning caller is served as likely as not, so
	// that its delay isn't lengthened.
	evenOdds = 0.5
	// maxRetrySpread bounds by how much a delay is lengthened.
	maxRetrySpread = 4
)

// RetryAfter lengthens the delay after which a refused caller is told to come back. The less of the
// demand fits, the longer the time over which the callers return.
func (s Share) RetryAfter(delay time.Duration) time.Duration {
	spread := maxRetrySpread * 1.0
	if ratio := s.Ratio(); ratio > 0 {
		spread = min(max(evenOdds/ratio, 1), maxRetrySpread)
	}
	return time.Duration(float64(delay) * spread)
}

// ShareAt returns the share of a workspace where requests from a position on are shed. It returns false
// if the demand of the workspace is unknown.
func (t *Table) ShareAt(workspace string, level callctx.Level, position float64) (Share, bool) {
	if int(level) >= len(t.levels) || t.levels[level].total <= 0 {
		return Share{}, false
	}
	terms := t.book.Of(workspace)
	m, ok := t.memberAt(t.demand.Of(workspace), terms, level)
	if !ok {
		return Share{}, false
	}
	return Share{Asked: m.demand, Admitted: t.levels[level].admitted(&m, position), Weight: m.weight}, true
}

// Over returns the share of a workspace over all levels. positions are those from which on requests of
// each level are shed.
func (t *Table) Over(workspace string, positions [callctx.Levels]float64) Share {
	sum := Share{Weight: t.book.Of(workspace).Weight}
	for level, position := range positions {
		if s, ok := t.ShareAt(workspace, callctx.Level(level), position); ok {
			sum.Asked += s.Asked
			sum.Admitted += s.Admitted
		}
	}
	return sum
}
