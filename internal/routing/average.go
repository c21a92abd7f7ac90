package routing

import (
	"math"
	"sync/atomic"
)

// average is an exponentially weighted moving average; safe for concurrent
// use. The zero value is 0.
type average struct {
	bits atomic.Uint64
}

func (a *average) load() float64 { return math.Float64frombits(a.bits.Load()) }

func (a *average) store(v float64) { a.bits.Store(math.Float64bits(v)) }

// add moves the average towards sample by gain in (0, 1].
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

// addOrSet is add, except that the first sample is taken as it is.
func (a *average) addOrSet(sample, gain float64) {
	if a.bits.CompareAndSwap(0, math.Float64bits(sample)) {
		return
	}
	a.add(sample, gain)
}

// forget returns what is left of v after some idle time: half after halfLife, a
// third after twice that. The hyperbola needs no exponential on a call's path.
func forget(v float64, idle, halfLife int64) float64 {
	if idle <= 0 {
		return v
	}
	return v * float64(halfLife) / float64(halfLife+idle)
}
