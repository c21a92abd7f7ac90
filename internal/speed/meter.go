// Package speed measures how fast an upstream runs calls, and compares it with the other upstreams of
// its service.
//
// It answers this load pattern: upstreams announce equal slots and differ in speed, so that equal
// occupancy gives unequal waits. Service times are compared by kind of call, since an upstream that
// happens to receive longer calls isn't slower.
//
// The package is pure: no I/O, no clock, no random source.
package speed

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenagrade/galenagrade/internal/overview"
)

const (
	// timeConstant is the time in which a rate or an unused mean falls to 1/e.
	timeConstant = 2 * time.Second
	// maxWeight is the number of samples that make up a mean. A frequent kind follows an upstream that
	// becomes slow within a fraction of a second.
	maxWeight = 64
	// minWeight is the weight of samples from which a kind has a mean.
	minWeight = 4
	// maxServiceTime bounds a sample.
	maxServiceTime = time.Hour
)

// Kind returns the kind of a call: calls of a service with the same method and first segment of the
// path, made by a caller or by an upstream, are taken to do the same work. All nodes compute the same
// value.
func Kind(method, target string, deep bool) uint32 {
	path, _, _ := strings.Cut(strings.TrimPrefix(target, "/"), "?")
	segment, _, _ := strings.Cut(path, "/")
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(method)
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(segment)
	if deep {
		_, _ = d.WriteString("\x00")
	}
	return uint32(d.Sum64())
}

// Meter holds the service times of an upstream by kind of call, for at most overview.MaxKinds kinds.
// Older samples weigh less, and a kind without samples expires. The zero value is ready. It is not
// safe for concurrent use.
type Meter struct {
	kinds [overview.MaxKinds]kindSum
}

// kindSum is the sum of the samples of a kind, where newer ones weigh more.
type kindSum struct {
	kind            uint32
	weight, seconds float64
	// calls is the number of calls of about the last timeConstant, as of at.
	calls float64
	at    time.Time
}

// add adds a sample to a sum that was faded to its time.
func (k *kindSum) add(seconds float64) {
	if k.weight >= maxWeight {
		k.seconds *= (maxWeight - 1) / k.weight
		k.weight = maxWeight - 1
	}
	k.weight++
	k.seconds += seconds
	k.calls++
}

// fade lowers the weights to those of now.
func (k *kindSum) fade(now time.Time) {
	if elapsed := now.Sub(k.at); elapsed > 0 {
		factor := math.Exp(-float64(elapsed) / float64(timeConstant))
		k.weight *= factor
		k.seconds *= factor
		k.calls *= factor
		k.at = now
	}
}

// Observe records the service time of a call.
func (m *Meter) Observe(now time.Time, kind uint32, d time.Duration) {
	k := m.find(now, kind)
	if k == nil {
		return
	}
	k.fade(now)
	k.add(min(max(d, time.Microsecond), maxServiceTime).Seconds())
}

// find returns the sum of a kind, in place of the one with the least weight if there is none. It
// returns nil while all others are more frequent than one call per time constant.
func (m *Meter) find(now time.Time, kind uint32) *kindSum {
	least := &m.kinds[0]
	for i := range m.kinds {
		k := &m.kinds[i]
		if k.weight > 0 && k.kind == kind {
			return k
		}
		if k.calls < least.calls {
			least = k
		}
	}
	least.fade(now)
	if least.calls > 1 {
		return nil
	}
	*least = kindSum{kind: kind, at: now}
	return least
}

// Times returns the mean service time and the rate of each kind with enough samples, the most frequent
// first.
func (m *Meter) Times(now time.Time) []overview.KindTime {
	var times []overview.KindTime
	for i := range m.kinds {
		k := &m.kinds[i]
		k.fade(now)
		if k.weight >= minWeight {
			times = append(times, overview.KindTime{Kind: k.kind, Seconds: k.seconds / k.weight, PerSecond: k.calls / timeConstant.Seconds()})
		}
	}
	slices.SortFunc(times, func(a, b overview.KindTime) int { return cmp.Compare(b.PerSecond, a.PerSecond) })
	return times
}

// Relative returns the speed of the upstream relative to its service: the time that its calls would
// take at a mean upstream of the service over the time that they take here, between Min and Max. It is
// Unknown without a kind that both have.
func (m *Meter) Relative(now time.Time, service map[uint32]float64) float64 {
	there, here := 0.0, 0.0
	for i := range m.kinds {
		k := &m.kinds[i]
		mean, known := service[k.kind]
		if !known {
			continue
		}
		k.fade(now)
		if k.weight >= minWeight {
			there += k.calls * mean
			here += k.calls * k.seconds / k.weight
		}
	}
	if there == 0 || here == 0 {
		return Unknown
	}
	return Clamp(there / here)
}
