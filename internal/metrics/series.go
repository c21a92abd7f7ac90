package metrics

import (
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenagrade/galenagrade/internal/result"
)

// seriesReservoirSize is the number of latency values that one series keeps. They use 1.5 KB, so
// that 1,700 routes use 2.6 MB.
const seriesReservoirSize = 64

// Series counts the requests of one label, such as a route, by outcome and records their latency.
// Safe for concurrent use.
type Series struct {
	set      *Set
	kind     string
	label    string
	offered  gometrics.Counter
	answered gometrics.Counter
	// admitted and cut are registered when they first count.
	admitted, cut lazyCounter
	latency       gometrics.Histogram
	// endedByCode maps a result.Code to the counter of requests that ended with it.
	endedByCode sync.Map
}

// Series returns the series of the given kind, such as route or service, and label. It creates the
// series on the first call.
func (s *Set) Series(kind, label string) *Series {
	key := kind + "{" + label + "}"
	if got, ok := s.series.Load(key); ok {
		return got.(*Series)
	}
	sample := gometrics.NewExpDecaySample(seriesReservoirSize, reservoirAlpha)
	got, loaded := s.series.LoadOrStore(key, &Series{
		set: s, kind: kind, label: label,
		offered: gometrics.NewCounter(), answered: gometrics.NewCounter(), latency: gometrics.NewHistogram(sample),
	})
	series := got.(*Series)
	if !loaded {
		series.registerMetric("offered", series.offered)
		series.registerMetric("answered", series.answered)
		series.registerMetric("latency_us", series.latency)
	}
	return series
}

func (s *Series) registerMetric(name string, metric any) {
	// Register fails only on a duplicate name, and LoadOrStore guarantees a single caller per name.
	_ = s.set.registry.Register(s.kind+"."+name+"{"+s.label+"}", metric)
}

// CountReceived counts a received request.
func (s *Series) CountReceived() { s.offered.Inc(1) }

// lazyCounter is a counter that is registered by its first use.
type lazyCounter struct {
	once    sync.Once
	counter gometrics.Counter
}

func (c *lazyCounter) inc(s *Series, name string) {
	c.once.Do(func() {
		c.counter = gometrics.NewCounter()
		s.registerMetric(name, c.counter)
	})
	c.counter.Inc(1)
}

// CountAdmitted counts a request that was not shed.
func (s *Series) CountAdmitted() { s.admitted.inc(s, "admitted") }

// CountCut counts a request that was shed because of the share of its workspace.
func (s *Series) CountCut() { s.cut.inc(s, "cut_by_share") }

// CountEnded counts a request that ended with code. For a successful response, it also records the
// latency.
func (s *Series) CountEnded(code result.Code, took time.Duration) {
	if code == result.OK || code == result.Replayed {
		s.answered.Inc(1)
		s.latency.Update(took.Microseconds())
		return
	}
	counter, ok := s.endedByCode.Load(code)
	if !ok {
		var loaded bool
		counter, loaded = s.endedByCode.LoadOrStore(code, gometrics.NewCounter())
		if !loaded {
			s.registerMetric("ended."+code.String(), counter)
		}
	}
	counter.(gometrics.Counter).Inc(1)
}

// DropSeries removes a series and its metrics, for example of a deleted route.
func (s *Set) DropSeries(kind, label string) {
	got, ok := s.series.LoadAndDelete(kind + "{" + label + "}")
	if !ok {
		return
	}
	series := got.(*Series)
	for _, name := range []string{"offered", "answered", "latency_us", "admitted", "cut_by_share"} {
		s.registry.Unregister(kind + "." + name + "{" + label + "}")
	}
	series.endedByCode.Range(func(code, _ any) bool {
		s.registry.Unregister(kind + ".ended." + code.(result.Code).String() + "{" + label + "}")
		return true
	})
}
