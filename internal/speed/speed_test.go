package speed

import (
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/overview"
)

var origin = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// Guards against an upstream that looks slow because it receives the longer calls.
func TestRelative_ComparesCallsOfTheSameKind(t *testing.T) {
	short, long := Kind("GET", "/short/1?x", true), Kind("GET", "/long", true)
	must.NotEq(t, short, long)
	must.EqOp(t, short, Kind("GET", "/short", true))
	must.NotEq(t, short, Kind("GET", "/short", false))
	var fast, slow Meter
	service := map[uint32]float64{short: 0.010, long: 0.100}
	for i := range 1000 {
		now := origin.Add(time.Duration(i) * time.Millisecond)
		fast.Observe(now, long, 50*time.Millisecond)
		slow.Observe(now, short, 20*time.Millisecond)
	}
	now := origin.Add(time.Second)
	must.InDelta(t, 2, fast.Relative(now, service), 0.01)
	must.InDelta(t, 0.5, slow.Relative(now, service), 0.01)
	must.EqOp(t, Unknown, fast.Relative(now, map[uint32]float64{short: 1}))
	must.EqOp(t, Max, fast.Relative(now, map[uint32]float64{long: 100}))
	must.EqOp(t, Unknown, fast.Relative(now.Add(time.Minute), service))
}

// Guards against state that grows with the number of kinds, and a frequent kind that rare ones push out.
func TestMeter_KeepsTheFrequentKinds(t *testing.T) {
	var m Meter
	for i := range 10_000 {
		now := origin.Add(time.Duration(i) * time.Millisecond)
		m.Observe(now, 7, 30*time.Millisecond)
		m.Observe(now, uint32(100+i), time.Hour)
	}
	times := m.Times(origin.Add(10 * time.Second))
	must.SliceNotEmpty(t, times)
	must.LessEq(t, overview.MaxKinds, len(times))
	must.EqOp(t, 7, times[0].Kind)
	must.InDelta(t, 0.030, times[0].Seconds, 0.001)
	must.InDelta(t, 1000, times[0].PerSecond, 20)
}

// Guards against a view of other nodes that crashes a guard, or gives it a speed that is none.
func FuzzServiceTimes(f *testing.F) {
	for _, seed := range []string{
		`{}`, `{"zones":[{"services":[{"service":"s","kinds":[{"kind":1,"seconds":0.1,"per_s":10}]}]}]}`,
		`{"zones":[{"age_ms":-1,"services":[{"service":"s","kinds":[{"kind":1,"seconds":1e308,"per_s":1e308}]}]}]}`,
		`{"zones":[{"services":[{"service":"s","kinds":[{"kind":1,"seconds":-1,"per_s":0},{"kind":1,"seconds":0,"per_s":-5}]}]}]}`,
		`{"zones":[{"age_ms":9223372036854775807,"services":[{"service":"s","kinds":[{"kind":1,"seconds":1,"per_s":1}]}]}]}`,
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, doc string) {
		var v overview.View
		if json.Unmarshal([]byte(doc), &v) != nil {
			return
		}
		var m Meter
		for range 10 {
			m.Observe(origin, 1, 50*time.Millisecond)
		}
		s := m.Relative(origin, ServiceTimes(&v, "s"))
		must.True(t, s == Unknown || s >= Min && s <= Max, must.Sprint(s))
	})
}

// Guards against a speed that another node sends and that is none.
func TestClamp(t *testing.T) {
	for s, want := range map[float64]float64{math.Inf(1): Max, math.Inf(-1): Unknown, -1: Unknown, 0: Unknown, 1e-9: Min, 1.3: 1.3} {
		must.EqOp(t, want, Clamp(s))
	}
	must.EqOp(t, Unknown, Clamp(math.NaN()))
}

// Guards against a line each second about an upstream whose speed is near the bound.
func TestIsNormal(t *testing.T) {
	normal, changes := true, 0
	for _, s := range []float64{1, 0.71, 0.69, 0.71, 0.69, 0.79, 0.81, 0.71, Unknown, 1.39, 1.41, 1.3, 1.2} {
		if IsNormal(s, normal) != normal {
			normal = !normal
			changes++
		}
	}
	must.EqOp(t, 4, changes)
}

// BenchmarkObserve measures what a call costs its guard, with all kinds in use.
func BenchmarkObserve(b *testing.B) {
	var m Meter
	now := origin
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		m.Observe(now, Kind("GET", "/archive/x", i%2 == 0), 10*time.Millisecond)
	}
}
