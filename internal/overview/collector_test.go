package overview

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func report(node string, sequence uint64) Report {
	return Report{
		Node: node, Zone: "r/a", Incarnation: 1, Sequence: sequence, IntervalMillis: 500,
		Workspaces: []WorkspaceDemand{{"w", 10}}, Calls: []ServiceDemand{{"checks", 40}},
		Upstream: &Capacity{Service: "checks", Upstreams: 1, Slots: 8, Busy: 4, Kinds: []KindTime{{1, 0.1, 30}}},
	}
}

// collect adds reports, and repeats the last one until the sum is complete.
func collect(c *Collector, reports ...Report) time.Time {
	for i := range reports {
		_ = c.Add(start, &reports[i])
	}
	last := reports[len(reports)-1]
	last.Sequence += 1000
	_ = c.Add(start.Add(time.Second), &last)
	return start.Add(time.Second)
}

// Guards against sums that depend on the order of the reports or on reports that come twice: two
// collectors of a zone would then tell different things.
func TestSumsDontDependOnOrderOrRepetition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Report
		for i := range rapid.IntRange(1, 8).Draw(t, "nodes") {
			for sequence := range rapid.Uint64Range(1, 3).Draw(t, "reports") {
				r := report(fmt.Sprintf("n%d", i), sequence+1)
				r.Workspaces[0].PerSecond = rapid.Float64Range(0, 1e6).Draw(t, "rate")
				r.Upstream.Busy = rapid.Float64Range(0, 9).Draw(t, "busy")
				reports = append(reports, r)
			}
		}
		last := report("n0", 5)
		first := NewCollector("r/a")
		now := collect(first, append(reports, last)...)
		second := NewCollector("r/a")
		shuffled := append(append([]Report{}, reports...), reports...)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		collect(second, append(shuffled, last)...)
		a, known := first.Sum(now)
		must.True(t, known)
		b, _ := second.Sum(now)
		must.Eq(t, a, b)
	})
}

// Guards against a node that left, or a zone that was cut off, whose demand and room count permanently.
func TestOldReportsAndSumsAreDropped(t *testing.T) {
	c := NewCollector("r/a")
	now := collect(c, report("n1", 1), report("n2", 1))
	must.NoError(t, c.AddZone(now, &Zone{Name: "r/b", Nodes: 3, Calls: []ServiceDemand{{"checks", 7}}}))
	own := report("n2", 9999)
	sum, known := c.Sum(now)
	must.True(t, known)
	must.Eq(t, 2, sum.Nodes)
	must.Len(t, 2, c.Answer(now.Add(time.Second), &own).Zones)

	now = now.Add(1300 * time.Millisecond)
	sum, _ = c.Sum(now)
	must.Eq(t, 1, sum.Nodes, must.Sprint("the report of n1 is older than 3 intervals"))
	now = now.Add(3 * time.Second)
	_, known = c.Sum(now)
	must.False(t, known)
	must.Len(t, 0, c.Answer(now, &own).Zones)
}

// Guards against a new collector that passes on the sum of the first few nodes: the zone would seem to
// have little demand and little room.
func TestNewCollectorWaitsForAllNodes(t *testing.T) {
	c := NewCollector("r/a")
	r := report("n1", 1)
	must.NoError(t, c.Add(start, &r))
	_, known := c.Sum(start.Add(700 * time.Millisecond))
	must.False(t, known)
	_, known = c.Sum(start.Add(800 * time.Millisecond))
	must.True(t, known)
}

// Guards against sums that are gone for a moment whenever the collector of the zone changes, and against a
// zone that is cut off and kept by the nodes.
func TestViewKeepsZonesWhileTheCollectorChanges(t *testing.T) {
	previous := &View{
		ReceivedAt: start, Zones: []Zone{{Name: "r/a", AgeMillis: 100}, {Name: "r/b", AgeMillis: 1400}},
		Workspaces: []WorkspaceDemand{{"w", 7}}, Total: RestDemand{1, 7},
	}
	now := start.Add(500 * time.Millisecond)
	v := &View{ReceivedAt: now}
	v.KeepFrom(previous, now)
	must.Eq(t, []Zone{{Name: "r/a", AgeMillis: 600}, {Name: "r/b", AgeMillis: 1900}}, v.Zones)
	must.Eq(t, previous.Workspaces, v.Workspaces)

	next := start.Add(time.Second)
	v2 := &View{ReceivedAt: next, Zones: []Zone{{Name: "r/b"}}, Total: RestDemand{1, 3}}
	v2.KeepFrom(v, next)
	must.Eq(t, []Zone{{Name: "r/a", AgeMillis: 1100}, {Name: "r/b"}}, v2.Zones)

	late := start.Add(3 * time.Second)
	v3 := &View{ReceivedAt: late, Zones: []Zone{{Name: "r/b"}}, Total: RestDemand{1, 3}}
	v3.KeepFrom(v2, late)
	must.Len(t, 1, v3.Zones)
	must.Eq(t, 3, v3.Total.PerSecond)
	v3.KeepFrom(nil, late)

	few := &View{ReceivedAt: now, Zones: []Zone{{Name: "r/a", Nodes: 1}}}
	few.KeepFrom(&View{ReceivedAt: start, Zones: []Zone{{Name: "r/a", Nodes: 25}}}, now)
	must.Eq(t, 25, few.Zones[0].Nodes)
}

// Guards against a message that is wrong or late and changes a sum.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	change := func(f func(*Report)) Report {
		r := report("n1", 2)
		f(&r)
		return r
	}
	bad := map[string]Report{
		"old":          change(func(r *Report) { r.Sequence = 1 }),
		"duplicate":    change(func(r *Report) { r.Sequence = 1 }),
		"no node":      change(func(r *Report) { r.Node = "" }),
		"other zone":   change(func(r *Report) { r.Zone = "r/b" }),
		"future":       change(func(r *Report) { r.Incarnation = math.MaxUint64 }),
		"no interval":  change(func(r *Report) { r.IntervalMillis = 0 }),
		"long":         change(func(r *Report) { r.IntervalMillis = math.MaxInt64 }),
		"negative":     change(func(r *Report) { r.Workspaces[0].PerSecond = -1 }),
		"not a number": change(func(r *Report) { r.Upstream.Busy = math.NaN() }),
		"huge":         change(func(r *Report) { r.Upstream.Slots = math.Inf(1) }),
		"many":         change(func(r *Report) { r.Calls = make([]ServiceDemand, MaxCalls+1) }),
		"no service":   change(func(r *Report) { r.Upstream.Service = "" }),
		"kinds":        change(func(r *Report) { r.Upstream.Kinds = make([]KindTime, MaxKinds+1) }),
		"kind":         change(func(r *Report) { r.Upstream.Kinds[0].Seconds = -1 }),
		"upstreams":    change(func(r *Report) { r.Upstream.Upstreams = -1 }),
	}
	c := NewCollector("r/a")
	first := report("n1", 1)
	must.NoError(t, c.Add(start, &first))
	for name, r := range bad {
		must.Error(t, c.Add(start, &r), must.Sprint(name))
	}
	for _, z := range []Zone{{Name: "r/a"}, {Name: ""}, {Name: "r/b", AgeMillis: -1}, {Name: "r/b", Nodes: -1}, {Name: "r/b", Rest: RestDemand{1, math.NaN()}}} {
		must.Error(t, c.AddZone(start, &z))
	}
	must.EqOp(t, int64(len(bad)+5), c.Ignored())
}

// Guards against messages and memory that grow with the number of workspaces, nodes or zones.
func TestSumsAreBounded(t *testing.T) {
	c := NewCollector("r/a")
	for i := range MaxNodes + 10 {
		r := report(fmt.Sprintf("n%d", i), 1)
		r.Workspaces = nil
		for k := range 3 {
			r.Workspaces = append(r.Workspaces, WorkspaceDemand{fmt.Sprintf("w%d", (3*i+k)%100), float64(k + 1)})
		}
		err := c.Add(start, &r)
		must.Eq(t, i >= MaxNodes, err != nil)
	}
	sum, known := c.Sum(start.Add(time.Second))
	must.True(t, known)
	must.Len(t, MaxWorkspaces, sum.Workspaces)
	must.Eq(t, 100-MaxWorkspaces, sum.Rest.Workspaces)
	total := sum.Rest.PerSecond
	for _, w := range sum.Workspaces {
		total += w.PerSecond
	}
	must.Eq(t, 6*MaxNodes, total)
	for i := range MaxZones + 10 {
		must.Eq(t, i >= MaxZones-1, c.AddZone(start, &Zone{Name: fmt.Sprintf("s/%d", i)}) != nil)
	}
}

// Guards against two zones that leave a service out of their sums for each other permanently, since each
// doesn't hear that the other uses it.
func TestSumsHoldWhatTheOtherZoneUses(t *testing.T) {
	a, b := NewCollector("r/a"), NewCollector("r/b")
	now, sequence := start, uint64(1)
	exchange := func(called ...string) (fromA, fromB Zone) {
		for _, c := range []*Collector{a, b} {
			r := report("n", sequence)
			r.Zone, r.Upstream, r.Calls = c.zone, nil, []ServiceDemand{{"of " + c.zone, 3}}
			for _, service := range called {
				r.Calls = append(r.Calls, ServiceDemand{service, 2})
			}
			must.NoError(t, c.Add(now, &r))
		}
		sequence++
		now = now.Add(time.Second)
		fromA, known := a.SumFor("r/b", now)
		must.True(t, known)
		must.NoError(t, b.AddZone(now, &fromA))
		fromB, _ = b.SumFor("r/a", now)
		must.NoError(t, a.AddZone(now, &fromB))
		return fromA, fromB
	}
	fromA, fromB := exchange()
	must.Len(t, 1, fromA.Calls, must.Sprint("nothing is known of the other zone"))
	must.Len(t, 0, fromB.Calls)
	fromA, _ = exchange()
	must.Len(t, 0, fromA.Calls)
	exchange("shared")
	fromA, fromB = exchange("shared")
	must.Eq(t, []ServiceDemand{{"shared", 2}}, fromA.Calls)
	must.Eq(t, []ServiceDemand{{"shared", 2}}, fromB.Calls)
	must.Error(t, a.AddZone(now, &Zone{Name: "r/c", Used: make(ServiceFilter, 3)}))
}
