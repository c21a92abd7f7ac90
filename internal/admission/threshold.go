package admission

const (
	// rankBuckets counts offers by rank: 64 buckets for each level.
	rankBuckets = 256
	bucketShift = 32 - 8
	// bucketWidth is the range of ranks of one bucket.
	bucketWidth = 1 << bucketShift
	// minThreshold keeps a sixteenth of the critical callers whatever comes.
	minThreshold = 4 * bucketWidth
	// decay of all sums per period: they cover about four periods.
	decay = 0.75
	// smallOpen is the step up per interval while most slots are in use, a 16th
	// of a level.
	smallOpen = 4 * bucketWidth
	// firstOpen is the first step up with many slots idle, a quarter of a level;
	// it doubles up to a level, so that a threshold at its lowest opens in six
	// intervals.
	firstOpen = 16 * bucketWidth
	maxOpen   = 64 * bucketWidth
	// fitMargin is the work admitted over what was started, so that the slots
	// stay busy.
	fitMargin = 1.25
	// rejectedShare is the part of offers rejected by a full queue that counts
	// as pressure even without a standing delay.
	rejectedShare = 0.05
	// Below fullUse of the slots there is room for some more callers; below
	// easyUse the threshold opens fast.
	fullUse = 0.95
	easyUse = 0.75
)

// shedder moves the threshold over (level, caller hash). Offers are counted by
// rank, so the threshold that fits the present capacity is read off directly.
type shedder struct {
	threshold uint32
	open      uint32
	offers    [rankBuckets]float32
	offered   float32
	started   float32
	// rejected counts calls refused for a full queue or an ended wait, rejectedNow
	// those of this interval alone.
	rejected    float32
	rejectedNow int
}

func newShedder() *shedder {
	return &shedder{threshold: nothingShed, open: firstOpen}
}

func (s *shedder) offer(rank uint32) {
	s.offers[rank>>bucketShift]++
	s.offered++
}

func (s *shedder) start() { s.started++ }

func (s *shedder) reject() {
	s.rejected++
	s.rejectedNow++
}

// pressed reports whether more is admitted than the slots can take.
func (s *shedder) pressed(overloaded bool) bool {
	return overloaded || (s.rejectedNow > 0 && s.rejected > rejectedShare*s.offered)
}

// relax is called once per interval with the part of the slots that calls below
// the threshold use, and the part in use at all. Unlike
// pressure, which shows only as calls end, idle slots are a fact of the moment,
// so there is no need to wait for a service time between steps. With the slots
// full it leaves the threshold alone, so that callers are not shed and taken in
// turns.
func (s *shedder) relax(below, use float64) {
	switch {
	case s.threshold == nothingShed || s.rejectedNow > 0 || below > fullUse:
		s.open = firstOpen
	case below > easyUse:
		s.open = firstOpen
		s.raise(smallOpen, use)
	default:
		s.raise(s.open, use)
		s.open = min(2*s.open, maxOpen)
	}
}

// endPeriod is called once per period.
func (s *shedder) endPeriod(overloaded bool) {
	if s.pressed(overloaded) {
		s.lower()
	}
	s.age()
}

// lower sheds at least one bucket more. Where the fit ends inside a bucket, that
// bucket is kept: a single caller with most of the traffic would otherwise be
// shed as a whole and the slots stay empty.
func (s *shedder) lower() {
	next := min(s.threshold, s.fit(s.started*fitMargin))
	if next == s.threshold && next > minThreshold {
		next -= min(bucketWidth, next-minThreshold)
	}
	s.threshold = max(next, minThreshold)
}

// fit returns the threshold below which that many offers were made.
func (s *shedder) fit(room float32) uint32 {
	for i, n := range s.offers {
		room -= n
		if room < 0 {
			return uint32(min((i+1)*bucketWidth, nothingShed))
		}
	}
	return nothingShed
}

// raise opens the threshold to what would fill the slots, but at most by step:
// entry nodes refuse early what this guard would shed, so the offers that wait
// behind the threshold are not all seen.
func (s *shedder) raise(step uint32, use float64) {
	if s.threshold > nothingShed-step {
		step = nothingShed - s.threshold
	}
	fit := s.fit(s.started / float32(max(use, 0.01)))
	s.threshold = min(s.threshold+step, max(fit, s.threshold))
}

func (s *shedder) age() {
	for i := range s.offers {
		s.offers[i] *= decay
	}
	s.offered *= decay
	s.started *= decay
	s.rejected *= decay
	s.rejectedNow = 0
}
