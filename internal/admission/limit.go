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
)

// limiter adapts the concurrency limit. Three things lower it: calls that the upstream
// sheds, at once, unless they come at random (shedCause); a rise of the median latency, by
// a trial (cutTrial); and full slots, by a trial of a few less (reserve).
type limiter struct {
	cfg   Config
	limit int
	// raiseAfter is when the limit may rise next, lastShed when the upstream
	// shed a call.
	raiseAfter, lastShed time.Time
	// floor is the least limit that sheds may reach before their effect was measured.
	floor     int
	shedCause shedCause
	reserve   reserve
	cut       cutTrial
}

func newLimiter(cfg Config, now time.Time) *limiter {
	return &limiter{cfg: cfg, limit: cfg.Slots, floor: cfg.Slots / 2, cut: newCutTrial(now)}
}

// reconfigure keeps the present limit inside the new bounds.
func (l *limiter) reconfigure(cfg Config) {
	wasFull := l.limit >= l.top()
	if cfg.Slots != l.cfg.Slots || !cfg.Adapt {
		l.reserve = reserve{}
	}
	l.cfg = cfg
	l.cut.abort()
	if wasFull || !cfg.Adapt {
		l.limit = l.top()
	}
	l.limit = min(max(l.limit, cfg.MinLimit), l.top())
}

// top is the greatest limit.
func (l *limiter) top() int { return max(l.cfg.Slots-l.reserve.inForce(), l.cfg.MinLimit) }

// start takes a call that begins beside that many others.
func (l *limiter) start(beside int) { l.shedCause.start(beside, l.cfg.Slots) }

func (l *limiter) answered(latency time.Duration) {
	l.cut.epoch.answers++
	l.cut.epoch.latency.add(latency)
	l.reserve.answers++
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
	l.reserve.abort(now)
	if l.shedCause.atRandom(now) {
		return
	}
	lower := l.limit - max(1, l.limit/shedShare)
	floor := int(holdShare * float64(l.floor))
	l.limit = min(l.limit, l.top(), max(lower, inFlight, floor, l.cfg.MinLimit))
	l.raiseAfter = now.Add(shedPause)
	l.cut.abort()
}

// adjust is called once per interval with the part of the slots in use.
func (l *limiter) adjust(now time.Time, use float64) {
	if !l.cfg.Adapt {
		return
	}
	saturated := use > saturatedUse
	l.adjustCut(now, saturated)
	l.raise(now, saturated)
	l.followSheds(now)
	l.adjustReserve(now, use > fullSlots)
}

// adjustCut lets a trial of a cut go on.
func (l *limiter) adjustCut(now time.Time, saturated bool) {
	limit, kept := l.cut.adjust(now, saturated, l.limit, l.cfg)
	if limit < l.limit {
		l.reserve.abort(now)
	}
	l.limit = min(limit, l.top())
	if kept {
		l.raiseAfter = now.Add(cutPause)
	}
}

// adjustReserve lets a trial of the reserve go on while nothing else holds the limit
// down.
func (l *limiter) adjustReserve(now time.Time, full bool) {
	if l.cut.state != trialIdle || l.limit < l.top() {
		l.reserve.abort(now)
		return
	}
	l.reserve.adjust(now, full, l.cut.reference, l.cfg)
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
	known := l.shedCause.atRandom(now)
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
	if now.Before(l.raiseAfter) || l.cut.holds(saturated) {
		return
	}
	step := max(1, l.cfg.Slots/raiseShare)
	recent := !l.lastShed.IsZero() && now.Sub(l.lastShed) < shedMemory
	if recent && !l.shedCause.atRandom(now) {
		step = 1
	}
	l.limit = min(l.limit+step, l.top())
}
