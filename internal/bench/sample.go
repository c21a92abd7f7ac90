package bench

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// SamplePeriod is the resolution of a run's course.
const SamplePeriod = 250 * time.Millisecond

// Sample is what one SamplePeriod saw. Rates are per second. Limit, InFlight
// and Queue are of the deepest service, over all its upstreams.
type Sample struct {
	// At is the end of the period, since the run's start.
	At    time.Duration
	Phase string
	// Offered counts requests that came, Good those answered usefully, and
	// Weighted the worth of the latter.
	Offered, Good, Weighted float64
	// Latencies of the good ones, ascending.
	Latencies []time.Duration
	// Limit is the guards' bound on calls at once; 0 under the baseline.
	Limit float64
	// InFlight counts slots in use.
	InFlight float64
	// Queue counts calls that wait at the guards or for a slot.
	Queue   float64
	Retries float64
}

// P50 returns the median latency in ms.
func (s *Sample) P50() float64 { return millis(quantile(s.Latencies, 0.50)) }

// P99 returns the 99th percentile of latency in ms.
func (s *Sample) P99() float64 { return millis(quantile(s.Latencies, 0.99)) }

// meter counts between two samples.
type meter struct {
	mu        sync.Mutex
	offered   int
	worth     float64
	latencies []time.Duration
}

func (m *meter) arrived() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offered++
}

func (m *meter) answered(latency time.Duration, worth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worth += worth
	m.latencies = append(m.latencies, latency)
}

func (m *meter) take() (offered int, worth float64, latencies []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered, worth, latencies = m.offered, m.worth, m.latencies
	m.offered, m.worth, m.latencies = 0, 0, nil
	return offered, worth, latencies
}

// sample reports to onSample until the returned function is called.
func (w *World) sample(c *callers, phase *atomic.Value, onSample func(Sample)) (stop func()) {
	if onSample == nil {
		return func() {}
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		t := time.NewTicker(SamplePeriod)
		defer t.Stop()
		last, retries := time.Now(), 0
		for {
			select {
			case <-done:
				return
			case <-t.C:
			}
			now := time.Now()
			s := c.course(now.Sub(last))
			s.At = now.Sub(c.start)
			s.Phase = phase.Load().(string)
			total := w.retries.total()
			s.Retries = float64(total-retries) / now.Sub(last).Seconds()
			last, retries = now, total
			w.addLoad(&s)
			onSample(s)
		}
	})
	return func() {
		close(done)
		wg.Wait()
	}
}

func (c *callers) course(d time.Duration) Sample {
	offered, worth, latencies := c.meter.take()
	slices.Sort(latencies)
	return Sample{
		Offered:   float64(offered) / d.Seconds(),
		Good:      float64(len(latencies)) / d.Seconds(),
		Weighted:  worth / d.Seconds(),
		Latencies: latencies,
	}
}

func (w *World) addLoad(s *Sample) {
	for _, v := range w.upstreamsOf(w.deployment.Deepest()) {
		busy, waiting := v.server.Load()
		s.InFlight += float64(busy)
		s.Queue += float64(waiting)
		if n := v.running(); n != nil {
			load := n.Node().Guard().Load()
			s.Limit += float64(load.Limit)
			s.Queue += float64(load.Queued)
		}
	}
}

// Percentile returns a quantile of latencies in ms, and sorts them.
func Percentile(latencies []time.Duration, q float64) float64 {
	slices.Sort(latencies)
	return millis(quantile(latencies, q))
}
