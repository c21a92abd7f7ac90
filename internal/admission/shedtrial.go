package admission

import "time"

const (
	// shedMeasure is the least time over which answers are counted before the limit
	// falls below a half of what it was: 40 answers of an upstream with 16 slots and
	// calls of 80 ms.
	shedMeasure = 200 * time.Millisecond
	// shedAnswers is how many answers tell two rates a fifth apart from each other.
	shedAnswers = 40
	// maxShedMeasure ends a measurement that gets fewer.
	maxShedMeasure = time.Second
	// shedCut is how much the limit must have fallen for its effect to be judged.
	shedCut = 0.75
	// shedStays is the part of the sheds' share that must be left at a lower limit for
	// them to be by lot: an upstream that is short of room sheds nothing once it has
	// fewer calls than room.
	shedStays = 0.5
	// shedByLot is the least share of sheds that is taken for one by lot. A limit that
	// follows an upstream's room meets it a few times a second, with less than a tenth
	// of its calls.
	shedByLot = 0.2
	// shedKept is the part of the answers that must remain for a cut to be right: it
	// lies between shedCut, where the slots were needed, and 1, where they were not.
	shedKept = 0.85
)

// shedTrial watches what a limit that falls by the upstream's sheds does to the
// rate of answers. The failure guarded against: an upstream refuses a share of all
// calls, however few it has at once, since it is ill or guards itself by rate. A
// limit that follows its refusals falls to its least, and seven eighths of the slots
// stand idle while callers are refused for want of them. An upstream that is short
// of room answers as many calls a second with fewer at once, and sheds fewer of them;
// one that refuses by lot answers fewer and sheds the same share, and the cut is
// undone.
type shedTrial struct {
	// active is set from the first shed on, until there was none for shedMemory.
	active bool
	// limitBefore is what a cut that was wrong is undone to.
	limitBefore int
	// limit, rate and share of sheds are those of the last measurement; limit is 0
	// before the first.
	limit int
	rate  float64
	share float64

	// settled says that the calls that ran when the trial began have mostly ended.
	settled   bool
	since     time.Time
	answers   int
	sheds     int
	saturated bool

	// ignoredUntil is how long sheds don't lower the limit, after a cut was wrong.
	ignoredUntil time.Time
	backoff      time.Duration
}

// begin starts a trial with the first shed.
func (t *shedTrial) begin(now time.Time, limit int) {
	if t.active {
		return
	}
	*t = shedTrial{active: true, limitBefore: limit, ignoredUntil: t.ignoredUntil, backoff: t.backoff}
	t.restart(now)
}

func (t *shedTrial) restart(now time.Time) {
	t.since = now
	t.answers = 0
	t.sheds = 0
	t.saturated = true
}

// settle waits until calls from before the trial have mostly ended, and begins to
// measure then.
func (t *shedTrial) settle(now time.Time, median time.Duration) {
	if now.Sub(t.since) >= 2*median {
		t.settled = true
		t.restart(now)
	}
}

// verdict is what a measurement says of the limit.
type verdict int

const (
	// undecided: go on as before.
	undecided verdict = iota
	// mayFall: the limit may fall to half of what it is.
	mayFall
	// wrongCut: fewer slots answered fewer calls.
	wrongCut
)

// judge is called at the end of each interval.
func (t *shedTrial) judge(now time.Time, limit int, saturated bool, median time.Duration) verdict {
	t.saturated = t.saturated && saturated
	if !t.settled {
		t.settle(now, median)
		return undecided
	}
	length := now.Sub(t.since)
	if length < max(shedMeasure, 2*median) || t.answers < shedAnswers && length < maxShedMeasure {
		return undecided
	}
	rate := float64(t.answers) / length.Seconds()
	share := float64(t.sheds) / float64(max(t.answers+t.sheds, 1))
	fell := t.limit > 0 && float64(limit) <= shedCut*float64(t.limit)
	if fell && t.saturated && rate < shedKept*t.rate && share >= max(shedByLot, shedStays*t.share) {
		return wrongCut
	}
	if t.limit == 0 || fell {
		t.limit, t.rate, t.share = limit, rate, share
	}
	t.restart(now)
	return mayFall
}

// undo ends a trial whose cut was wrong. Sheds are ignored for a while, which grows
// with each cut in a row that was.
func (t *shedTrial) undo(now time.Time) {
	t.active = false
	t.backoff = min(max(2*t.backoff, minBackoff), maxBackoff)
	t.ignoredUntil = now.Add(t.backoff)
}

// end ends a trial after which the upstream sheds no more.
func (t *shedTrial) end() {
	t.active = false
	t.backoff = 0
}
