package admission

import "time"

const (
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

// cutTrial lowers the limit when latency rises, but only by a trial. The failure guarded
// against is a deeper service that slows down: it shows as the very same rise of latency
// as an upstream that has too much to do at once, and a limit that follows latency then
// collapses and wastes most of the slots. The two differ in throughput: with fewer calls
// at once an overcommitted upstream answers as many per second as before, one that waits
// for others answers fewer. So the limit is cut a little, throughput is compared, and a
// cut that cost answers is undone and not repeated for a while.
type cutTrial struct {
	state trialState
	// reference is the median latency without congestion, 0 when not known.
	reference time.Duration
	calm      bool
	// latencyNotOwned says that a cut did not help: the latency comes from elsewhere.
	latencyNotOwned bool
	epoch           epoch

	limitBefore   int
	answersBefore float64
	next          time.Time
	backoff       time.Duration
}

// epoch is one measurement of throughput and latency.
type epoch struct {
	started   time.Time
	answers   int
	latency   histogram
	saturated bool
}

func newCutTrial(now time.Time) cutTrial {
	return cutTrial{calm: true, epoch: epoch{started: now, saturated: true}, backoff: minBackoff}
}

// abort ends a trial that something else upset.
func (t *cutTrial) abort() { t.state = trialIdle }

// holds reports whether the limit must not rise: a trial runs, or latency says that the
// present limit is just right.
func (t *cutTrial) holds(saturated bool) bool {
	return t.state != trialIdle || saturated && !t.calm && !t.latencyNotOwned
}

// adjust is called once per interval; saturated says that no slot is free. It returns the
// limit from now on, and whether a cut was found to be right.
func (t *cutTrial) adjust(now time.Time, saturated bool, limit int, cfg Config) (next int, kept bool) {
	t.epoch.saturated = t.epoch.saturated && saturated
	e := &t.epoch
	length := now.Sub(e.started)
	median := quantileOf(0.5, &e.latency, &histogram{})
	if t.state == trialSettling && length >= max(cfg.SojournInterval, median) {
		// The calls that started before the cut have mostly ended.
		t.state = trialMeasuring
		*e = epoch{started: now, saturated: true}
		return limit, false
	}
	tooShort := length < max(cfg.SojournInterval, 2*median)
	tooFew := e.answers < epochAnswers && length < maxEpoch
	if tooShort || tooFew {
		return limit, false
	}
	if median > 0 {
		limit, kept = t.evaluate(now, median, float64(e.answers)/length.Seconds(), limit, cfg)
	}
	*e = epoch{started: now, saturated: true}
	return limit, kept
}

// evaluate takes a whole epoch.
func (t *cutTrial) evaluate(now time.Time, median time.Duration, rate float64, limit int, cfg Config) (next int, kept bool) {
	switch t.state {
	case trialIdle:
		t.follow(median)
		return t.consider(now, median, rate, limit, cfg), false
	case trialMeasuring:
		return t.conclude(now, median, rate, limit)
	}
	// Settling ends in adjust.
	return limit, false
}

// follow moves the reference down at once and up slowly.
func (t *cutTrial) follow(median time.Duration) {
	risen := t.reference + time.Duration(float64(t.reference)*creep)
	if t.reference == 0 || median < risen {
		t.reference = median
	} else {
		t.reference = risen
	}
	t.calm = float64(median) <= calmFactor*float64(t.reference)
	if t.calm {
		t.latencyNotOwned = false
	}
}

// consider starts a trial when the median has risen and all slots are in use.
func (t *cutTrial) consider(now time.Time, median time.Duration, rate float64, limit int, cfg Config) int {
	slow := float64(median) > slowFactor*float64(t.reference)
	enough := t.epoch.answers >= minTrialAnswers && t.epoch.saturated
	if !slow || !enough || now.Before(t.next) || limit <= cfg.MinLimit {
		return limit
	}
	t.limitBefore = limit
	t.answersBefore = rate
	t.state = trialSettling
	return max(cfg.MinLimit, int(trialCut*float64(limit)))
}

// conclude keeps the cut or undoes it.
func (t *cutTrial) conclude(now time.Time, median time.Duration, rate float64, limit int) (next int, kept bool) {
	t.state = trialIdle
	if !t.epoch.saturated {
		return t.limitBefore, false
	}
	if rate >= keptThroughput*t.answersBefore {
		t.backoff = minBackoff
		t.follow(median)
		return limit, true
	}
	t.latencyNotOwned = true
	t.next = now.Add(t.backoff)
	t.backoff = min(2*t.backoff, maxBackoff)
	return t.limitBefore, false
}
