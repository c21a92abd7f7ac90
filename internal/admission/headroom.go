package admission

import "time"

const (
	// headroomShare: a step of a trial is a sixteenth of the slots, rounded up: the least
	// that shows in the answers of one measurement.
	headroomShare = 16
	// fullSlots of the slots in use means that throughput is bounded by them and by
	// nothing else: with less, a change of demand would be taken for one of the upstream.
	fullSlots = 0.97
	// headroomAnswers and headroomMeasure are what a measurement needs at least: two of
	// them differ by some 4 % by chance.
	headroomAnswers = 200
	headroomMeasure = 500 * time.Millisecond
	// headroomLongest ends a trial at an upstream that answers too little to tell: below
	// 25 answers a second. A trial costs a sixteenth of the slots meanwhile.
	headroomLongest = 8 * time.Second
	// headroomGain is what a step that leaves more slots empty must add to the answers.
	// It lies between what the slots are worth where each helps (a sixteenth less) and
	// what an upstream gains that is a quarter slower with its last slots in use.
	headroomGain = 1.03
	// headroomSame is the part of the answers that counts as no fewer, where slots stay
	// empty though there are less of them.
	headroomSame = 0.97
)

// headroom is how many slots are left empty because the upstream answers more with
// fewer calls at once. The load it answers: more demand than slots for seconds on end,
// at an upstream that slows all its calls as its last slots fill. With all slots in
// use such an upstream loses throughput just when it is short.
//
// It is found by trial: one step, the answers before and after, and the step is kept or
// taken back. Steps go on in the direction that helped, and turn round when one did
// not, after a pause that doubles.
type headroom struct {
	slots int
	// fewer is the direction of the next step: fewer empty slots.
	fewer bool
	next  time.Time
	pause time.Duration

	phase headroomPhase
	// tried is in force in place of slots while a step is on trial.
	tried int
	// before is the rate of answers that the step has to beat.
	before float64

	since   time.Time
	answers int
	// full says that hardly a slot was empty in the measurement.
	full bool
}

// headroomPhase is where a trial stands.
type headroomPhase int

const (
	// headroomWatched: no trial; the rate of answers with full slots is measured.
	headroomWatched headroomPhase = iota
	// headroomSettling: calls from before the step are still running.
	headroomSettling
	// headroomMeasured: the rate after the step is measured.
	headroomMeasured
)

// inForce returns how many slots are left empty now.
func (h *headroom) inForce() int {
	if h.phase == headroomWatched {
		return h.slots
	}
	return h.tried
}

func (h *headroom) restart(now time.Time) {
	h.since = now
	h.answers = 0
	h.full = true
}

// abort ends a trial that something else upset.
func (h *headroom) abort(now time.Time) {
	h.phase = headroomWatched
	h.restart(now)
}

// adjust is called once per interval; full says that hardly a slot was empty in it,
// median is how long a call takes.
func (h *headroom) adjust(now time.Time, full bool, median time.Duration, cfg Config) {
	h.full = h.full && full
	length := now.Sub(h.since)
	switch h.phase {
	case headroomWatched:
		if !h.full {
			h.restart(now)
			return
		}
		if h.measured(length) && !now.Before(h.next) {
			h.propose(now, float64(h.answers)/length.Seconds(), cfg)
		}
	case headroomSettling:
		if length >= max(cfg.SojournInterval, median) {
			h.phase = headroomMeasured
			h.restart(now)
		}
	case headroomMeasured:
		switch {
		case h.measured(length):
			h.conclude(now, float64(h.answers)/length.Seconds())
		case length >= headroomLongest:
			h.turn(now)
			h.abort(now)
		}
	}
}

func (h *headroom) measured(length time.Duration) bool {
	return h.answers >= headroomAnswers && length >= headroomMeasure
}

// propose begins a trial, unless the next step would leave the bounds.
func (h *headroom) propose(now time.Time, rate float64, cfg Config) {
	step := (cfg.Slots + headroomShare - 1) / headroomShare
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
	h.phase = headroomSettling
	h.restart(now)
}

func (h *headroom) conclude(now time.Time, rate float64) {
	if h.better(rate / h.before) {
		h.slots = h.tried
		h.pause = 0
	} else {
		h.turn(now)
	}
	h.phase = headroomWatched
	h.restart(now)
}

// better reports whether the answers after the step speak for it; ratio is their rate
// over the one before.
func (h *headroom) better(ratio float64) bool {
	switch {
	case h.fewer:
		return h.full && ratio >= 1
	case h.full:
		return ratio >= headroomGain
	}
	// Slots stayed empty though there are less of them: what waited has been answered.
	return ratio >= headroomSame
}

// turn goes on in the other direction, after a pause.
func (h *headroom) turn(now time.Time) {
	h.fewer = !h.fewer
	h.pause = min(max(2*h.pause, minBackoff), maxBackoff)
	h.next = now.Add(h.pause)
}
