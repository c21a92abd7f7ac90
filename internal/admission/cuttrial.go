package admission

import "time"

const (
	// raisePauseAfterCut is the pause after a confirmed cut before the limit may rise.
	raisePauseAfterCut = 300 * time.Millisecond

	// slowFactor is the ratio of the median latency to the reference latency (cutTrial.reference)
	// above which a trial starts. At a ratio of at most normalFactor, the latency counts as normal
	// and the limit may rise again.
	slowFactor   = 2.0
	normalFactor = 1.5
	// trialLimitShare is the share of the limit that is kept during a trial.
	trialLimitShare = 0.75
	// minThroughputRatio is the minimum ratio of the throughput during a trial to the throughput
	// before it for the cut to be confirmed. It lies between trialLimitShare (the removed slots
	// were needed) and 1 (they were not).
	minThroughputRatio = 0.9
	// epochResponses is the number of responses that ends an epoch, which is one measurement of
	// throughput and latency. With this number of responses, throughput is known to about 5 %.
	epochResponses = 200
	// maxEpoch is the maximum length of an epoch. With fewer than minTrialResponses responses, an
	// epoch does not start a trial.
	maxEpoch          = 2 * time.Second
	minTrialResponses = 64
	// minBackoff and maxBackoff bound the pause after a trial that reduced throughput. A trial
	// costs a quarter of the responses of two epochs.
	minBackoff = 8 * time.Second
	maxBackoff = 64 * time.Second
	// referenceDrift is the share by which the reference latency rises per epoch while the median
	// latency is higher. Without it, a reference that has become too low would never be replaced.
	referenceDrift = 1.0 / 256
)

// trialState is the state of a trial cut.
type trialState int

const (
	trialIdle trialState = iota
	trialSettling
	trialMeasuring
)

// cutTrial lowers the limit when latency rises, but only after a trial.
//
// A rise of latency has two possible causes that look the same: the upstream runs too many calls
// at once, or a deeper service has become slower. A limit that follows latency alone collapses
// in the second case and leaves most slots unused. Throughput distinguishes the two: with fewer
// concurrent calls, an overcommitted upstream completes as many calls per second as before,
// whereas one that waits for others completes fewer. The trial therefore cuts the limit by a
// small step and compares the throughput. If the cut reduced throughput, it is reverted and not
// repeated until a backoff has passed.
type cutTrial struct {
	state trialState
	// reference is the median latency without congestion, 0 if unknown.
	reference     time.Duration
	latencyNormal bool
	// latencyExternal is set when a cut reduced throughput, so the latency is caused by another
	// service.
	latencyExternal bool
	epoch           epoch

	// limitBefore and rateBefore are the limit and the rate of responses before the trial.
	limitBefore int
	rateBefore  float64
	nextTrial   time.Time
	backoff     time.Duration
}

// epoch is one measurement of throughput and latency.
type epoch struct {
	started   time.Time
	responses int
	latency   histogram
	saturated bool
}

func newCutTrial(now time.Time) cutTrial {
	return cutTrial{latencyNormal: true, epoch: epoch{started: now, saturated: true}, backoff: minBackoff}
}

// abort ends a trial that another change of the limit has invalidated.
func (t *cutTrial) abort() { t.state = trialIdle }

// blocksRaise reports whether the limit must not rise, because a trial is running or because
// latency is already elevated at the current limit.
func (t *cutTrial) blocksRaise(saturated bool) bool {
	return t.state != trialIdle || saturated && !t.latencyNormal && !t.latencyExternal
}

// adjust is called once per interval; saturated states that the share of slots in use was
// above saturatedUse. It returns the new limit and whether a cut was confirmed.
func (t *cutTrial) adjust(now time.Time, saturated bool, limit int, cfg Config) (next int, confirmed bool) {
	t.epoch.saturated = t.epoch.saturated && saturated
	e := &t.epoch
	length := now.Sub(e.started)
	median := quantileOf(0.5, &e.latency, &histogram{})
	if t.state == trialSettling && length >= max(cfg.SojournInterval, median) {
		// Most calls that started before the cut have ended.
		t.state = trialMeasuring
		*e = epoch{started: now, saturated: true}
		return limit, false
	}
	tooShort := length < max(cfg.SojournInterval, 2*median)
	tooFew := e.responses < epochResponses && length < maxEpoch
	if tooShort || tooFew {
		return limit, false
	}
	if median > 0 {
		limit, confirmed = t.evaluate(now, median, float64(e.responses)/length.Seconds(), limit, cfg)
	}
	*e = epoch{started: now, saturated: true}
	return limit, confirmed
}

// evaluate processes a completed epoch.
func (t *cutTrial) evaluate(now time.Time, median time.Duration, rate float64, limit int, cfg Config) (next int, confirmed bool) {
	switch t.state {
	case trialIdle:
		t.updateReference(median)
		return t.maybeStart(now, median, rate, limit, cfg), false
	case trialMeasuring:
		return t.finish(now, median, rate, limit)
	}
	// adjust ends the settling phase.
	return limit, false
}

// updateReference lowers the reference to the median at once and raises it slowly.
func (t *cutTrial) updateReference(median time.Duration) {
	raisedReference := t.reference + time.Duration(float64(t.reference)*referenceDrift)
	if t.reference == 0 || median < raisedReference {
		t.reference = median
	} else {
		t.reference = raisedReference
	}
	t.latencyNormal = float64(median) <= normalFactor*float64(t.reference)
	if t.latencyNormal {
		t.latencyExternal = false
	}
}

// maybeStart starts a trial if the median has risen and the slots were saturated throughout the
// epoch.
func (t *cutTrial) maybeStart(now time.Time, median time.Duration, rate float64, limit int, cfg Config) int {
	slow := float64(median) > slowFactor*float64(t.reference)
	measurable := t.epoch.responses >= minTrialResponses && t.epoch.saturated
	if !slow || !measurable || now.Before(t.nextTrial) || limit <= cfg.MinLimit {
		return limit
	}
	t.limitBefore = limit
	t.rateBefore = rate
	t.state = trialSettling
	return max(cfg.MinLimit, int(trialLimitShare*float64(limit)))
}

// finish confirms or reverts the cut.
func (t *cutTrial) finish(now time.Time, median time.Duration, rate float64, limit int) (next int, confirmed bool) {
	t.state = trialIdle
	if !t.epoch.saturated {
		return t.limitBefore, false
	}
	if rate >= minThroughputRatio*t.rateBefore {
		t.backoff = minBackoff
		t.updateReference(median)
		return limit, true
	}
	t.latencyExternal = true
	t.nextTrial = now.Add(t.backoff)
	t.backoff = min(2*t.backoff, maxBackoff)
	return t.limitBefore, false
}
