// Package metrics holds the numbers of one node in a go-metrics registry under
// typed names, serves them as JSON or text and makes the node's logger.
package metrics

import (
	"math/rand/v2"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"github.com/galenagrade/galenagrade/internal/result"
)

// reservoir is how many values a timer keeps, the size go-metrics recommends
// for a 99.9% confidence with 5% error.
const reservoir = 1028

// decay weights the last five minutes; also go-metrics' recommendation.
const decay = 0.015

// Set is the metrics of one node. All methods may be called from several
// goroutines; Inc, Result, Observe and SetGauge are made for a request's path.
type Set struct {
	registry gometrics.Registry
	counters [numCounters]gometrics.Counter
	gauges   [numGauges]gometrics.Gauge
	timers   [numTimers]gometrics.Histogram
	away     [numBounds]gometrics.Counter
	results  map[result.Code]gometrics.Counter
	unknown  gometrics.Counter
	every    uint32
	// series is by kind and label.
	series sync.Map
}

// New returns a set whose timers on a request's path take one value in every;
// 0 and 1 take all.
func New(every int) *Set {
	s := &Set{
		registry: gometrics.NewRegistry(),
		results:  make(map[result.Code]gometrics.Counter),
		every:    uint32(max(1, every)),
	}
	for c := range numCounters {
		s.counters[c] = gometrics.NewRegisteredCounter(c.String(), s.registry)
	}
	for g := range numGauges {
		s.gauges[g] = gometrics.NewRegisteredGauge(g.String(), s.registry)
	}
	for t := range numTimers {
		sample := gometrics.NewExpDecaySample(reservoir, decay)
		s.timers[t] = gometrics.NewRegisteredHistogram(t.String(), s.registry, sample)
	}
	for b := range numBounds {
		s.away[b] = gometrics.NewRegisteredCounter(b.String()+".turned_away", s.registry)
	}
	for _, c := range result.Codes() {
		s.results[c] = gometrics.NewRegisteredCounter("results."+c.String(), s.registry)
	}
	s.unknown = gometrics.NewRegisteredCounter("results.undeclared", s.registry)
	s.registerProcess()
	return s
}

// Inc adds n to a counter.
func (s *Set) Inc(c Counter, n int64) { s.counters[c].Inc(n) }

// Count returns a counter's value.
func (s *Set) Count(c Counter) int64 { return s.counters[c].Count() }

// SetGauge sets a gauge.
func (s *Set) SetGauge(g Gauge, v int64) { s.gauges[g].Update(v) }

// Gauge returns a gauge's value.
func (s *Set) Gauge(g Gauge) int64 { return s.gauges[g].Value() }

// Result counts an outcome.
func (s *Set) Result(c result.Code) {
	if n, ok := s.results[c]; ok {
		n.Inc(1)
		return
	}
	s.unknown.Inc(1)
}

// ResultCount returns how often an outcome was counted.
func (s *Set) ResultCount(c result.Code) int64 {
	if n, ok := s.results[c]; ok {
		return n.Count()
	}
	return s.unknown.Count()
}

// Observe takes a duration into a timer. On a request's path most values are
// passed over: a reservoir takes a lock, and a thousand values a second tell
// as much as all of them. The random source is the goroutine's own, so that
// passing over touches no shared memory.
func (s *Set) Observe(t Timer, d time.Duration) {
	if onRequestPath[t] && s.every > 1 && rand.Uint32N(s.every) != 0 {
		return
	}
	s.timers[t].Update(d.Microseconds())
}

// WatchBound shows a bound as NAME.size and NAME.limit. size is called when
// the metrics are read. A second call for the same bound replaces the first.
func (s *Set) WatchBound(b Bound, limit int64, size func() int64) {
	s.registry.Unregister(b.String() + ".size")
	s.registry.Unregister(b.String() + ".limit")
	// Register fails only on a duplicate, which was just removed.
	_ = s.registry.Register(b.String()+".size", gometrics.NewFunctionalGauge(size))
	_ = s.registry.Register(b.String()+".limit", gometrics.NewFunctionalGauge(func() int64 { return limit }))
}

// CountRejected counts what a full bound refused or pushed out.
func (s *Set) CountRejected(b Bound, n int64) { s.away[b].Inc(n) }

// UnwatchedBounds returns the bounds without WatchBound. A node's test keeps
// it empty, so that no queue grows unseen.
func (s *Set) UnwatchedBounds() []string {
	var names []string
	for b := range numBounds {
		if s.registry.Get(b.String()+".size") == nil {
			names = append(names, b.String())
		}
	}
	return names
}
