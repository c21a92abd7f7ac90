package admission

import "time"

const (
	// reserveStepDivisor: a step is a sixteenth of the slots, rounded up. This is the smallest step
	// with a measurable effect on throughput.
	reserveStepDivisor = 16
	// reserveMinUse is the share of slots in use from which only the slots limit throughput. With a
	// lower share, a change of demand would be mistaken for an effect of the step.
	reserveMinUse = 0.97
	// reserveMinResponses and reserveMinDuration are the minimum size of a measurement. Two
	// measurements of this size differ by about 4 % by chance.
	reserveMinResponses = 200
	reserveMinDuration  = 500 * time.Millisecond
	// reserveMaxDuration ends a trial whose upstream returns too few responses for a decision:
	// fewer than 25 per second. The trial costs a sixteenth of the slots meanwhile.
	reserveMaxDuration = 8 * time.Second
	// reserveMinGain is the throughput ratio that confirms a step to more empty slots. If every
	// slot contributes, the step lowers throughput by a sixteenth. If the upstream is a quarter
	// slower with its last slots in use, the step raises throughput by more than this ratio.
	reserveMinGain = 1.03
	// reserveMinKept is the throughput ratio from which throughput counts as unchanged. It confirms
	// a step after which slots stay idle although there are fewer of them.
	reserveMinKept = 0.97
)

// reserve is the number of slots that are left empty because the upstream has a higher
// throughput with fewer concurrent calls. It matters when demand exceeds the slots for seconds
// and all calls of the upstream become slower as its last slots fill. With all slots in use,
// such an upstream loses throughput when it is needed most.
//
// The value is found by trials. A trial changes the reserve by one step, compares the throughput
// before and after, and keeps or reverts the step. Steps continue in a direction that helped.
// Otherwise the direction reverses after a pause, which doubles each time.
type reserve struct {
	slots int
	// shrinking is the direction of the next step: to fewer empty slots if set, otherwise to more.
	shrinking bool
	nextTrial time.Time
	backoff   time.Duration

	phase reservePhase
	// trialSlots replaces slots while a step is on trial.
	trialSlots int
	// rateBefore is the rate of responses before the step.
	rateBefore float64

	measureStart time.Time
	responses    int
	// allSlotsBusy is set if nearly all slots were in use throughout the measurement.
	allSlotsBusy bool
}

// reservePhase is the phase of a trial.
type reservePhase int

const (
	// reserveBaseline means that no trial is running. The rate of responses with full slots is
	// measured.
	reserveBaseline reservePhase = iota
	// reserveSettling means that calls from before the step are still running.
	reserveSettling
	// reserveMeasuring means that the rate of responses after the step is being measured.
	reserveMeasuring
)

// effective returns the number of slots that are left empty now.
func (r *reserve) effective() int {
	if r.phase == reserveBaseline {
		return r.slots
	}
	return r.trialSlots
}

func (r *reserve) restart(now time.Time) {
	r.measureStart = now
	r.responses = 0
	r.allSlotsBusy = true
}

// abort ends a trial that another change of the limit has invalidated.
func (r *reserve) abort(now time.Time) {
	r.phase = reserveBaseline
	r.restart(now)
}

// adjust is called once per interval. allSlotsBusy states that nearly all slots were in use in
// it, and median is the median latency.
func (r *reserve) adjust(now time.Time, allSlotsBusy bool, median time.Duration, cfg Config) {
	r.allSlotsBusy = r.allSlotsBusy && allSlotsBusy
	length := now.Sub(r.measureStart)
	switch r.phase {
	case reserveBaseline:
		if !r.allSlotsBusy {
			r.restart(now)
			return
		}
		if r.enoughData(length) && !now.Before(r.nextTrial) {
			r.startTrial(now, float64(r.responses)/length.Seconds(), cfg)
		}
	case reserveSettling:
		if length >= max(cfg.SojournInterval, median) {
			r.phase = reserveMeasuring
			r.restart(now)
		}
	case reserveMeasuring:
		switch {
		case r.enoughData(length):
			r.finishTrial(now, float64(r.responses)/length.Seconds())
		case length >= reserveMaxDuration:
			r.reverse(now)
			r.abort(now)
		}
	}
}

func (r *reserve) enoughData(length time.Duration) bool {
	return r.responses >= reserveMinResponses && length >= reserveMinDuration
}

// startTrial starts a trial, unless the next step would exceed the bounds.
func (r *reserve) startTrial(now time.Time, rate float64, cfg Config) {
	step := (cfg.Slots + reserveStepDivisor - 1) / reserveStepDivisor
	if r.slots == 0 {
		r.shrinking = false
	}
	r.trialSlots = r.slots + step
	if r.shrinking {
		r.trialSlots = max(0, r.slots-step)
	}
	if cfg.Slots-r.trialSlots < cfg.MinLimit {
		r.reverse(now)
		return
	}
	r.rateBefore = rate
	r.phase = reserveSettling
	r.restart(now)
}

func (r *reserve) finishTrial(now time.Time, rate float64) {
	if r.improved(rate / r.rateBefore) {
		r.slots = r.trialSlots
		r.backoff = 0
	} else {
		r.reverse(now)
	}
	r.phase = reserveBaseline
	r.restart(now)
}

// improved reports whether the step is to be kept. ratio is the rate of responses after the step
// divided by the rate before it.
func (r *reserve) improved(ratio float64) bool {
	switch {
	case r.shrinking:
		return r.allSlotsBusy && ratio >= 1
	case r.allSlotsBusy:
		return ratio >= reserveMinGain
	}
	// Slots stayed idle although there are fewer of them, so the backlog has been served.
	return ratio >= reserveMinKept
}

// reverse changes the direction of the steps and pauses.
func (r *reserve) reverse(now time.Time) {
	r.shrinking = !r.shrinking
	r.backoff = min(max(2*r.backoff, minBackoff), maxBackoff)
	r.nextTrial = now.Add(r.backoff)
}
