package zoneshare

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/overview"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func drawZones(t *rapid.T) []Zone {
	var zones []Zone
	for i := range rapid.IntRange(1, 8).Draw(t, "zones") {
		zones = append(zones, Zone{
			Name:   fmt.Sprintf("r%d/z%d", i/3, i),
			Demand: rapid.Float64Range(0, 1e5).Draw(t, "demand"),
			Rate:   rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1e5)).Draw(t, "rate"),
		})
	}
	return zones
}

// Guards against a zone that gets more calls than its upstreams can complete, or sends away more than it
// has too many, when all zones decide by themselves.
func TestSharesFitTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := drawZones(t)
		level := targetLoad
		demand, rate := 0.0, 0.0
		for _, z := range zones {
			demand, rate = demand+z.Demand, rate+z.Rate
		}
		if rate > 0 {
			level = max(level, demand/rate)
		}
		tolerance := 1e-6*demand + 1e-9
		taken := map[string]float64{}
		for _, z := range zones {
			sent := 0.0
			for _, s := range Shares(z.Name, zones) {
				must.True(t, s.Share >= minShare && s.Share <= 1 && s.Zone != z.Name)
				sent += s.Share * z.Demand
				taken[s.Zone] += s.Share * z.Demand
			}
			must.LessEq(t, max(0, z.Demand-level*z.Rate)+tolerance, sent)
		}
		for _, z := range zones {
			if taken[z.Name] > 0 {
				must.LessEq(t, min(level, maxLoad)*z.Rate+tolerance, z.Demand+taken[z.Name])
			}
		}
	})
}

// Guards against calls that cross zones without need: while no zone is above the target, and while all
// are equally full.
func TestNothingMovesWithoutNeed(t *testing.T) {
	for _, zones := range [][]Zone{
		{{"r/a", 79, 100}, {"r/b", 0, 100}},
		{{"r/a", 95, 100}, {"r/b", 190, 200}},
		{{"r/a", 200, 100}, {"r/b", 200, 100}},
		{{"r/a", 200, 100}},
		{{"r/a", 0, 0}, {"r/b", 0, 0}},
		{{"r/a", 10, 0}, {"r/b", 10, 0}},
	} {
		must.SliceEmpty(t, Shares("r/a", zones), must.Sprint(zones))
		must.SliceEmpty(t, Shares("r/unknown", zones))
	}
}

// Guards against calls to a distant region while a zone nearby has room, and against a distant zone that
// stays idle while those nearby are full.
func TestNearerZonesComeFirst(t *testing.T) {
	zones := []Zone{{"r/a", 120, 100}, {"r/b", 20, 100}, {"s/c", 20, 100}}
	shares := Shares("r/a", zones)
	must.Len(t, 1, shares)
	must.Eq(t, "r/b", shares[0].Zone)
	must.Eq(t, 40.0/120, shares[0].Share)
	zones = []Zone{{"r/a", 150, 100}, {"r/b", 75, 100}, {"s/c", 0, 100}}
	shares = Shares("r/a", zones)
	must.Len(t, 2, shares)
	must.Eq(t, "s/c", shares[1].Zone)
	must.Eq(t, 65.0/150, shares[1].Share)
}

func view(receivedAt time.Time) *overview.View {
	zone := func(name string, calls, slots, busy, rate float64) overview.Zone {
		return overview.Zone{
			Name: name, Calls: []overview.ServiceDemand{{Service: "s", PerSecond: calls}},
			Services: []overview.Capacity{{Service: "s", Upstreams: 1, Slots: slots, Busy: busy, PerSecond: rate}},
		}
	}
	return &overview.View{ReceivedAt: receivedAt, Zones: []overview.Zone{zone("r/a", 140, 10, 10, 100), zone("r/b", 20, 10, 2, 20)}}
}

// Guards against decisions from sums that are old, or from a service time that is not known: without
// calls it would be 0, and each zone without upstreams would be taken for a full one.
func TestZonesAreLeftOutWhenUnknown(t *testing.T) {
	v := view(start)
	zones := Zones(v, "s", nil, start, time.Second)
	must.Len(t, 2, zones)
	must.Eq(t, 100, math.Round(zones[0].Rate))
	must.Eq(t, 1.4, math.Round(10*zones[0].Load())/10)
	must.SliceEmpty(t, Zones(v, "unknown", nil, start, time.Second))
	must.SliceEmpty(t, Zones(v, "s", nil, start.Add(2*time.Second), time.Second))
	v.Zones[1].AgeMillis = 1500
	must.SliceEmpty(t, Shares("r/a", Zones(v, "s", nil, start, time.Second)))
}

// Guards against a zone that sends all its calls away because most of its upstreams' nodes don't report,
// as during an upgrade.
func TestZoneWithFewReportsIsLeftOut(t *testing.T) {
	v := view(start)
	must.Len(t, 2, Zones(v, "s", map[string]int{"r/a": 2, "r/b": 2}, start, time.Second))
	must.SliceEmpty(t, Shares("r/a", Zones(v, "s", map[string]int{"r/a": 3}, start, time.Second)))
	v.Zones[0].Services = nil
	must.Len(t, 1, Shares("r/a", Zones(v, "s", nil, start, time.Second)))
	must.SliceEmpty(t, Shares("r/a", Zones(v, "s", map[string]int{"r/a": 1}, start, time.Second)))
}

// Guards against a share that jumps with each view, or that never ends.
func TestSharesAreSmoothed(t *testing.T) {
	var s Smoother
	now := start
	s.Update(now, nil)
	now = now.Add(100 * time.Millisecond)
	first := s.Update(now, []Share{{"r/b", 0.5}})
	must.Between(t, 0.1, first[0].Share, 0.3)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		first = s.Update(now, []Share{{"r/b", 0.5}})
	}
	must.Between(t, 0.49, first[0].Share, 0.5)
	for range 30 {
		now = now.Add(100 * time.Millisecond)
		first = s.Update(now, nil)
	}
	must.SliceEmpty(t, first)
}

// BenchmarkShares decides for a service in all 34 zones.
func BenchmarkShares(b *testing.B) {
	var zones []Zone
	for i := range 34 {
		zones = append(zones, Zone{fmt.Sprintf("r%d/z%d", i/3, i), float64(50 + 10*(i%10)), 100})
	}
	b.ReportAllocs()
	for b.Loop() {
		_ = Shares("r3/z9", zones)
	}
}
