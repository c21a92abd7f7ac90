package share

import (
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

// NewTable returns the table of a demand. It needs time in proportion to the workspaces that the zones
// list, not to all of the configuration.
func NewTable(d *Demand, b *Book, mix Mix) *Table {
	t := &Table{demand: d, book: b, mix: mix}
	var members [callctx.Levels][]member
	listedLevelless := 0
	var listedByLevel [callctx.Levels]int
	for name, rate := range d.byName {
		terms, known := b.byName[name]
		if !known {
			continue
		}
		if terms.OwnLevel {
			listedByLevel[terms.Level]++
		} else {
			listedLevelless++
		}
		for level := range callctx.Levels {
			if m, ok := t.memberAt(rate, terms, callctx.Level(level)); ok {
				members[level] = append(members[level], m)
			}
		}
	}
	t.addRest(&members, b.levelless-listedLevelless, Terms{Weight: 1, Most: defaultTerms.Most})
	for level, n := range b.byLevel {
		rest := Terms{Weight: 1, Most: defaultTerms.Most, OwnLevel: true, Level: callctx.Level(level)}
		t.addRest(&members, n-listedByLevel[level], rest)
	}
	for level := range t.levels {
		t.levels[level] = newCurve(members[level])
	}
	return t
}

// addRest adds n workspaces that no zone lists, as one member: they count as alike.
func (t *Table) addRest(members *[callctx.Levels][]member, n int, terms Terms) {
	unlisted := t.book.Workspaces() - len(t.demand.byName)
	if n <= 0 || unlisted <= 0 {
		return
	}
	active := float64(n) * min(1, float64(t.demand.rest)/float64(unlisted))
	for level := range members {
		if m, ok := t.memberAt(t.demand.restMean, terms, callctx.Level(level)); ok && active > 0 {
			m.demand, m.least, m.most, m.weight = m.demand*active, m.least*active, m.most*active, m.weight*active
			members[level] = append(members[level], m)
		}
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
