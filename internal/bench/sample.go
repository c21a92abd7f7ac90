package bench

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// SamplePeriod is the time between two samples of a run.
const SamplePeriod = 250 * time.Millisecond

// Sample holds the figures of one SamplePeriod. Rates are per second. Limit, InFlight
// and Queue are sums over all upstreams of the deepest service.
type Sample struct {
	// At is the end of the period, as time since the run's start.
	At    time.Duration
	Phase string
	// Offered is the rate of arrivals, Good that of good responses, and Weighted the
	// worth of the latter per second.
	Offered, Good, Weighted float64
	// Latencies are those of the good responses, ascending.
	Latencies []time.Duration
	// Limit is the concurrency limit of the guards; 0 under the baseline.
	Limit float64
	// InFlight is the number of slots in use.
	InFlight float64
	// Queue is the number of calls that wait at the guards or for a slot.
	Queue float64
	// Retries is the rate of retries within the system, at all services.
	Retries float64
}

// P50 returns the median latency in ms.
func (s *Sample) P50() float64 { return millis(quantile(s.Latencies, 0.50)) }

// P99 returns the 99th percentile of latency in ms.
func (s *Sample) P99() float64 { return millis(quantile(s.Latencies, 0.99)) }

// meter counts arrivals and good responses since the last sample. Safe for concurrent
// use.
type meter struct {
	mu        sync.Mutex
	offered   int
	worth     float64
	latencies []time.Duration
}

func (m *meter) recordArrival() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.offered++
}

func (m *meter) recordResponse(latency time.Duration, worth float64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.worth += worth
	m.latencies = append(m.latencies, latency)
}

func (m *meter) reset() (offered int, worth float64, latencies []time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	offered, worth, latencies = m.offered, m.worth, m.latencies
	m.offered, m.worth, m.latencies = 0, 0, nil
	return offered, worth, latencies
}

// startSampling calls onSample every SamplePeriod until the returned function is
// called.
func (w *World) startSampling(load *loadGenerator, phase *atomic.Value, onSample func(Sample)) (stop func()) {
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
			s := load.sampleRequests(now.Sub(last))
			s.At = now.Sub(load.start)
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

func (g *loadGenerator) sampleRequests(d time.Duration) Sample {
	offered, worth, latencies := g.meter.reset()
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
		if n := v.currentNode(); n != nil {
			load := n.Node().Guard().Load()
			s.Limit += float64(load.Limit)
			s.Queue += float64(load.Queued)
		}
	}
}

// Percentile sorts latencies in place and returns their q-quantile in ms.
func Percentile(latencies []time.Duration, q float64) float64 {
	slices.Sort(latencies)
	return millis(quantile(latencies, q))
}
