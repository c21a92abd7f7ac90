package routing

import (
	"math"
	"sync/atomic"
)

// average is an exponentially weighted moving average. It is safe for concurrent use. The zero
// value is 0.
type average struct {
	bits atomic.Uint64
}

func (a *average) load() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) store(v float64) { a.bits.Store(math.Float64bits(v)) }

// add moves the average towards sample by the fraction gain, in (0, 1].
func (a *average) add(sample, gain float64) {
	for {
		old := a.bits.Load()
		v := math.Float64frombits(old)
		v += gain * (sample - v)
		if a.bits.CompareAndSwap(old, math.Float64bits(v)) {
			return
		}
	}
}

// addOrSet is like add, but stores the first sample unchanged.
func (a *average) addOrSet(sample, gain float64) {
	if a.bits.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	a.add(sample, gain)
}

// decay returns v reduced for an idle time: to half after halfLife, to a third after twice
// halfLife. It is a hyperbola, because an exponential would be too expensive on the path of every
// call.
func decay(v float64, idle, halfLife int64) float64 {
	if idle <= 0 {
		return v
	}
	return v * float64(halfLife) / float64(halfLife+idle)
}
