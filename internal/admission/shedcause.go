package admission

import "time"

const (
	// shedSamples is how many calls shed, and how many taken, tell the two causes
	// apart: with 12 of each, calls shed at random are taken for want of room once in
	// 20 times, and then the next measurement follows.
	shedSamples = 12
	// shedMeasure is the least time of a measurement, so that it covers more than one
	// burst of arrivals.
	shedMeasure = 100 * time.Millisecond
	// randomOverlap lies between the overlap of upstreams that are short of room, which
	// is 0, and that of upstreams that shed at random, which is a half.
	randomOverlap = 0.3
	// roomOverlap is the overlap below which sheds that were at random are for want of room
	// now: three standard deviations below that of sheds at random.
	roomOverlap = 0.15
	// randomPause is how long sheds don't lower the limit once they were found to be
	// at random; each further measurement that finds the same extends it, and one that finds
	// a want of room ends it. Some ten measurements at usual rates.
	randomPause = 2 * time.Second
	// loadLevels is how finely the calls that run beside another one are told apart:
	// each of 16 slots, every second one of 122.
	loadLevels = 64
)

// shedCause tells why an upstream sheds calls. The failure guarded against: an
// upstream refuses a share of all calls, however few it has at once, since it is ill
// or guards itself by rate. A limit that follows its refusals falls to its least, and
// seven eighths of the slots stand idle while callers are refused for want of them.
//
// An upstream that is short of room never sheds a call at a load at which it takes
// another one; one that sheds at random does so at every load alike. So each call shed
// is compared with the calls taken since the first one was shed, by how many ran
// beside it when it began. Unlike a comparison of rates this needs neither full slots nor
// steady demand, and a few dozen calls decide.
type shedCause struct {
	// active is set from the first shed on, until there was none for shedMemory.
	active bool
	// limitBefore is what a cut that was wrong is undone to.
	limitBefore int
	since       time.Time
	// began counts all calls, those that were shed too: a call that was taken is known
	// as such only when it ends, and those that began last would be missing.
	began, shed loadCounts
	// randomUntil is how long sheds are held to be at random.
	randomUntil time.Time
}

// loadCounts counts calls by how many ran beside them when they began.
type loadCounts struct {
	byLevel [loadLevels]int
	total   int
}

func (c *loadCounts) add(beside, slots int) {
	c.byLevel[min(beside*loadLevels/(slots+1), loadLevels-1)]++
	c.total++
}

// begin starts a measurement with the first shed.
func (s *shedCause) begin(now time.Time, limit int) {
	if s.active {
		return
	}
	s.active = true
	s.limitBefore = limit
	s.restart(now)
}

func (s *shedCause) restart(now time.Time) {
	s.since = now
	s.began = loadCounts{}
	s.shed = loadCounts{}
}

// start counts a call that begins beside that many others.
func (s *shedCause) start(beside, slots int) {
	if s.active {
		s.began.add(beside, slots)
	}
}

// taken is how many calls the upstream did not shed.
func (s *shedCause) taken() int { return max(0, s.began.total-s.shed.total) }

// overlap is the chance that a call shed had fewer calls beside it than one taken;
// as many count half.
func (s *shedCause) overlap() float64 {
	below, sum, all := 0, 0.0, s.taken()
	for level, shed := range s.shed.byLevel {
		taken := max(0, s.began.byLevel[level]-shed)
		above := all - below - taken
		sum += float64(shed) * (float64(above) + float64(taken)/2)
		below += taken
	}
	return sum / float64(s.shed.total*all)
}

// atRandom reports whether sheds are held to be at random at now.
func (s *shedCause) atRandom(now time.Time) bool { return now.Before(s.randomUntil) }

// verdict is what a measurement says of the limit.
type verdict int

const (
	// undecided: go on as before.
	undecided verdict = iota
	// mayFall: the limit may fall to half of what it is.
	mayFall
	// wrongCut: the upstream sheds at random.
	wrongCut
)

// judge is called at the end of each interval.
func (s *shedCause) judge(now time.Time) verdict {
	enough := s.taken() >= shedSamples && s.shed.total >= shedSamples
	if !enough || now.Sub(s.since) < shedMeasure {
		return undecided
	}
	overlap := s.overlap()
	s.restart(now)
	switch {
	case overlap >= randomOverlap:
		s.randomUntil = now.Add(randomPause)
		return wrongCut
	case overlap < roomOverlap:
		s.randomUntil = time.Time{}
	}
	return mayFall
}

// end ends a measurement after which the upstream sheds no more.
func (s *shedCause) end() { s.active = false }
