package room

import "time"

// advance ends the intervals that have passed and adds the room that has become available.
func (l *Ledger) advance(now time.Time) {
	if elapsed := now.Sub(l.currentStart); elapsed > maxIntervals*interval {
		l.skip(now, int64(elapsed/interval))
	}
	for now.Sub(l.currentStart) >= interval {
		end := l.currentStart.Add(interval)
		l.integrate(end)
		l.endInterval(end)
		l.currentStart = end
	}
	l.integrate(now)
}

// skip moves on to now after a long time without events.
func (l *Ledger) skip(now time.Time, intervals int64) {
	l.current += intervals - maxIntervals
	l.currentStart = l.currentStart.Add(time.Duration(intervals-maxIntervals) * interval)
	l.updated = now
	if l.updated.After(l.currentStart) {
		l.updated = l.currentStart
	}
}

func (l *Ledger) integrate(until time.Time) {
	span := until.Sub(l.updated).Seconds()
	if span <= 0 {
		return
	}
	l.updated = until
	l.busy += float64(l.load.Busy) * span
	l.queued += float64(l.load.Queued) * span
	l.tokens = min(l.tokens+l.rate*span, l.burst())
}

func (l *Ledger) endInterval(end time.Time) {
	slotTime := l.slots() * interval.Seconds()
	use := min(1, l.busy/slotTime)
	l.use += useGain * (use - l.use)
	l.other += otherGain * (l.otherTime/interval.Seconds() - l.other)
	l.newNow += newNowGain * (l.newTrees - l.newNow)
	l.newBefore += newBeforeGain * (l.newTrees - l.newBefore)
	l.newTrees = 0
	l.correct(use, l.queued/slotTime)
	l.updateTight(end)
	l.assumed = l.meanCost()
	l.setRate()
	l.setThreshold()
	for i := range l.offered {
		l.offered[i] *= offeredDecay
	}
	l.seenTime *= kindDecay
	l.seenCalls *= kindDecay
	l.seenTrees *= kindDecay
	l.current++
	for id, k := range l.kinds {
		l.counters.Due += k.mature(l.current)
		if l.failingSince.IsZero() {
			k.age()
		}
		if k.idle() {
			delete(l.kinds, id)
		}
	}
	l.busy, l.queued, l.otherTime, l.refused = 0, 0, 0, 0
}

// correct adjusts the ratio by what the slots are really used for. Only an upstream that refuses
// requests shows it: with less demand its slots are idle anyway.
func (l *Ledger) correct(use, queued float64) {
	switch {
	case queued > longQueue:
		l.correction -= ratioGain * min(queued, 1)
	case l.refused > 0:
		l.correction += ratioGain * (fullUse - use)
	default:
		l.correction += correctionReturn * (1 - l.correction)
	}
	l.correction = min(max(l.correction, minCorrection), maxCorrection)
}

func (l *Ledger) setTight(now time.Time) {
	l.tight = true
	l.tightUntil = now.Add(minTight)
}

func (l *Ledger) updateTight(now time.Time) {
	switch {
	case l.use >= tightUse || l.refused > 0 || !l.failingSince.IsZero():
		l.setTight(now)
	case l.use < looseUse && !now.Before(l.tightUntil):
		l.tight = false
	}
}

// setRate sets the rate at which room becomes available: the slots that calls without a grant leave,
// times the ratio in force.
func (l *Ledger) setRate() {
	slots := l.slots()
	l.rate = max(slots-l.others()-l.backlog()+l.idle(), minRoomShare*slots) * l.Ratio()
	l.tokens = min(l.tokens, l.burst())
}

// others returns the slots that calls without a grant will use when the trees that are granted room now
// make their calls. When entry nodes begin to ask, trees without a grant end soon.
func (l *Ledger) others() float64 {
	if l.newBefore <= 0 {
		return l.other
	}
	return l.other * min(1, l.newNow/l.newBefore)
}

// slots returns the number of calls that the upstream runs at once, bounded by its rate limit.
func (l *Ledger) slots() float64 {
	if l.load.CallsPerSecond <= 0 {
		return l.load.Slots
	}
	return max(minSlots, min(l.load.Slots, l.load.CallsPerSecond*l.callTime()))
}

// backlog returns the slots that work off the queue within backlogTime.
func (l *Ledger) backlog() float64 {
	waiting := float64(l.load.Queued) - queueAllowed*l.load.Slots
	return max(0, waiting) * l.callTime() / backlogTime
}

// idle returns the slots that are promised again because trees that were granted room leave them idle.
// It is a part of them, since the trees granted last have not come yet.
func (l *Ledger) idle() float64 {
	if l.refused == 0 {
		return 0
	}
	return idleShare * max(0, fullUse-l.use) * l.slots()
}

// burst returns the bound of the tokens, in slot-seconds.
func (l *Ledger) burst() float64 {
	return max(l.rate*burstTime, burstTrees*l.assumed)
}

// setThreshold sets the rank below which the room asked for fits.
func (l *Ledger) setThreshold() {
	room := l.rate * offeredWindow
	for i, asked := range l.offered {
		room -= asked
		if room < 0 {
			l.threshold = uint32(min((i+1)<<bucketShift, OpenThreshold))
			return
		}
	}
	l.threshold = OpenThreshold
}

// Ratio returns the ratio in force of the room promised to the room that there is.
func (l *Ledger) Ratio() float64 { return l.overcommit * l.correction }
