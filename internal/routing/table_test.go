package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawEndpoints(t *rapid.T, now time.Time) []Endpoint {
	zones := []string{"saga", "omuta", "lanier-a"}
	var eps []Endpoint
	for i := range rapid.IntRange(0, 12).Draw(t, "endpoints") {
		eps = append(eps, Endpoint{
			Node: fmt.Sprint(i), Service: "archive", Zone: rapid.SampledFrom(zones).Draw(t, "zone"), Slots: 2,
			Draining: rapid.Bool().Draw(t, "draining"), Suspect: rapid.IntRange(0, 3).Draw(t, "suspect") == 0,
			Joined: now.Add(-time.Duration(rapid.IntRange(0, 20).Draw(t, "age")) * time.Second),
		})
	}
	return eps
}

// Guards against refusing a call while an upstream has capacity, and against choosing an upstream
// that is draining or must be avoided.
func TestPick_RefusesOnlyWithoutUsableUpstream(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultConfig()
		cfg.SubsetSize = 2
		now := origin.Add(time.Hour)
		eps := drawEndpoints(t, now)
		table := NewTable(nil, cfg, Self{Node: "5", Zone: "saga"}, eps, now)
		avoid := rapid.SliceOfN(rapid.SampledFrom([]string{"0", "1", "2", "3"}), 0, 3).Draw(t, "avoid")
		isAvoided := map[string]bool{}
		for _, node := range avoid {
			isAvoided[node] = true
		}
		allowed, suspect := map[*Target]bool{}, map[*Target]bool{}
		withCapacity, shedding, draining := 0, 0, 0
		for _, g := range table.Targets("archive") {
			ep := g.Endpoint()
			age := time.Duration(rapid.IntRange(0, 1000).Draw(t, "report age")) * time.Millisecond
			threshold := rapid.SampledFrom([]uint32{0, 100, NoThreshold}).Draw(t, "threshold")
			g.Start(now)
			g.Done(now.Add(-age), Refused, 1, &LoadReport{Threshold: threshold, Limit: 2})
			fresh := age <= cfg.LoadAge
			switch {
			case ep.Draining:
				draining++
				continue
			case isAvoided[ep.Node]:
				continue
			case ep.Suspect && age > cfg.LoadAge:
				suspect[g] = true
			case fresh && threshold <= 100:
				shedding++
			default:
				withCapacity++
			}
			allowed[g] = true
		}
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		info := PickInfo{Service: "archive", Rank: 100, Avoid: avoid, SuspectedCrasher: rapid.Bool().Draw(t, "crasher")}
		for range 5 {
			g, refusal := table.Pick(now, rng, info)
			switch {
			case refusal == nil:
				must.True(t, allowed[g])
				must.False(t, suspect[g] && withCapacity+shedding > 0)
			case refusal.Code == result.ShedEarly:
				must.True(t, withCapacity == 0 && shedding > 0 && refusal.AllFull)
			case refusal.Code == result.Draining:
				must.True(t, len(allowed) == 0 && draining > 0)
			default:
				must.Eq(t, result.NoUpstream, refusal.Code)
				must.True(t, len(allowed) == 0 && draining == 0)
			}
		}
	})
}

// Guards against refusals that continue after one response shows capacity again. The memo that all
// candidates shed must be cleared by the first report that contradicts it.
func TestPick_ShedMemoIsClearedByContraryReport(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstreams("saga", 300, 20)...)
	for _, g := range n.table.Targets("archive") {
		g.Start(n.now)
		g.Done(n.now, Refused, 1, &LoadReport{Threshold: lowRank, Limit: 20})
	}
	must.Eq(t, "", n.send(PickInfo{Rank: lowRank}))
	last := n.table.views["archive"].tiers[ownZone].targets[299]
	last.Start(n.now)
	last.Done(n.now, Answered, 1, &LoadReport{Threshold: NoThreshold, Limit: 20})
	// A retry that avoids this node finds that all others shed. This must not set the memo, because
	// other calls may go to this node.
	node := last.Endpoint().Node
	must.Eq(t, "", n.send(PickInfo{Rank: lowRank, Avoid: []string{node}}))
	must.Eq(t, node, n.send(PickInfo{Rank: lowRank}))
}

// Guards against several calls that probe an ejected upstream at once, and against retries as
// probes.
func TestPick_OneProbeAndNoneFromRetries(t *testing.T) {
	n := newFakeNode(t, DefaultConfig(), upstreams("saga", 3, 20)...)
	g := n.table.ByNode("saga-0")
	for range n.cfg.EjectFailures {
		g.Start(n.now)
		g.Done(n.now, Failed, 1, nil)
	}
	must.True(t, g.Stats().Ejected)
	n.now = n.now.Add(n.cfg.EjectFor)
	for range 20 {
		must.Eq(t, "saga-1", n.send(PickInfo{Avoid: []string{"saga-2"}}))
	}
	must.Eq(t, "saga-0", n.send(PickInfo{Node: "saga-0", Avoid: []string{"saga-0"}}))
	at, cfg := g.svc.nanos(n.now), g.svc.cfg.Load()
	must.True(t, g.ejection.claimProbe(at, cfg))
	must.False(t, g.ejection.claimProbe(at, cfg))
}

// Guards against a suspected crasher that is sent to an upstream with many calls in flight. All of
// them would be lost if it crashed the upstream.
func TestPick_SuspectedCrasherUsesFewestCallsInFlight(t *testing.T) {
	ups := upstreams("saga", 3, 20)
	n := newFakeNode(t, DefaultConfig(), ups...)
	for node, calls := range map[string]int{"saga-0": 5, "saga-1": 1, "saga-2": 3} {
		for range calls {
			n.table.ByNode(node).Start(n.now)
		}
	}
	must.Eq(t, "saga-1", n.send(PickInfo{SuspectedCrasher: true}))
}

// Guards against a network hop to another node while the own upstream has capacity.
func TestPick_PrefersOwnNodeWithCapacity(t *testing.T) {
	ups := append(upstreams("saga", 3, 10), upstream("saga", 3, 10))
	ups[3].ep.Node = "self"
	n := newFakeNode(t, DefaultConfig(), ups...)
	for range 7 {
		must.Eq(t, "self", n.send(PickInfo{}))
	}
	must.NotEq(t, "self", n.send(PickInfo{}))
}

// maxOverMeanLoad returns the load of the most loaded endpoint over the mean, if each sender loads
// its subset evenly.
func maxOverMeanLoad(senders, endpoints, size int) float64 {
	var targets []*Target
	for i := range endpoints {
		targets = append(targets, newTarget(newServiceWith(DefaultConfig()), &Endpoint{Node: fmt.Sprint("up-", i)}, origin))
	}
	load := map[*Target]int{}
	for s := range senders {
		tr := buildTiers(Self{Node: fmt.Sprint("node-", s)}, targets, size)[ownZone]
		for _, g := range tr.targets[:tr.prefix] {
			load[g]++
		}
	}
	maxLoad := 0
	for _, n := range load {
		maxLoad = max(maxLoad, n)
	}
	return float64(maxLoad) * float64(endpoints) / float64(senders*min(size, endpoints))
}

func newServiceWith(cfg Config) *service {
	s := newService(origin.Add(-time.Hour))
	s.cfg.Store(&cfg)
	return s
}

// Guards against subsets that cover the upstreams unevenly. In a large service some upstreams would
// hold twice the calls of others, and their callers would wait for no reason.
func TestSubset_LoadIsEven(t *testing.T) {
	tests := []struct {
		senders, endpoints, size int
		bound                    float64
	}{
		{400, 100, 24, 1.35},
		{400, 400, 24, 1.85},
		{1000, 400, 24, 1.55},
		{1000, 400, 48, 1.40},
		{1000, 20, 24, 1.0},
	}
	for _, tc := range tests {
		got := maxOverMeanLoad(tc.senders, tc.endpoints, tc.size)
		t.Logf("%d senders, %d endpoints, subset %d: most loaded over mean %.2f", tc.senders, tc.endpoints, tc.size, got)
		must.LessEq(t, tc.bound, got)
	}
}

// Guards against subsets that are reshuffled when one VM is replaced. The nodes would then open
// thousands of connections to other upstreams.
func TestSubset_ChangeMovesOneConnection(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(2, 60).Draw(t, "count")
		removedIndex := rapid.IntRange(0, count-1).Draw(t, "gone")
		self := Self{Node: rapid.String().Draw(t, "self")}
		s := newServiceWith(DefaultConfig())
		var before, after []*Target
		for i := range count {
			g := newTarget(s, &Endpoint{Node: fmt.Sprint(i)}, origin)
			before = append(before, g)
			if i != removedIndex {
				after = append(after, g)
			}
		}
		tierBefore := buildTiers(self, before, 10)[ownZone]
		kept := map[*Target]bool{}
		for _, g := range tierBefore.targets[:tierBefore.prefix] {
			kept[g] = true
		}
		tierAfter := buildTiers(self, after, 10)[ownZone]
		added := 0
		for _, g := range tierAfter.targets[:tierAfter.prefix] {
			if !kept[g] {
				added++
			}
		}
		must.LessEq(t, 1, added)
	})
}

// Guards against losing the observations of an upstream when membership changes, and against
// applying them to the process that replaces it.
func TestNewTable_CarriesOver(t *testing.T) {
	ups := upstreams("saga", 2, 10)
	n := newFakeNode(t, DefaultConfig(), ups...)
	first, second := n.table.ByNode("saga-0"), n.table.ByNode("saga-1")
	ups[0].ep.Slots, ups[1].ep.Incarnation = 99, 2
	n.setMembership(ups[0], ups[1], ups[0])
	must.Eq(t, first, n.table.ByNode("saga-0"))
	must.Eq(t, 99, first.Endpoint().Slots)
	must.NotEq(t, second, n.table.ByNode("saga-1"))
	must.Len(t, 2, n.table.Targets("archive"))
}

// Guards against a new endpoint that gets its full share by time or by responses alone, and against
// one that never gets it because its service has few calls.
func TestSlowStart_ShareByTimeAndAnswers(t *testing.T) {
	cfg := DefaultConfig()
	var r slowStart
	r.start(0, -time.Minute, &cfg)
	second := int64(time.Second)
	for _, step := range []struct {
		at, answers int64
		want        float64
	}{{0, 0, minSlowStartShare}, {second, 50, 0.1}, {5 * second, 50, 0.5}, {5 * second, 10, 0.2}, {39 * second, 10, 0.2}, {40 * second, 10, 1}} {
		r.answers.Store(step.answers)
		must.Eq(t, step.want, r.share(step.at, &cfg))
	}
}

// Guards against a configuration error that does not name the field, its value and the bound.
func TestConfig_Validate(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxEjectedShare = 1
	err := cfg.Validate()
	must.EqError(t, err, "routing config: MaxEjectedShare is 1, must be in [0, 1)")
	var field *FieldError
	must.True(t, errors.As(err, &field))
}

// Guards against wrong counts of calls in flight when tables are replaced while calls run.
func TestTable_ConcurrentUse(t *testing.T) {
	ups := upstreams("saga", 8, 4)
	n := newFakeNode(t, DefaultConfig(), ups...)
	var current atomic.Pointer[Table]
	current.Store(n.table)
	var wg sync.WaitGroup
	for w := range 4 {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(w), 0))
			for i := range 5000 {
				now := origin.Add(time.Duration(i) * time.Millisecond)
				g, refusal := current.Load().Pick(now, rng, PickInfo{Service: "archive"})
				if refusal != nil {
					continue
				}
				g.Start(now)
				g.Done(now, Outcome(rng.IntN(6)), time.Millisecond, &LoadReport{Limit: 4, Threshold: rng.Uint32(), Incarnation: 1})
			}
		})
	}
	for range 50 {
		n.setMembership(ups...)
		current.Store(n.table)
	}
	wg.Wait()
	for _, g := range n.table.Targets("archive") {
		must.Zero(t, g.Stats().InFlight)
	}
}
