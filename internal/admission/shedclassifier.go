package admission

import "time"

const (
	// minShedSamples is the minimum number of shed calls, and of accepted calls, that distinguishes
	// the two causes. With 12 of each, 1 in 20 measurements mistakes random shedding for lack of
	// capacity; the next measurement corrects it.
	minShedSamples = 12
	// minShedMeasurement is the minimum length of a measurement, so that it covers more than one
	// burst of arrivals.
	minShedMeasurement = 100 * time.Millisecond
	// randomOverlap is the result of shedClassifier.overlap from which shedding is classified as
	// random. It lies between the overlap of an upstream that lacks capacity (0) and that of an
	// upstream that sheds at random (0.5).
	randomOverlap = 0.3
	// capacityOverlap is the overlap below which shedding that was classified as random is now due
	// to lack of capacity. It is 3 standard deviations below the overlap of random shedding.
	capacityOverlap = 0.15
	// ignoreRandomFor is how long shed calls do not lower the limit after shedding was classified
	// as random. Each measurement with the same result extends the time, and one that finds lack of
	// capacity ends it. It is about ten measurements at usual call rates.
	ignoreRandomFor = 2 * time.Second
	// loadBuckets is the number of buckets for the number of concurrent calls. With 16 slots each
	// number has its own bucket; with 122 slots about two numbers share one.
	loadBuckets = 64
)

// shedClassifier determines why an upstream sheds calls. An unhealthy or rate-limiting upstream
// refuses a share of all calls, regardless of how few run at once. A limit that follows these
// refusals falls to its minimum, so seven eighths of the slots are idle while callers are
// refused because no slot is available.
//
// An upstream that lacks capacity never sheds a call at a load at which it accepts another one.
// One that sheds at random does so equally at every load. The classifier therefore compares the
// shed calls with the calls accepted since the first shed call, by the number of calls that were
// running when each one started. Unlike a comparison of rates, this requires neither full slots
// nor steady demand, and a few dozen calls suffice.
type shedClassifier struct {
	// active is set from the first shed call until there was none for recentShedWindow.
	active bool
	// limitBefore is the limit before the first shed call, to which a wrong cut is reverted.
	limitBefore  int
	measureStart time.Time
	// startedCalls counts all started calls, including those shed later. An accepted call is known
	// as such only when it ends, so counting accepted calls directly would miss the latest ones.
	startedCalls, shedCalls loadCounts
	// randomUntil is the time until which shedding is treated as random.
	randomUntil time.Time
}

// loadCounts counts calls by the number of calls that were running when they started.
type loadCounts struct {
	byBucket [loadBuckets]int
	total    int
}

func (c *loadCounts) add(concurrent, slots int) {
	c.byBucket[min(concurrent*loadBuckets/(slots+1), loadBuckets-1)]++
	c.total++
}

// firstShed starts a measurement unless one is active.
func (s *shedClassifier) firstShed(now time.Time, limit int) {
	if s.active {
		return
	}
	s.active = true
	s.limitBefore = limit
	s.restart(now)
}

func (s *shedClassifier) restart(now time.Time) {
	s.measureStart = now
	s.startedCalls = loadCounts{}
	s.shedCalls = loadCounts{}
}

// callStarted records the start of a call while the given number of other calls is running.
func (s *shedClassifier) callStarted(concurrent, slots int) {
	if s.active {
		s.startedCalls.add(concurrent, slots)
	}
}

// accepted returns the number of calls that the upstream did not shed.
func (s *shedClassifier) accepted() int { return max(0, s.startedCalls.total-s.shedCalls.total) }

// overlap returns the probability that a shed call had fewer concurrent calls than an accepted
// one; equal numbers count half.
func (s *shedClassifier) overlap() float64 {
	acceptedBelow, sum, all := 0, 0.0, s.accepted()
	for bucket, shed := range s.shedCalls.byBucket {
		accepted := max(0, s.startedCalls.byBucket[bucket]-shed)
		acceptedAbove := all - acceptedBelow - accepted
		sum += float64(shed) * (float64(acceptedAbove) + float64(accepted)/2)
		acceptedBelow += accepted
	}
	return sum / float64(s.shedCalls.total*all)
}

// atRandom reports whether shedding is treated as random at now.
func (s *shedClassifier) atRandom(now time.Time) bool { return now.Before(s.randomUntil) }

// limitAction is the effect of a measurement on the limit.
type limitAction int

const (
	// keepFloor leaves the limit and its floor unchanged.
	keepFloor limitAction = iota
	// lowerFloor allows the limit to fall to half of its current value.
	lowerFloor
	// revertCut reverts the cut, because the upstream sheds at random.
	revertCut
)

// evaluate is called at the end of each interval.
func (s *shedClassifier) evaluate(now time.Time) limitAction {
	enough := s.accepted() >= minShedSamples && s.shedCalls.total >= minShedSamples
	if !enough || now.Sub(s.measureStart) < minShedMeasurement {
		return keepFloor
	}
	overlap := s.overlap()
	s.restart(now)
	switch {
	case overlap >= randomOverlap:
		s.randomUntil = now.Add(ignoreRandomFor)
		return revertCut
	case overlap < capacityOverlap:
		s.randomUntil = time.Time{}
	}
	return lowerFloor
}

// end ends the measurement once the upstream no longer sheds.
func (s *shedClassifier) end() { s.active = false }
