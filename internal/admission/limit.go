package admission

import "time"

const (
	// raiseDivisor: the limit rises by an eighth of the slots per interval. It rises from the
	// default minimum to all slots in 7 intervals (0.7 s).
	raiseDivisor = 8
	// shedCutDivisor: one call shed by the upstream lowers the limit by at most an eighth.
	shedCutDivisor = 8
	// unmeasuredFloorShare times limiter.floor is the lowest limit that shed calls can cause before
	// their effect is measured. The floor is half of an earlier limit. The share is less than 1 so
	// that the limit can follow at once when the capacity drops to slightly less than half.
	unmeasuredFloorShare = 0.75
	// raisePauseAfterShed is the pause after a shed call before the limit may rise.
	raisePauseAfterShed = 200 * time.Millisecond
	// recentShedWindow is the time after a shed call in which the limit rises only by 1 per
	// interval.
	recentShedWindow = 500 * time.Millisecond
)

// limiter adapts the concurrency limit. Three conditions lower it:
//   - The upstream sheds calls. The limit falls at once, unless the upstream sheds at random; see
//     shedClassifier.
//   - The median latency rises, and a trial shows that a lower limit does not reduce throughput;
//     see cutTrial.
//   - The slots are full, and a trial shows that throughput is higher with a few of them empty;
//     see reserve.
type limiter struct {
	cfg   Config
	limit int
	// raiseAfter is the earliest time of the next raise, and lastShed is the time of the latest
	// call shed by the upstream.
	raiseAfter, lastShed time.Time
	// floor is half of the limit at the latest measurement, or before the first shed. It bounds
	// how far shed calls lower the limit before their effect is measured; see unmeasuredFloorShare.
	floor      int
	classifier shedClassifier
	reserve    reserve
	cut        cutTrial
}

func newLimiter(cfg Config, now time.Time) *limiter {
	return &limiter{cfg: cfg, limit: cfg.Slots, floor: cfg.Slots / 2, cut: newCutTrial(now)}
}

// reconfigure applies cfg and clamps the limit to the new bounds.
func (l *limiter) reconfigure(cfg Config) {
	wasAtMax := l.limit >= l.maxLimit()
	if cfg.Slots != l.cfg.Slots || !cfg.Adapt {
		l.reserve = reserve{}
	}
	l.cfg = cfg
	l.cut.abort()
	if wasAtMax || !cfg.Adapt {
		l.limit = l.maxLimit()
	}
	l.limit = min(max(l.limit, cfg.MinLimit), l.maxLimit())
}

// maxLimit returns the maximum limit: all slots except the reserve.
func (l *limiter) maxLimit() int { return max(l.cfg.Slots-l.reserve.effective(), l.cfg.MinLimit) }

// callStarted records the start of a call while the given number of other calls is running.
func (l *limiter) callStarted(concurrent int) { l.classifier.callStarted(concurrent, l.cfg.Slots) }

func (l *limiter) callAnswered(latency time.Duration) {
	l.cut.epoch.responses++
	l.cut.epoch.latency.add(latency)
	l.reserve.responses++
}

// callShed lowers the limit towards inFlight, the number of calls that the upstream still runs.
// It does so immediately: a shed call frees its slot within a millisecond, and the next call
// would be shed as well. concurrent is the number of other calls that were running when the shed
// call started.
func (l *limiter) callShed(now time.Time, inFlight, concurrent int) {
	if !l.cfg.Adapt {
		return
	}
	l.classifier.firstShed(now, l.limit)
	l.classifier.shedCalls.add(concurrent, l.cfg.Slots)
	l.lastShed = now
	l.reserve.abort(now)
	if l.classifier.atRandom(now) {
		return
	}
	steppedLimit := l.limit - max(1, l.limit/shedCutDivisor)
	floor := int(unmeasuredFloorShare * float64(l.floor))
	l.limit = min(l.limit, l.maxLimit(), max(steppedLimit, inFlight, floor, l.cfg.MinLimit))
	l.raiseAfter = now.Add(raisePauseAfterShed)
	l.cut.abort()
}

// shedding reports whether the upstream has shed a call recently.
func (l *limiter) shedding() bool { return l.classifier.active }

// shedsAtRandom reports whether the upstream sheds calls regardless of its load.
func (l *limiter) shedsAtRandom(now time.Time) bool {
	return l.classifier.active && l.classifier.atRandom(now)
}

// adjust is called once per interval with the share of slots in use.
func (l *limiter) adjust(now time.Time, use float64) {
	if !l.cfg.Adapt {
		return
	}
	saturated := use > saturatedUse
	l.adjustCut(now, saturated)
	l.raise(now, saturated)
	l.adjustFloor(now)
	l.adjustReserve(now, use > reserveMinUse)
}

// adjustCut advances the cut trial.
func (l *limiter) adjustCut(now time.Time, saturated bool) {
	limit, confirmed := l.cut.adjust(now, saturated, l.limit, l.cfg)
	if limit < l.limit {
		l.reserve.abort(now)
	}
	l.limit = min(limit, l.maxLimit())
	if confirmed {
		l.raiseAfter = now.Add(raisePauseAfterCut)
	}
}

// adjustReserve advances the trial of the reserve, unless something else keeps the limit below
// its maximum.
func (l *limiter) adjustReserve(now time.Time, allSlotsBusy bool) {
	if l.cut.state != trialIdle || l.limit < l.maxLimit() {
		l.reserve.abort(now)
		return
	}
	l.reserve.adjust(now, allSlotsBusy, l.cut.reference, l.cfg)
	l.limit = l.maxLimit()
}

// adjustFloor sets the floor to half of the limit while the upstream does not shed, and whenever
// the effect of shed calls has been measured. Further shed calls can then lower the limit again. It
// reverts a cut if the calls were shed at random.
func (l *limiter) adjustFloor(now time.Time) {
	if !l.classifier.active {
		l.floor = l.limit / 2
		return
	}
	if now.Sub(l.lastShed) >= recentShedWindow {
		l.classifier.end()
		l.floor = l.limit / 2
		return
	}
	wasAtRandom := l.classifier.atRandom(now)
	action := l.classifier.evaluate(now)
	if action == keepFloor {
		return
	}
	if action == revertCut && !wasAtRandom {
		l.limit = min(l.classifier.limitBefore, l.maxLimit())
		l.raiseAfter = time.Time{}
	}
	l.floor = l.limit / 2
}

// raise raises the limit unless a trial is running, a pause is in effect, or latency is already
// elevated at the current limit.
func (l *limiter) raise(now time.Time, saturated bool) {
	if now.Before(l.raiseAfter) || l.cut.blocksRaise(saturated) {
		return
	}
	step := max(1, l.cfg.Slots/raiseDivisor)
	recentlyShed := !l.lastShed.IsZero() && now.Sub(l.lastShed) < recentShedWindow
	if recentlyShed && !l.classifier.atRandom(now) {
		step = 1
	}
	l.limit = min(l.limit+step, l.maxLimit())
}
