package routing

import (
	"sync"
	"sync/atomic"
	"time"
)

// shedMemoTTL bounds the time for which the result "all candidates shed this rank" is reused.
// Without the memo each refused call would scan every candidate, which costs most under overload.
// With it there are at most 200 scans per second and service.
const shedMemoTTL = 5 * time.Millisecond

// Gains of the averages over a whole service. They are small, because every response from every
// target counts.
const (
	serviceLatencyGain = 1.0 / 64
	serviceLoadGain    = 1.0 / 32
)

// service is the state shared by the targets of one service. It is carried over from table to
// table.
type service struct {
	cfg atomic.Pointer[Config]
	// epoch is the origin of the targets' times, which are in nanoseconds.
	epoch time.Time
	// meanLatency is the mean time to a response in nanoseconds. Targets are compared with it, and
	// it is the estimate for a target that has not responded yet.
	meanLatency average
	// meanLoad is the mean of reported work over limit. It is the estimate for a target whose
	// report has expired.
	meanLoad average

	spareSlots spareSlotsCell
	// calls counts the calls for which a target was to be chosen, without their retries.
	calls atomic.Int64
	// zoneShares are the shares of the calls that go to other zones; nil if all stay. callsAway counts
	// the calls that were sent there for it.
	zoneShares atomic.Pointer[[]ZoneShare]
	callsAway  atomic.Int64

	// ejectionMu serialises ejections, so that concurrent ones cannot exceed the cap. Pick never
	// locks it.
	ejectionMu sync.Mutex
	targets    atomic.Pointer[[]*Target]

	// Until shedMemoUntil, all candidates shed the rank shedMemoRank and all less important ranks.
	shedMemoRank  atomic.Uint32
	shedMemoUntil atomic.Int64
}

func newService(epoch time.Time) *service { return &service{epoch: epoch} }

// nanos returns now in nanoseconds since epoch. Times with a monotonic reading are not affected by
// steps of the wall clock.
func (s *service) nanos(now time.Time) int64 { return int64(now.Sub(s.epoch)) }

func (s *service) shedMemoCovers(at int64, rank uint32) bool {
	return at < s.shedMemoUntil.Load() && rank >= s.shedMemoRank.Load()
}

// setShedMemo records that all candidates shed the rank. validUntil is the time at which the oldest
// report behind this expires.
func (s *service) setShedMemo(at int64, rank uint32, validUntil int64) {
	s.shedMemoRank.Store(rank)
	s.shedMemoUntil.Store(min(at+int64(shedMemoTTL), validUntil))
}

// clearShedMemo invalidates the memo. It is called as soon as an observation contradicts the memo.
func (s *service) clearShedMemo() { s.shedMemoUntil.Store(0) }

// addReport adds a report to the mean load of the service. It clears the shed memo if the report
// shows that its sender accepts the rank of the memo.
func (s *service) addReport(r *LoadReport, ownInFlight int64) {
	if r.Limit > 0 {
		otherWork := max(0, r.InFlight+r.Queued-int(ownInFlight))
		s.meanLoad.addOrSet(float64(otherWork)/float64(r.Limit), serviceLoadGain)
	}
	accepts := r.Threshold == NoThreshold || s.shedMemoRank.Load() < r.Threshold
	if accepts && !r.Draining {
		s.clearShedMemo()
	}
}
