package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// memoFor bounds how long the finding that all candidates shed is reused. It
// saves the scan of every candidate for every refused call, which would cost
// most when there is least to spare: at most 200 scans a second a service.
const memoFor = 5 * time.Millisecond

// Gains of the averages over a whole service. They are small, since every
// answer from every target counts.
const (
	serviceLatencyGain = 1.0 / 64
	serviceLoadGain    = 1.0 / 32
)

// service is what the targets of one service share. It outlives tables.
type service struct {
	cfg atomic.Pointer[Config]
	// epoch is where the nanosecond times of the targets start.
	epoch time.Time
	// latency is the mean time to an answer, in nanoseconds; the yardstick
	// for each target and the guess for one that has not answered yet.
	latency average
	// load is the mean of reported work over limit; the guess for a target
	// whose report is old.
	load average

	// ejecting serialises ejections, so that two of them cannot exceed the
	// cap together. Pick never takes it.
	ejecting sync.Mutex
	targets  atomic.Pointer[[]*Target]

	// memoRank and memoUntil say that all candidates shed this rank and
	// those less important, until that time.
	memoRank  atomic.Uint32
	memoUntil atomic.Int64
}

func newService(epoch time.Time) *service { return &service{epoch: epoch} }

// nanos returns now on the scale of the targets. Differences of times with a
// monotonic reading are immune to steps of the wall clock.
func (s *service) nanos(now time.Time) int64 { return int64(now.Sub(s.epoch)) }

func (s *service) knownFull(at int64, rank uint32) bool {
	return at < s.memoUntil.Load() && rank >= s.memoRank.Load()
}

// setFull notes that all candidates shed the rank; validUntil is when the
// oldest information behind that stops being fresh.
func (s *service) setFull(at int64, rank uint32, validUntil int64) {
	s.memoRank.Store(rank)
	s.memoUntil.Store(min(at+int64(memoFor), validUntil))
}

// clearFull forgets the finding at the first sign against it.
func (s *service) clearFull() { s.memoUntil.Store(0) }

// learn takes a report into the means of the service.
func (s *service) learn(r *LoadReport, own int64) {
	if r.Limit > 0 {
		others := max(0, r.InFlight+r.Queued-int(own))
		s.load.addOrSet(float64(others)/float64(r.Limit), serviceLoadGain)
	}
	accepts := r.Threshold == NoThreshold || s.memoRank.Load() < r.Threshold
	if accepts && !r.Draining {
		s.clearFull()
	}
}
