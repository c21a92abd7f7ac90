package share

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/overview"
)

var start = time.Unix(1_000_000, 0)

// onlyNormal is the mix of requests of one level.
var onlyNormal = Mix{callctx.LevelNormal: 1}

// workspaceNames returns n workspaces without quotas.
func workspaceNames(n int) []Workspace {
	ws := make([]Workspace, n)
	for i := range ws {
		ws[i].Name = fmt.Sprintf("w%d", i)
	}
	return ws
}

// viewOf lists the workspaces in the order of workspaceNames.
func viewOf(rates []float64) *overview.View {
	v := &overview.View{ReceivedAt: start, Total: overview.RestDemand{Workspaces: len(rates)}}
	for i, rate := range rates {
		v.Top = append(v.Top, overview.WorkspaceDemand{Workspace: fmt.Sprintf("w%d", i), PerSecond: rate})
		v.Total.PerSecond += rate
	}
	return v
}

// waterFill divides room by raising all workspaces in step with their weights until the room is used up
// or each has its demand. Least rates go first.
func waterFill(room float64, demand []float64, terms []Terms) []float64 {
	got := make([]float64, len(demand))
	level := func(x float64) float64 {
		sum := 0.0
		for i, t := range terms {
			got[i] = max(min(t.Least, demand[i]), min(demand[i], t.Most, x*t.Weight))
			sum += got[i]
		}
		return sum
	}
	low, high := 0.0, 1e12
	for range 200 {
		mid := (low + high) / 2
		if level(mid) > room {
			high = mid
		} else {
			low = mid
		}
	}
	level(low)
	return got
}

// drawCase draws demands and terms of some workspaces.
func drawCase(t *rapid.T) (rates []float64, book *Book, terms []Terms) {
	n := rapid.IntRange(2, overview.MaxTopWorkspaces).Draw(t, "workspaces")
	workspaces := workspaceNames(n)
	var overrides []Override
	for i := range n {
		rates = append(rates, rapid.Float64Range(0.1, 1000).Draw(t, "rate"))
		o := Override{Workspace: workspaces[i].Name}
		weight := rapid.Float64Range(0.1, 10).Draw(t, "weight")
		o.Weight = &weight
		if rapid.IntRange(0, 3).Draw(t, "bounded") == 0 {
			least := rapid.Float64Range(0, 200).Draw(t, "least")
			most := least + rapid.Float64Range(0, 500).Draw(t, "most")
			o.Least, o.Most = &least, &most
		}
		overrides = append(overrides, o)
	}
	book = NewBook(workspaces, overrides, start)
	for _, w := range workspaces {
		terms = append(terms, book.Of(w.Name))
	}
	return rates, book, terms
}

// Guards against a threshold that admits another division than weighted max-min, with bounds.
func TestThresholdAdmitsWeightedMaxMin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, book, terms := drawCase(t)
		table := NewTable(DemandOf(viewOf(rates)), book, onlyNormal)
		curve := table.levels[callctx.LevelNormal]
		part := rapid.Float64Range(0, 1).Draw(t, "part of the positions between floor and ceiling")
		position := curve.floor + part*(curve.ceiling-curve.floor)
		if position >= curve.ceiling {
			return
		}
		total := 0.0
		for _, r := range rates {
			total += r
		}
		want := waterFill(position*total, rates, terms)
		for i := range rates {
			got, ok := table.ShareAt(fmt.Sprintf("w%d", i), callctx.LevelNormal, position)
			must.True(t, ok)
			must.Between(t, want[i]-1e-6*total, got.Admitted, want[i]+1e-6*total, must.Sprintf("workspace %d", i))
		}
	})
}

// Guards against positions that differ from what ShareAt says, and against requests of a level whose
// positions aren't evenly distributed: the threshold of a guard is then wrong.
func TestPositionsAreEvenAndMatchShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rates, book, _ := drawCase(t)
		table := NewTable(DemandOf(viewOf(rates)), book, onlyNormal)
		threshold := rapid.Float64Range(0, 1).Draw(t, "threshold")
		const draws = 1000
		below, total := 0.0, 0.0
		for i, rate := range rates {
			name := fmt.Sprintf("w%d", i)
			admitted := 0.0
			for k := range draws {
				position, ok := table.Position(name, callctx.LevelNormal, (float64(k)+0.5)/draws)
				must.True(t, ok)
				must.Between(t, 0, position, 1)
				if position < threshold {
					admitted += rate / draws
				}
			}
			got, _ := table.ShareAt(name, callctx.LevelNormal, threshold)
			must.Between(t, got.Admitted-2*rate/draws-1e-6, admitted, got.Admitted+2*rate/draws+1e-6)
			below += admitted
			total += rate
		}
		must.Between(t, threshold-0.004, below/total, threshold+0.004)
	})
}

// Guards against positions out of range, or NaN, whatever other nodes say of the demand.
func TestBadReportsGiveValidPositions(t *testing.T) {
	bad := rapid.SampledFrom([]float64{0, -1, math.NaN(), math.Inf(1), math.Inf(-1), 1e300, 1e-300, 5})
	rapid.Check(t, func(t *rapid.T) {
		view := viewOf(rapid.SliceOfN(bad, 0, 100).Draw(t, "rates"))
		view.Top = append(view.Top, overview.WorkspaceDemand{Workspace: "unknown", PerSecond: 3}, overview.WorkspaceDemand{Workspace: "w1", PerSecond: 7})
		view.Total = overview.RestDemand{Workspaces: rapid.IntRange(-5, 1<<40).Draw(t, "total"), PerSecond: bad.Draw(t, "total rate")}
		for i, rate := range rapid.SliceOfN(bad, 0, 100).Draw(t, "own") {
			view.Workspaces = append(view.Workspaces, overview.WorkspaceDemand{Workspace: fmt.Sprintf("w%d", i), PerSecond: rate})
		}
		d := DemandOf(view)
		if d == nil {
			return
		}
		table := NewTable(d, NewBook(workspaceNames(120), nil, start), Mix{1, 0, 0, 0})
		for _, name := range []string{"w0", "w1", "w119", "unknown", ""} {
			for _, u := range []float64{0, 0.5, 1 - 1e-12, 1} {
				if p, ok := table.Position(name, 0, u); ok {
					must.Between(t, 0, p, 1)
				}
			}
		}
	})
}

// Guards against weights, bounds or end dates that are read wrongly, and against an override that
// changes anything though it is invalid or names an unknown workspace.
func TestBookAppliesOverridesUntilTheyEnd(t *testing.T) {
	critical := callctx.LevelCritical
	workspaces := []Workspace{{Name: "a", Rate: 30}, {Name: "b", Rate: 10}, {Name: "c", Level: &critical}, {Name: "d"}}
	two, zero, nan := 2.0, 0.0, math.NaN()
	overrides := []Override{
		{Workspace: "d", Weight: &two, Until: start.Add(time.Hour)},
		{Workspace: "a", Weight: &zero}, {Workspace: "b", Least: &nan}, {Workspace: "gone", Weight: &two},
	}
	b := NewBook(workspaces, overrides, start)
	must.EqOp(t, 1.5, b.Of("a").Weight)
	must.EqOp(t, 0.5, b.Of("b").Weight)
	must.EqOp(t, 1, b.Of("c").Weight)
	must.True(t, b.Of("c").OwnLevel)
	must.EqOp(t, 2, b.Of("d").Weight)
	must.Eq(t, []string{"a", "b", "gone"}, b.Ignored())
	must.False(t, b.Expired(start))
	must.True(t, b.Expired(start.Add(time.Hour)))
	must.EqOp(t, 1, NewBook(workspaces, overrides, start.Add(time.Hour)).Of("d").Weight)
}

// Guards against invalid overrides that are accepted.
func TestInvalidOverridesAreRefused(t *testing.T) {
	for _, x := range []struct {
		field               string
		weight, least, most float64
	}{
		{"weight", 0, 1, 2}, {"weight", -1, 1, 2}, {"weight", math.NaN(), 1, 2}, {"weight", math.Inf(1), 1, 2},
		{"least", 1, -1, 2}, {"least", 1, math.NaN(), 2}, {"least", 1, 3, 2}, {"most", 1, 0, math.Inf(1)}, {"most", 1, 0, -2},
	} {
		err := (&Override{Workspace: "a", Weight: &x.weight, Least: &x.least, Most: &x.most}).Validate()
		must.ErrorContains(t, err, x.field)
	}
}

// Guards against workspaces beyond those that all nodes know being ranked before or behind all others,
// and against a node that divides by a distribution of its own.
func TestUnlistedWorkspacesCountWithTheMean(t *testing.T) {
	view := viewOf([]float64{10, 30})
	view.Total = overview.RestDemand{Workspaces: 10, PerSecond: 200}
	book := NewBook(workspaceNames(10), nil, start)
	others := NewTable(DemandOf(view), book, onlyNormal)
	view.Workspaces = []overview.WorkspaceDemand{{Workspace: "w5", PerSecond: 25}}
	table := NewTable(DemandOf(view), book, onlyNormal)
	must.Eq(t, others.levels, table.levels)
	must.Between(t, 199.9, table.levels[callctx.LevelNormal].total, 200.1)
	for name, asked := range map[string]float64{"w0": 10, "w1": 30, "w5": 25, "w7": 20} {
		got, ok := table.ShareAt(name, callctx.LevelNormal, 1)
		must.True(t, ok)
		must.EqOp(t, asked, got.Asked)
	}
	must.Nil(t, DemandOf(nil))
	must.Nil(t, DemandOf(&overview.View{}))
}

// Guards against many requests close to one position, nearly all of which a threshold sheds or none.
func TestRequestsOfUnlistedWorkspacesAreSpread(t *testing.T) {
	view := viewOf([]float64{30, 30})
	view.Total = overview.RestDemand{Workspaces: 80, PerSecond: 840}
	view.Workspaces = []overview.WorkspaceDemand{{Workspace: "w5", PerSecond: 14}}
	table := NewTable(DemandOf(view), NewBook(workspaceNames(80), nil, start), onlyNormal)
	const draws, bins = 1000, 64
	var perBin [bins]int
	for k := range draws {
		position, ok := table.Position("w5", callctx.LevelNormal, float64(k)/draws)
		must.True(t, ok)
		perBin[min(int(position*bins), bins-1)]++
	}
	must.Less(t, draws/10, slices.Max(perBin[:]))
}

// Guards against workspaces with a level of their own that are divided among those of another level.
func TestLevelsAreDividedApart(t *testing.T) {
	critical := callctx.LevelCritical
	workspaces := workspaceNames(3)
	workspaces[0].Level = &critical
	book := NewBook(workspaces, nil, start)
	table := NewTable(DemandOf(viewOf([]float64{100, 10, 10})), book, Mix{0, 0, 0.5, 0.5})
	must.EqOp(t, 100, table.levels[callctx.LevelCritical].total)
	must.EqOp(t, 10, table.levels[callctx.LevelNormal].total)
	_, ok := table.Position("w0", callctx.LevelNormal, 0.5)
	must.False(t, ok)
}

// Guards against a demand that chance raises, and one that a node doesn't notice though it sees it alone.
func TestMeterRaisesDemandOnlyIfCertain(t *testing.T) {
	m := NewMeter(nil, workspaceNames(2))
	m.Cell("w0").asked.Add(1)
	for range 100 {
		for range 25 {
			m.Cell("w1").asked.Add(1)
		}
		m.Tick(250 * time.Millisecond)
	}
	d := DemandOf(viewOf([]float64{0.1, 1}))
	m.RaiseDemand(d)
	must.EqOp(t, 0.1, d.Of("w0"))
	must.Between(t, 75, d.Of("w1"), 100)
	demand := m.Demand()
	must.SliceLen(t, 1, demand)
	must.EqOp(t, "w1", demand[0].Workspace)
	must.Between(t, 99, demand[0].PerSecond, 101)
}

// Guards against work of the garbage collector on the path of each request.
func TestReceiveAllocatesNothing(t *testing.T) {
	d := &Divider{}
	workspaces := workspaceNames(84)
	d.Configure(workspaces, NewBook(workspaces, nil, start))
	must.True(t, d.Update(time.Second, viewOf([]float64{10, 60, 10})))
	must.EqOp(t, 0, testing.AllocsPerRun(100, func() {
		d.Receive("w1", callctx.LevelNormal, 1<<31)
		d.Cut("w1")
	}))
}
