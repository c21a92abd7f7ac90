package admission

import (
	"math/bits"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// subBuckets is the number of buckets per power of two of microseconds. The width of a bucket
	// is at most a quarter of its start.
	subBuckets = 4
	// histogramBuckets covers durations up to 2^27 µs, about 134 s.
	histogramBuckets = 27 * subBuckets
	// minSamples is the minimum number of samples for an estimate. The probes of one second (see
	// minProbeInterval) suffice.
	minSamples = 4
	// lowQuantile selects a service time that nearly all calls exceed.
	lowQuantile = 0.10
	// minGeneration is the minimum length of a generation of samples; see window.
	minGeneration = time.Second
	// generationMedians is the length of a generation in median service times. It applies to slow
	// services.
	generationMedians = 8
)

// histogram counts durations in a fixed number of log-linear buckets.
type histogram struct {
	counts [histogramBuckets]uint32
	total  uint32
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d, 0) / time.Microsecond)
	if us < subBuckets {
		return int(us)
	}
	exp := bits.Len64(us) - 1
	sub := int(us>>(exp-2)) & (subBuckets - 1)
	return min((exp-1)*subBuckets+sub, histogramBuckets-1)
}

// bucketStart returns the shortest duration in bucket i.
func bucketStart(i int) time.Duration {
	if i < subBuckets {
		return time.Duration(i) * time.Microsecond
	}
	exp := i/subBuckets + 1
	sub := i % subBuckets
	return time.Duration((subBuckets+sub)<<(exp-2)) * time.Microsecond
}

func (h *histogram) add(d time.Duration) {
	h.counts[bucketOf(d)]++
	h.total++
}

func (h *histogram) reset() { *h = histogram{} }

// quantileOf returns quantile q of both histograms combined, interpolated within its bucket; 0
// if there are fewer than minSamples samples.
func quantileOf(q float64, a, b *histogram) time.Duration {
	total := a.total + b.total
	if total < minSamples {
		return 0
	}
	rank := q * float64(total)
	seen := 0.0
	for i := range histogramBuckets {
		n := float64(a.counts[i] + b.counts[i])
		if n > 0 && seen+n >= rank {
			start := bucketStart(i)
			width := bucketStart(i+1) - start
			return start + time.Duration(float64(width)*(rank-seen)/n)
		}
		seen += n
	}
	return bucketStart(histogramBuckets)
}

// window is a histogram of the current and the previous generation.
type window struct {
	current, previous histogram
	started           time.Time
}

// rotate starts a new generation if the current one is older than generation. Samples older than
// two generations are dropped.
func (w *window) rotate(now time.Time, generation time.Duration) {
	age := now.Sub(w.started)
	if age < generation {
		return
	}
	w.previous = w.current
	if age >= 2*generation {
		w.previous.reset()
	}
	w.current.reset()
	w.started = now
}

func (w *window) quantile(q float64) time.Duration {
	return quantileOf(q, &w.current, &w.previous)
}

// estimator estimates service times by level and over all levels. refresh computes the estimates
// once per interval, so reading them is cheap.
type estimator struct {
	byLevel      [callctx.Levels]window
	allLevels    window
	lowQuantiles [callctx.Levels]time.Duration
	median       time.Duration
}

func newEstimator(now time.Time) *estimator {
	e := &estimator{allLevels: window{started: now}}
	for i := range e.byLevel {
		e.byLevel[i].started = now
	}
	return e
}

// answered records the service time of a complete response.
func (e *estimator) answered(level callctx.Level, d time.Duration) {
	e.byLevel[level].current.add(d)
	e.allLevels.current.add(d)
}

// timedOut records a call that was cut off after d. Its service time is unknown but longer than
// d, so it counts as one bucket longer, and only if that increases the estimate. Without these
// samples, a service whose calls all time out would have no estimate, and would keep running
// calls that cannot succeed.
func (e *estimator) timedOut(level callctx.Level, d time.Duration) {
	longer := d + d/subBuckets
	if longer > e.lowQuantiles[level] {
		e.answered(level, longer)
	}
}

// refresh rotates the generations of samples and computes the estimates.
func (e *estimator) refresh(now time.Time) {
	generation := max(minGeneration, generationMedians*e.median)
	e.allLevels.rotate(now, generation)
	e.median = e.allLevels.quantile(0.5)
	lowQuantileOfAll := e.allLevels.quantile(lowQuantile)
	for i := range e.byLevel {
		e.byLevel[i].rotate(now, generation)
		e.lowQuantiles[i] = e.byLevel[i].quantile(lowQuantile)
		if e.lowQuantiles[i] == 0 {
			e.lowQuantiles[i] = lowQuantileOfAll
		}
	}
}
