package admission

import "time"

const (
	// reserveShare: a step of a trial is a sixteenth of the slots, rounded up: the least
	// that shows in the answers of one measurement.
	reserveShare = 16
	// fullSlots of the slots in use means that throughput is bounded by them and by
	// nothing else: with less, a change of demand would be taken for one of the upstream.
	fullSlots = 0.97
	// reserveAnswers and reserveMeasure are what a measurement needs at least: two of
	// them differ by some 4 % by chance.
	reserveAnswers = 200
	reserveMeasure = 500 * time.Millisecond
	// reserveLongest ends a trial at an upstream that answers too little to tell: below
	// 25 answers a second. A trial costs a sixteenth of the slots meanwhile.
	reserveLongest = 8 * time.Second
	// reserveGain is what a step that leaves more slots empty must add to the answers.
	// It lies between what the slots are worth where each helps (a sixteenth less) and
	// what an upstream gains that is a quarter slower with its last slots in use.
	reserveGain = 1.03
	// reserveSame is the part of the answers that counts as no fewer, where slots stay
	// empty though there are less of them.
	reserveSame = 0.97
)

// reserve is how many slots are left empty because the upstream answers more with
// fewer calls at once. Load pattern: more demand than slots for seconds on end,
// at an upstream that slows all its calls as its last slots fill. With all slots in
// use such an upstream loses throughput just when it is short.
//
// It is found by trial: one step, the answers before and after, and the step is kept or
// taken back. Steps go on in the direction that helped, and turn round when one did
// not, after a pause that doubles.
type reserve struct {
	slots int
	// fewer is the direction of the next step: fewer empty slots.
	fewer bool
	next  time.Time
	pause time.Duration

	phase reservePhase
	// tried is in force in place of slots while a step is on trial.
	tried int
	// before is the rate of answers that the step has to beat.
	before float64

	since   time.Time
	answers int
	// full says that hardly a slot was empty in the measurement.
	full bool
}

// reservePhase is where a trial stands.
type reservePhase int

const (
	// reserveWatched: no trial; the rate of answers with full slots is measured.
	reserveWatched reservePhase = iota
	// reserveSettling: calls from before the step are still running.
	reserveSettling
	// reserveMeasured: the rate after the step is measured.
	reserveMeasured
)

// inForce returns how many slots are left empty now.
func (h *reserve) inForce() int {
	if h.phase == reserveWatched {
		return h.slots
	}
	return h.tried
}

func (h *reserve) restart(now time.Time) {
	h.since = now
	h.answers = 0
	h.full = true
}

// abort ends a trial that something else upset.
func (h *reserve) abort(now time.Time) {
	h.phase = reserveWatched
	h.restart(now)
}

// adjust is called once per interval; full says that hardly a slot was empty in it,
// median is how long a call takes.
func (h *reserve) adjust(now time.Time, full bool, median time.Duration, cfg Config) {
	h.full = h.full && full
	length := now.Sub(h.since)
	switch h.phase {
	case reserveWatched:
		if !h.full {
			h.restart(now)
			return
		}
		if h.measured(length) && !now.Before(h.next) {
			h.propose(now, float64(h.answers)/length.Seconds(), cfg)
		}
	case reserveSettling:
		if length >= max(cfg.SojournInterval, median) {
			h.phase = reserveMeasured
			h.restart(now)
		}
	case reserveMeasured:
		switch {
		case h.measured(length):
			h.conclude(now, float64(h.answers)/length.Seconds())
		case length >= reserveLongest:
			h.turn(now)
			h.abort(now)
		}
	}
}

func (h *reserve) measured(length time.Duration) bool {
	return h.answers >= reserveAnswers && length >= reserveMeasure
}

// propose begins a trial, unless the next step would leave the bounds.
func (h *reserve) propose(now time.Time, rate float64, cfg Config) {
	step := (cfg.Slots + reserveShare - 1) / reserveShare
	if h.slots == 0 {
		h.fewer = false
	}
	h.tried = h.slots + step
	if h.fewer {
		h.tried = max(0, h.slots-step)
	}
	if cfg.Slots-h.tried < cfg.MinLimit {
		h.turn(now)
		return
	}
	h.before = rate
	h.phase = reserveSettling
	h.restart(now)
}

func (h *reserve) conclude(now time.Time, rate float64) {
	if h.better(rate / h.before) {
		h.slots = h.tried
		h.pause = 0
	} else {
		h.turn(now)
	}
	h.phase = reserveWatched
	h.restart(now)
}

// better reports whether the answers after the step speak for it; ratio is their rate
// over the one before.
func (h *reserve) better(ratio float64) bool {
	switch {
	case h.fewer:
		return h.full && ratio >= 1
	case h.full:
		return ratio >= reserveGain
	}
	// Slots stayed empty though there are less of them: what waited has been answered.
	return ratio >= reserveSame
}

// turn goes on in the other direction, after a pause.
func (h *reserve) turn(now time.Time) {
	h.fewer = !h.fewer
	h.pause = min(max(2*h.pause, minBackoff), maxBackoff)
	h.next = now.Add(h.pause)
}
