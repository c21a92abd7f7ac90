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

// zoneModel simulates a few entry nodes that send to a few guards in virtual time. It uses the real
// choice of upstreams and the real admission control.
type zoneModel struct {
	*testclock.Clock
	rng         *rand.Rand
	attempts    int
	requests    int
	tables      []*Table
	guards      map[string]*zoneGuard
	guardNames  []string
	serviceTime time.Duration
	// entry chooses the entry node of a request.
	entry func() *Table
	// remote counts the attempts outside the zone of the entry node while counting is set.
	remote int
	// waits are the times that calls waited at guards while counting is set.
	waits []time.Duration
	// answered, refusedAtEntry and refusedAtGuard count requests while counting is set: those with
	// a response, those that an entry node refused without contacting a guard, and those that
	// guards refused.
	answered, refusedAtEntry, refusedAtGuard int
	counting                                 bool
}

type zoneGuard struct {
	ctl   *admission.Controller
	calls map[string]*zoneCall
}

// zoneCall is an attempt at a guard.
type zoneCall struct {
	guard  *zoneGuard
	target *Target
	sentAt time.Time
	done   func(refused bool)
}

// networkDelay is the one-way latency between an entry node and a guard.
const networkDelay = 200 * time.Microsecond

func newZoneModel(entries, guards, slots int, serviceTime time.Duration) *zoneModel {
	m := &zoneModel{Clock: testclock.New(origin), rng: rand.New(rand.NewPCG(5, 6)), guards: map[string]*zoneGuard{}, serviceTime: serviceTime}
	m.entry = func() *Table { return m.tables[m.rng.IntN(len(m.tables))] }
	eps := m.addGuards("saga", guards, slots)
	m.addEntries("saga", entries, eps)
	m.After(10*time.Millisecond, m.tick)
	return m
}

// addGuards adds guards of a zone and returns their endpoints.
func (m *zoneModel) addGuards(zone string, guards, slots int) []Endpoint {
	var eps []Endpoint
	for i := range guards {
		ep := upstream(zone, i, slots).ep
		eps = append(eps, ep)
		m.guards[ep.Node] = &zoneGuard{ctl: admission.New(admission.DefaultConfig(slots), m.Now()), calls: map[string]*zoneCall{}}
		m.guardNames = append(m.guardNames, ep.Node)
	}
	return eps
}

func (m *zoneModel) addEntries(zone string, entries int, eps []Endpoint) {
	for i := range entries {
		self := Self{Node: fmt.Sprintf("entry-%s-%d", zone, i), Region: "kyushu", Zone: zone}
		m.tables = append(m.tables, NewTable(nil, DefaultConfig(), self, eps, m.Now()))
	}
}

func (m *zoneModel) tick() {
	for _, name := range m.guardNames {
		g := m.guards[name]
		m.apply(g, g.ctl.Tick(m.Now()))
	}
	m.After(10*time.Millisecond, m.tick)
}

// generateLoad generates requests at a rate, each at a random entry node.
func (m *zoneModel) generateLoad(perSecond float64) {
	m.request()
	m.After(time.Duration(m.rng.ExpFloat64()/perSecond*float64(time.Second)), func() { m.generateLoad(perSecond) })
}

func (m *zoneModel) request() {
	table := m.entry()
	m.requests++
	hash := callctx.HashCaller("default", fmt.Sprintf("request%d", m.requests))
	m.attempt(table, hash, nil)
}

// attempt sends a request to a guard. After a refusal it retries once at another guard.
func (m *zoneModel) attempt(table *Table, hash uint32, avoid []string) {
	rank := admission.Rank(callctx.LevelNormal, hash)
	target, refusal := table.Pick(m.Now(), m.rng, PickInfo{Service: "archive", Rank: rank, Avoid: avoid})
	if refusal != nil {
		m.count(avoid == nil, true)
		return
	}
	node := target.Endpoint().Node
	target.Start(m.Now())
	m.attempts++
	if m.counting && target.Endpoint().Zone != table.self.Zone {
		m.remote++
	}
	id := strconv.Itoa(m.attempts)
	call := &zoneCall{guard: m.guards[node], target: target, sentAt: m.Now()}
	call.done = func(refused bool) {
		if refused && avoid == nil {
			m.attempt(table, hash, []string{node})
			return
		}
		m.count(false, refused)
	}
	m.After(networkDelay, func() { m.arrive(call, id, hash) })
}

func (m *zoneModel) count(atEntry, refused bool) {
	switch {
	case !m.counting:
	case atEntry:
		m.refusedAtEntry++
	case refused:
		m.refusedAtGuard++
	default:
		m.answered++
	}
}

func (m *zoneModel) arrive(c *zoneCall, id string, hash uint32) {
	c.guard.calls[id] = c
	decision, decisions := c.guard.ctl.Offer(m.Now(), admission.Request{
		ID: id, Level: callctx.LevelNormal, CallerHash: hash, RootAdmitted: m.Now(), Deadline: m.Now().Add(time.Second),
	})
	m.apply(c.guard, decisions)
	m.apply(c.guard, []admission.Decision{decision})
}

func (m *zoneModel) apply(g *zoneGuard, decisions []admission.Decision) {
	for _, d := range decisions {
		c := g.calls[d.ID]
		switch {
		case c == nil || d.Verdict == admission.Wait:
		case d.Verdict == admission.Refuse:
			delete(g.calls, d.ID)
			m.respond(c, Refused)
		default:
			m.serve(c, d.ID)
		}
	}
}

func (m *zoneModel) serve(c *zoneCall, id string) {
	if m.counting {
		m.waits = append(m.waits, m.Now().Sub(c.sentAt)-networkDelay)
	}
	took := time.Duration((0.8 + 0.4*m.rng.Float64()) * float64(m.serviceTime))
	m.After(took, func() {
		delete(c.guard.calls, id)
		m.apply(c.guard, c.guard.ctl.Finish(m.Now(), id, admission.Answered, took))
		m.respond(c, Answered)
	})
}

// respond sends a response with the guard's current load.
func (m *zoneModel) respond(c *zoneCall, o Outcome) {
	l := c.guard.ctl.Load()
	report := &LoadReport{InFlight: l.InFlight, Queued: l.Queued, Limit: l.Limit, Threshold: l.Threshold, Overloaded: l.Overloaded, Incarnation: 1}
	m.After(networkDelay, func() {
		c.target.Done(m.Now(), o, m.Now().Sub(c.sentAt), report)
		c.done(o == Refused)
	})
}

// Guards against slots that stay idle under mild overload because entry nodes refuse calls based on
// outdated load reports.
func TestEntriesKeepSmallGuardsBusyUnderMildOverload(t *testing.T) {
	const entries, guards, slots, overload = 3, 2, 8, 1.2
	const warmup, end = 2 * time.Second, 22 * time.Second
	serviceTime := 20 * time.Millisecond
	m := newZoneModel(entries, guards, slots, serviceTime)
	capacity := guards * slots / serviceTime.Seconds()
	m.generateLoad(overload * capacity)
	m.Run(warmup)
	m.counting = true
	m.Run(end)
	capacityCalls := capacity * (end - warmup).Seconds()
	t.Logf("answered %.3f of the capacity, refused %d at guards, %d at entries", float64(m.answered)/capacityCalls, m.refusedAtGuard, m.refusedAtEntry)
	must.GreaterEq(t, 0.95*capacityCalls, float64(m.answered))
}
