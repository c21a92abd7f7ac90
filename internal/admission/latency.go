package admission

import (
	"math/bits"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

const (
	// subBuckets splits each power of two of microseconds, so that a bucket is
	// at most a quarter wide.
	subBuckets = 4
	// histogramBuckets reaches to 2^27 µs, about 134 s.
	histogramBuckets = 27 * subBuckets
	// minSamples is the least number of samples that an estimate rests on. The
	// probes of one second (see probePause) are enough.
	minSamples = 4
	// lowQuantile is the service time that nearly every call needs.
	lowQuantile = 0.10
	// minGeneration is the least age at which a histogram starts to forget.
	minGeneration = time.Second
	// generationMedians is that age in service times, for slow services.
	generationMedians = 8
)

// histogram counts durations in log-linear buckets of fixed number.
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

// bucketStart is the least duration that falls into bucket i.
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

// quantileOf returns quantile q of both histograms taken together, interpolated
// inside its bucket; 0 without enough samples.
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

// window is a histogram over the last one to two generations.
type window struct {
	current, previous histogram
	started           time.Time
}

// rotate forgets what is older than two generations.
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

// estimator keeps service times by level and for all levels together. Reading
// an estimate costs nothing: refresh computes them once per interval.
type estimator struct {
	byLevel [callctx.Levels]window
	all     window
	low     [callctx.Levels]time.Duration
	median  time.Duration
}

func newEstimator(now time.Time) *estimator {
	e := &estimator{all: window{started: now}}
	for i := range e.byLevel {
		e.byLevel[i].started = now
	}
	return e
}

// answered takes in the service time of a whole answer.
func (e *estimator) answered(level callctx.Level, d time.Duration) {
	e.byLevel[level].current.add(d)
	e.all.current.add(d)
}

// exceeded takes in a call that was cut off after d. Its service time is not
// known but longer, so it counts as one bucket more, and only where it speaks
// for a longer estimate. Without it, a service whose every call times out would
// have no estimate and go on running calls in vain.
func (e *estimator) exceeded(level callctx.Level, d time.Duration) {
	longer := d + d/subBuckets
	if longer > e.low[level] {
		e.answered(level, longer)
	}
}

// refresh ages the samples and computes the estimates.
func (e *estimator) refresh(now time.Time) {
	generation := max(minGeneration, generationMedians*e.median)
	e.all.rotate(now, generation)
	e.median = e.all.quantile(0.5)
	common := e.all.quantile(lowQuantile)
	for i := range e.byLevel {
		e.byLevel[i].rotate(now, generation)
		e.low[i] = e.byLevel[i].quantile(lowQuantile)
		if e.low[i] == 0 {
			e.low[i] = common
		}
	}
}
