package routing

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/testclock"
)

// zoneModel is a few entries that send to a few guards in virtual time: the real choice of
// upstreams before the real admission.
type zoneModel struct {
	*testclock.Clock
	rng    *rand.Rand
	sent   int
	asked  int
	tables []*Table
	guards map[string]*zoneGuard
	usual  time.Duration
	// answered and early count requests since counting began: those with an answer, and
	// those that an entry refused without asking a guard.
	answered, early, refused int
	counting                 bool
}

type zoneGuard struct {
	ctl   *admission.Controller
	calls map[string]*zoneCall
}

// zoneCall is an attempt at a guard.
type zoneCall struct {
	guard  *zoneGuard
	target *Target
	sent   time.Time
	done   func(refused bool)
}

// hop is the time from an entry to a guard.
const hop = 200 * time.Microsecond

func newZoneModel(entries, guards, slots int, usual time.Duration) *zoneModel {
	m := &zoneModel{Clock: testclock.New(origin), rng: rand.New(rand.NewPCG(5, 6)), guards: map[string]*zoneGuard{}, usual: usual}
	var eps []Endpoint
	for i := range guards {
		ep := upstream("saga", i, slots).ep
		eps = append(eps, ep)
		m.guards[ep.Node] = &zoneGuard{ctl: admission.New(admission.DefaultConfig(slots), m.Now()), calls: map[string]*zoneCall{}}
	}
	for i := range entries {
		self := Self{Node: fmt.Sprintf("entry-%d", i), Region: "kyushu", Zone: "saga"}
		m.tables = append(m.tables, NewTable(nil, DefaultConfig(), self, eps, m.Now()))
	}
	m.After(10*time.Millisecond, m.tick)
	return m
}

func (m *zoneModel) tick() {
	for i := range len(m.guards) {
		g := m.guards[fmt.Sprintf("saga-%d", i)]
		m.apply(g, g.ctl.Tick(m.Now()))
	}
	m.After(10*time.Millisecond, m.tick)
}

// load lets requests come at a rate, each to any entry.
func (m *zoneModel) load(perSecond float64) {
	m.request()
	m.After(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { m.load(perSecond) })
}

func (m *zoneModel) request() {
	table := m.tables[m.rng.IntN(len(m.tables))]
	m.asked++
	hash := callctx.HashCaller("default", fmt.Sprintf("request%d", m.asked))
	m.attempt(table, hash, nil)
}

// attempt sends a request to a guard, and once more to another one after a refusal.
func (m *zoneModel) attempt(table *Table, hash uint32, avoid []string) {
	rank := admission.Rank(callctx.LevelNormal, hash)
	target, refusal := table.Pick(m.Now(), m.rng, PickInfo{Service: "archive", Rank: rank, Avoid: avoid})
	if refusal != nil {
		m.count(avoid == nil, true)
		return
	}
	node := target.Endpoint().Node
	target.Start(m.Now())
	m.sent++
	id := strconv.Itoa(m.sent)
	call := &zoneCall{guard: m.guards[node], target: target, sent: m.Now()}
	call.done = func(refused bool) {
		if refused && avoid == nil {
			m.attempt(table, hash, []string{node})
			return
		}
		m.count(false, refused)
	}
	m.After(hop, func() { m.arrive(call, id, hash) })
}

func (m *zoneModel) count(early, refused bool) {
	switch {
	case !m.counting:
	case early:
		m.early++
	case refused:
		m.refused++
	default:
		m.answered++
	}
}

func (m *zoneModel) arrive(c *zoneCall, id string, hash uint32) {
	c.guard.calls[id] = c
	d, others := c.guard.ctl.Offer(m.Now(), admission.Request{
		ID: id, Level: callctx.LevelNormal, CallerHash: hash, RootAdmitted: m.Now(), Deadline: m.Now().Add(time.Second),
	})
	m.apply(c.guard, others)
	m.apply(c.guard, []admission.Decision{d})
}

func (m *zoneModel) apply(g *zoneGuard, ds []admission.Decision) {
	for _, d := range ds {
		c := g.calls[d.ID]
		switch {
		case c == nil || d.Verdict == admission.Wait:
		case d.Verdict == admission.Refuse:
			delete(g.calls, d.ID)
			m.answer(c, Refused)
		default:
			m.serve(c, d.ID)
		}
	}
}

func (m *zoneModel) serve(c *zoneCall, id string) {
	took := time.Duration((0.8 + 0.4*m.rng.Float64()) * float64(m.usual))
	m.After(took, func() {
		delete(c.guard.calls, id)
		m.apply(c.guard, c.guard.ctl.Finish(m.Now(), id, admission.Answered, took))
		m.answer(c, Answered)
	})
}

// answer sends an answer back, with the guard's load as it is now.
func (m *zoneModel) answer(c *zoneCall, o Outcome) {
	l := c.guard.ctl.Load()
	report := &LoadReport{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit, Threshold: l.Threshold, Overloaded: l.Overloaded, Incarnation: 1}
	m.After(hop, func() {
		c.target.Done(m.Now(), o, m.Now().Sub(c.sent), report)
		c.done(o == Refused)
	})
}

// Guards against slots that stay empty under mild overload because entries refuse by
// outdated reports.
func TestEntriesKeepSmallGuardsBusyUnderMildOverload(t *testing.T) {
	const entries, guards, slots, overload = 3, 2, 8, 1.2
	const settled, end = 2 * time.Second, 22 * time.Second
	usual := 20 * time.Millisecond
	m := newZoneModel(entries, guards, slots, usual)
	capacity := guards * slots / usual.Seconds()
	m.load(overload * capacity)
	m.Run(settled)
	m.counting = true
	m.Run(end)
	room := capacity * (end - settled).Seconds()
	t.Logf("answered %.3f of the room, refused %d at guards, %d at entries", float64(m.answered)/room, m.refused, m.early)
	must.GreaterEq(t, 0.95*room, float64(m.answered))
}
