package admission

import "time"

const (
	// raiseShare: the limit rises by an eighth of the slots per interval, so
	// from its least default value to all slots in seven intervals (0.7 s).
	raiseShare = 8
	// shedShare: one call shed by the upstream takes off at most an eighth.
	shedShare = 8
	// holdShare of the floor is where sheds hold the limit until their effect was
	// measured, so that it can meet a room of a little less than half at once.
	holdShare = 0.75
	// shedPause is the pause before the limit rises after a shed call.
	shedPause = 200 * time.Millisecond
	// shedMemory is how long after it the limit rises only by one at a time.
	shedMemory = 500 * time.Millisecond
	// cutPause is the pause before the limit rises after a confirmed cut.
	cutPause = 300 * time.Millisecond

	// slowFactor is the rise of the median over its reference that starts a
	// trial; calmFactor is the rise up to which the limit may go up again.
	slowFactor = 2.0
	calmFactor = 1.5
	// trialCut is the part of the limit kept in a trial.
	trialCut = 0.75
	// keptThroughput is the part of the earlier throughput that must remain for
	// a cut to be confirmed. It lies between trialCut (the slots were needed)
	// and 1 (they were not).
	keptThroughput = 0.9
	// epochAnswers ends an epoch: enough that throughput is known to some 5 %.
	epochAnswers = 200
	// maxEpoch ends an epoch that has too few answers; with fewer than
	// minTrialAnswers it is no base for a trial.
	maxEpoch        = 2 * time.Second
	minTrialAnswers = 64
	// minBackoff and maxBackoff bound the pause after a refuted cut. A trial
	// costs a quarter of the answers of two epochs.
	minBackoff = 8 * time.Second
	maxBackoff = 64 * time.Second
	// creep is the rise of the reference per epoch, by which it forgets a
	// latency that no longer exists.
	creep = 1.0 / 256
)

// trialState is where the limiter stands with a trial cut.
type trialState int

const (
	trialIdle trialState = iota
	trialSettling
	trialMeasuring
)

// limiter adapts the concurrency limit. Two signals lower it: calls that the
// upstream sheds (at once), and a rise of the median latency, but this only by
// a trial. The failure guarded against is a deeper service that slows down: it
// shows as the very same rise of latency as an upstream that has too much to do
// at once, and a limit that follows latency then collapses and wastes most of
// the slots. The two differ in throughput: with fewer calls at once an
// overcommitted upstream answers as many per second as before, one that waits
// for others answers fewer. So the limit is cut a little, throughput is
// compared, and a cut that cost answers is undone and not repeated for a while.
type limiter struct {
	cfg   Config
	limit int
	// raiseAfter is when the limit may rise next, lastShed when the upstream
	// shed a call.
	raiseAfter, lastShed time.Time
	// floor is the least limit that sheds may reach before their effect was measured.
	floor     int
	shedCause shedCause
	headroom  headroom

	// reference is the median latency without congestion, 0 when not known.
	reference time.Duration
	calm      bool
	epoch     epoch

	trial           trialState
	limitBefore     int
	answersBefore   float64
	nextTrial       time.Time
	backoff         time.Duration
	latencyNotOwned bool
}

// epoch is one measurement of throughput and latency.
type epoch struct {
	started   time.Time
	answers   int
	latency   histogram
	saturated bool
}

func newLimiter(cfg Config, now time.Time) *limiter {
	return &limiter{
		cfg:     cfg,
		limit:   cfg.Slots,
		floor:   cfg.Slots / 2,
		calm:    true,
		epoch:   epoch{started: now, saturated: true},
		backoff: minBackoff,
	}
}

// reconfigure keeps the present limit inside the new bounds.
func (l *limiter) reconfigure(cfg Config) {
	wasFull := l.limit >= l.top()
	if cfg.Slots != l.cfg.Slots || !cfg.Adapt {
		l.headroom = headroom{}
	}
	l.cfg = cfg
	l.trial = trialIdle
	if wasFull || !cfg.Adapt {
		l.limit = l.top()
	}
	l.limit = min(max(l.limit, cfg.MinLimit), l.top())
}

// top is the greatest limit.
func (l *limiter) top() int { return max(l.cfg.Slots-l.headroom.inForce(), l.cfg.MinLimit) }

// start takes a call that begins beside that many others.
func (l *limiter) start(beside int) { l.shedCause.start(beside, l.cfg.Slots) }

func (l *limiter) answered(latency time.Duration) {
	l.epoch.answers++
	l.epoch.latency.add(latency)
	l.headroom.answers++
}

// upstreamShed lowers the limit towards inFlight, which is what the upstream
// holds besides the call that it shed. It reacts at once, since a shed call
// frees its slot within a millisecond and the next one would be shed as well.
// beside is how many others ran when the call began.
func (l *limiter) upstreamShed(now time.Time, inFlight, beside int) {
	if !l.cfg.Adapt {
		return
	}
	l.shedCause.begin(now, l.limit)
	l.shedCause.shed.add(beside, l.cfg.Slots)
	l.lastShed = now
	l.headroom.abort(now)
	if l.shedCause.byLot(now) {
		return
	}
	lower := l.limit - max(1, l.limit/shedShare)
	floor := int(holdShare * float64(l.floor))
	l.limit = min(l.limit, l.top(), max(lower, inFlight, floor, l.cfg.MinLimit))
	l.raiseAfter = now.Add(shedPause)
	l.trial = trialIdle
}

// adjust is called once per interval with the part of the slots in use.
func (l *limiter) adjust(now time.Time, use float64) {
	if !l.cfg.Adapt {
		return
	}
	saturated := use > saturatedUse
	l.epoch.saturated = l.epoch.saturated && saturated
	l.closeEpoch(now)
	l.raise(now, saturated)
	l.followSheds(now)
	l.adjustHeadroom(now, use > fullSlots)
}

// adjustHeadroom lets a trial of the headroom go on while nothing else holds the limit
// down.
func (l *limiter) adjustHeadroom(now time.Time, full bool) {
	if l.trial != trialIdle || l.limit < l.top() {
		l.headroom.abort(now)
		return
	}
	l.headroom.adjust(now, full, l.reference, l.cfg)
	l.limit = l.top()
}

// followSheds lets the limit fall further, or undoes what sheds took off it.
func (l *limiter) followSheds(now time.Time) {
	if !l.shedCause.active {
		l.floor = l.limit / 2
		return
	}
	if now.Sub(l.lastShed) >= shedMemory {
		l.shedCause.end()
		l.floor = l.limit / 2
		return
	}
	known := l.shedCause.byLot(now)
	verdict := l.shedCause.judge(now)
	if verdict == undecided {
		return
	}
	if verdict == wrongCut && !known {
		l.limit = min(l.shedCause.limitBefore, l.top())
		l.raiseAfter = time.Time{}
	}
	l.floor = l.limit / 2
}

// raise lets the limit go up unless a trial runs, a pause holds or latency says
// that the present limit is just right.
func (l *limiter) raise(now time.Time, saturated bool) {
	if l.trial != trialIdle || now.Before(l.raiseAfter) {
		return
	}
	if saturated && !l.calm && !l.latencyNotOwned {
		return
	}
	step := max(1, l.cfg.Slots/raiseShare)
	recent := !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedMemory
	if recent && !l.shedCause.byLot(now) {
		step = 1
	}
	l.limit = min(l.limit+step, l.top())
}

// closeEpoch evaluates the epoch once it is long enough to measure throughput.
func (l *limiter) closeEpoch(now time.Time) {
	e := &l.epoch
	length := now.Sub(e.started)
	median := quantileOf(0.5, &e.latency, &histogram{})
	if l.trial == trialSettling && length >= max(l.cfg.SojournInterval, median) {
		// The calls that started before the cut have mostly ended.
		l.trial = trialMeasuring
		*e = epoch{started: now, saturated: true}
		return
	}
	tooShort := length < max(l.cfg.SojournInterval, 2*median)
	tooFew := e.answers < epochAnswers && length < maxEpoch
	if tooShort || tooFew {
		return
	}
	rate := float64(e.answers) / length.Seconds()
	if median > 0 {
		l.evaluate(now, median, rate)
	}
	*e = epoch{started: now, saturated: true}
}

func (l *limiter) evaluate(now time.Time, median time.Duration, rate float64) {
	switch l.trial {
	case trialIdle:
		l.follow(median)
		l.consider(now, median, rate)
	case trialSettling:
		// It ends in closeEpoch.
	case trialMeasuring:
		l.conclude(now, median, rate)
	}
}

// follow moves the reference down at once and up slowly.
func (l *limiter) follow(median time.Duration) {
	risen := l.reference + time.Duration(float64(l.reference)*creep)
	if l.reference == 0 || median < risen {
		l.reference = median
	} else {
		l.reference = risen
	}
	l.calm = float64(median) <= calmFactor*float64(l.reference)
	if l.calm {
		l.latencyNotOwned = false
	}
}

// consider starts a trial when the median has risen and all slots are in use.
func (l *limiter) consider(now time.Time, median time.Duration, rate float64) {
	slow := float64(median) > slowFactor*float64(l.reference)
	enough := l.epoch.answers >= minTrialAnswers && l.epoch.saturated
	if !slow || !enough || now.Before(l.nextTrial) || l.limit <= l.cfg.MinLimit {
		return
	}
	l.headroom.abort(now)
	l.limitBefore = l.limit
	l.answersBefore = rate
	l.limit = max(l.cfg.MinLimit, int(trialCut*float64(l.limit)))
	l.trial = trialSettling
}

// conclude keeps the cut or undoes it.
func (l *limiter) conclude(now time.Time, median time.Duration, rate float64) {
	l.trial = trialIdle
	if !l.epoch.saturated {
		l.limit = l.limitBefore
		return
	}
	if rate >= keptThroughput*l.answersBefore {
		l.raiseAfter = now.Add(cutPause)
		l.backoff = minBackoff
		l.follow(median)
		return
	}
	l.limit = l.limitBefore
	l.latencyNotOwned = true
	l.nextTrial = now.Add(l.backoff)
	l.backoff = min(2*l.backoff, maxBackoff)
}
