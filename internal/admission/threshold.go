package admission

const (
	// rankBuckets is the number of buckets that count offers by rank: 64 per level.
	rankBuckets = 256
	bucketShift = 32 - 8
	// bucketWidth is the range of ranks in one bucket.
	bucketWidth = 1 << bucketShift
	// minThreshold always admits a sixteenth of the critical callers.
	minThreshold = 4 * bucketWidth
	// decay is the factor applied to all sums once per period. The sums therefore cover about four
	// periods.
	decay = 0.75
	// smallRaise is the step per interval while most slots are in use: a 16th of a level.
	smallRaise = 4 * bucketWidth
	// firstRaise is the first step while many slots are idle: a quarter of a level. The step
	// doubles up to a level (maxRaise), so that the threshold opens from its minimum in 6
	// intervals.
	firstRaise = 16 * bucketWidth
	maxRaise   = 64 * bucketWidth
	// capacityMargin is the ratio of admitted to started calls that keeps the slots busy.
	capacityMargin = 1.25
	// rejectedShare is the share of offers rejected by a full queue that counts as pressure even
	// without a standing delay.
	rejectedShare = 0.05
	// seenShare is the share of the offers below the highest rank that counts as offered: the few
	// above it are probes, which entry nodes admit above their threshold.
	seenShare = 0.95
	// fullUse and lightUse are shares of the slots in use. Below fullUse the threshold rises by
	// smallRaise per interval, and below lightUse by steps that double from firstRaise.
	fullUse  = 0.95
	lightUse = 0.75
)

// shedder adjusts the shed threshold over (level, caller hash). It counts offers by rank, so
// that the threshold for the current capacity can be looked up. It counts only the calls that the
// threshold applies to: roots and the first calls of trees.
type shedder struct {
	threshold uint32
	nextRaise uint32
	// offers counts the offered calls by rank bucket, offered is their sum, and roots counts the
	// roots among them. started counts the calls that started. All of them decay over periods.
	offers  [rankBuckets]float32
	offered float32
	roots   float32
	started float32
	// rejected counts calls refused because of a full queue or an expired wait, decaying over
	// periods. rejectedInPeriod counts those of the current period.
	rejected         float32
	rejectedInPeriod int
}

func newShedder() *shedder {
	return &shedder{threshold: openThreshold, nextRaise: firstRaise}
}

func (s *shedder) offer(rank uint32, root bool) {
	s.offers[rank>>bucketShift]++
	s.offered++
	if root {
		s.roots++
	}
}

func (s *shedder) start() { s.started++ }

func (s *shedder) reject() {
	s.rejected++
	s.rejectedInPeriod++
}

// underPressure reports whether more calls are admitted than the slots can serve.
func (s *shedder) underPressure(overloaded bool) bool {
	return overloaded || (s.rejectedInPeriod > 0 && s.rejected > rejectedShare*s.offered)
}

// raiseWhenIdle is called once per interval with the share of slots used by calls below the
// threshold and the share used by all calls. Pressure is only visible as calls end, but idle
// slots are visible at once, so the steps need not be a service time apart. While the slots are
// full the threshold does not change, so that callers are not shed and admitted alternately.
func (s *shedder) raiseWhenIdle(useBelow, use float64) {
	switch {
	case s.threshold == openThreshold || s.rejectedInPeriod > 0 || useBelow > fullUse:
		s.nextRaise = firstRaise
	case useBelow > lightUse:
		s.nextRaise = firstRaise
		s.raise(smallRaise, use)
	default:
		s.raise(s.nextRaise, use)
		s.nextRaise = min(2*s.nextRaise, maxRaise)
	}
}

// endPeriod is called once per period.
func (s *shedder) endPeriod(overloaded bool) {
	if s.underPressure(overloaded) {
		s.lower()
	}
	s.age()
}

// lower lowers the threshold to the one for the current capacity. If the capacity is used up by a
// part of the calls of a bucket, the threshold stays above this bucket. Otherwise a single caller
// with most of the traffic would be shed completely, and slots would stay idle.
//
// If most calls are roots, it lowers the threshold by at least one bucket. Roots are refused here, so
// the pressure shows the effect of the previous step. Trees are refused at their entry nodes, which
// learn the threshold later, and steps taken in the meantime would add up.
func (s *shedder) lower() {
	next := min(s.threshold, s.thresholdFor(s.started*capacityMargin))
	if next == s.threshold && next > minThreshold && s.roots > s.offered/2 {
		next -= min(bucketWidth, next-minThreshold)
	}
	s.threshold = max(next, minThreshold)
}

// thresholdFor returns the threshold below which the given number of calls was offered.
func (s *shedder) thresholdFor(capacity float32) uint32 {
	for i, n := range s.offers {
		capacity -= n
		if capacity < 0 {
			return uint32(min((i+1)*bucketWidth, openThreshold))
		}
	}
	return openThreshold
}

// raise raises the threshold to the value that would fill the slots, but by at most step, and to at
// most step above the ranks that are offered. Entry nodes refuse requests that this guard would shed,
// and learn a raise later. Until they have, the slots are as idle as before, and further raises would
// admit more than fits.
func (s *shedder) raise(step uint32, use float64) {
	fitting := s.thresholdFor(s.started / float32(max(use, 0.01)))
	offered := addRank(s.thresholdFor(s.offered*seenShare), step)
	s.threshold = max(s.threshold, min(addRank(s.threshold, step), fitting, offered))
}

// addRank returns the rank that is step above a rank, at most openThreshold.
func addRank(rank, step uint32) uint32 {
	if rank > openThreshold-step {
		return openThreshold
	}
	return rank + step
}

func (s *shedder) age() {
	for i := range s.offers {
		s.offers[i] *= decay
	}
	s.offered *= decay
	s.roots *= decay
	s.started *= decay
	s.rejected *= decay
	s.rejectedInPeriod = 0
}
