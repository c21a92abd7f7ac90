// Package metrics stores the metrics of one node in a go-metrics registry under typed names and
// serves them as JSON or text. It also creates the node's logger.
package metrics

import (
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenagrade/galenagrade/internal/result"
)

// reservoirSize is the number of values that a timer keeps. go-metrics recommends it for 99.9%
// confidence with 5% error.
const reservoirSize = 1028

// reservoirAlpha is the decay factor recommended by go-metrics. It weights a reservoir towards the
// last five minutes.
const reservoirAlpha = 0.015

// Set contains the metrics of one node. Safe for concurrent use. Inc, Result, Observe and SetGauge
// are cheap enough for the request path.
type Set struct {
	registry   gometrics.Registry
	counters   [numCounters]gometrics.Counter
	gauges     [numGauges]gometrics.Gauge
	timers     [numTimers]gometrics.Histogram
	rejected   [numBounds]gometrics.Counter
	results    map[result.Code]gometrics.Counter
	undeclared gometrics.Counter
	oneIn      uint32
	// series maps "kind{label}" to a *Series.
	series sync.Map
}

// New returns a Set whose timers on the request path record 1 in oneIn values; 0 and 1 record
// all.
func New(oneIn int) *Set {
	s := &Set{
		registry: gometrics.NewRegistry(),
		results:  make(map[result.Code]gometrics.Counter),
		oneIn:    uint32(max(1, oneIn)),
	}
	for c := range numCounters {
		s.counters[c] = gometrics.NewRegisteredCounter(c.String(), s.registry)
	}
	for g := range numGauges {
		s.gauges[g] = gometrics.NewRegisteredGauge(g.String(), s.registry)
	}
	for t := range numTimers {
		sample := gometrics.NewExpDecaySample(reservoirSize, reservoirAlpha)
		s.timers[t] = gometrics.NewRegisteredHistogram(t.String(), s.registry, sample)
	}
	for b := range numBounds {
		s.rejected[b] = gometrics.NewRegisteredCounter(b.String()+".turned_away", s.registry)
	}
	for _, c := range result.Codes() {
		s.results[c] = gometrics.NewRegisteredCounter("results."+c.String(), s.registry)
	}
	s.undeclared = gometrics.NewRegisteredCounter("results.undeclared", s.registry)
	s.registerProcess()
	return s
}

// Inc increases a counter by n.
func (s *Set) Inc(c Counter, n int64) { s.counters[c].Inc(n) }

// Count returns a counter's value.
func (s *Set) Count(c Counter) int64 { return s.counters[c].Count() }

// SetGauge sets a gauge.
func (s *Set) SetGauge(g Gauge, v int64) { s.gauges[g].Update(v) }

// Gauge returns a gauge's value.
func (s *Set) Gauge(g Gauge) int64 { return s.gauges[g].Value() }

// Result counts a request that ended with code c.
func (s *Set) Result(c result.Code) {
	if n, ok := s.results[c]; ok {
		n.Inc(1)
		return
	}
	s.undeclared.Inc(1)
}

// ResultCount returns the number of requests counted with code c. All undeclared codes share one
// count.
func (s *Set) ResultCount(c result.Code) int64 {
	if n, ok := s.results[c]; ok {
		return n.Count()
	}
	return s.undeclared.Count()
}

// Observe records a duration in a timer. Timers on the request path record a random sample: recording
// a value locks the reservoir of the timer, and a thousand values per second describe the
// distribution as well as all values. The random source needs no lock, so that skipping a value
// accesses no shared memory.
func (s *Set) Observe(t Timer, d time.Duration) {
	if onRequestPath[t] && s.oneIn > 1 && rand.Uint32N(s.oneIn) != 0 {
		return
	}
	s.timers[t].Update(d.Microseconds())
}

// WatchBound exports a bound as the gauges NAME.size and NAME.limit. size is called whenever the
// metrics are read. A second call for the same bound replaces the first.
func (s *Set) WatchBound(b Bound, limit int64, size func() int64) {
	s.registry.Unregister(b.String() + ".size")
	s.registry.Unregister(b.String() + ".limit")
	// Register fails only on a duplicate, which was just removed.
	_ = s.registry.Register(b.String()+".size", gometrics.NewFunctionalGauge(size))
	_ = s.registry.Register(b.String()+".limit", gometrics.NewFunctionalGauge(func() int64 { return limit }))
}

// CountRejected counts n items that a full bound rejected or evicted.
func (s *Set) CountRejected(b Bound, n int64) { s.rejected[b].Inc(n) }

// UnwatchedBounds returns the names of the bounds for which WatchBound was not called. A test of the
// node requires that there are none, so that the size of every queue is exported.
func (s *Set) UnwatchedBounds() []string {
	var names []string
	for b := range numBounds {
		if s.registry.Get(b.String()+".size") == nil {
			names = append(names, b.String())
		}
	}
	return names
}
