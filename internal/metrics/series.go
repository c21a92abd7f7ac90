package metrics

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenagrade/galenagrade/internal/result"
)

// seriesReservoir is how many values the latency of one series keeps: 1.5 KB, so
// that 1,700 routes take 2.6 MB.
const seriesReservoir = 64

// Series counts what became of the requests of one route or for one service. All
// methods may be called concurrently.
type Series struct {
	set     *Set
	kind    string
	label   string
	offered gometrics.Counter
	good    gometrics.Counter
	latency gometrics.Histogram
	// ends is by result name.
	ends sync.Map
}

// Series returns the series of a kind, like route or service, with that label; it
// is made when it is first asked for.
func (s *Set) Series(kind, label string) *Series {
	key := kind + "{" + label + "}"
	if got, ok := s.series.Load(key); ok {
		return got.(*Series)
	}
	sample := gometrics.NewExpDecaySample(seriesReservoir, decay)
	got, loaded := s.series.LoadOrStore(key, &Series{
		set: s, kind: kind, label: label,
		offered: gometrics.NewCounter(), good: gometrics.NewCounter(), latency: gometrics.NewHistogram(sample),
	})
	series := got.(*Series)
	if !loaded {
		series.register("offered", series.offered)
		series.register("answered", series.good)
		series.register("latency_us", series.latency)
	}
	return series
}

func (x *Series) register(name string, metric any) {
	// Another series of this name can't be there: LoadOrStore let one through.
	_ = x.set.registry.Register(x.kind+"."+name+"{"+x.label+"}", metric)
}

// Offered counts a request that came.
func (x *Series) Offered() { x.offered.Inc(1) }

// Ended counts how a request ended and, for a good answer, how long it took.
func (x *Series) Ended(code result.Code, took time.Duration) {
	if code == result.OK || code == result.Replayed {
		x.good.Inc(1)
		x.latency.Update(took.Microseconds())
		return
	}
	got, ok := x.ends.Load(code)
	if !ok {
		var loaded bool
		got, loaded = x.ends.LoadOrStore(code, gometrics.NewCounter())
		if !loaded {
			x.register("ended."+code.String(), got)
		}
	}
	got.(gometrics.Counter).Inc(1)
}

// Drop forgets the series, of a route that is gone.
func (s *Set) Drop(kind, label string) {
	got, ok := s.series.LoadAndDelete(kind + "{" + label + "}")
	if !ok {
		return
	}
	series := got.(*Series)
	for _, name := range []string{"offered", "answered", "latency_us"} {
		s.registry.Unregister(kind + "." + name + "{" + label + "}")
	}
	series.ends.Range(func(code, _ any) bool {
		s.registry.Unregister(kind + ".ended." + code.(result.Code).String() + "{" + label + "}")
		return true
	})
}
