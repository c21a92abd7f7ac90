package bench

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// stateRefusals are the codes that refuse a call for the state of the system,
// not for its load.
var stateRefusals = map[int]bool{
	int(result.Draining):       true,
	int(result.NoUpstream):     true,
	int(result.OwnedElsewhere): true,
	int(result.NoAuthority):    true,
	int(result.Unreachable):    true,
	int(result.Starting):       true,
}

// measureKinds tells idempotent requests from those that may run only once.
func measureKinds(r *Result, outcomes []*Outcome, ph phases) {
	var before, during share
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Poison {
			continue
		}
		pressed := ph.during(o.Arrived)
		if o.Kind.Keyed() {
			r.addKeyed(o)
			if pressed && o.Good {
				latencies = append(latencies, o.Latency)
			}
			continue
		}
		switch {
		case pressed:
			during.add(o.Good)
		case o.Arrived < ph.pressure:
			before.add(o.Good)
		}
	}
	slices.Sort(latencies)
	r.KeyedP50 = millis(quantile(latencies, 0.50))
	r.KeyedP99 = millis(quantile(latencies, 0.99))
	r.IdempotentGoodput = ratio(during.good, during.all)
	r.IdempotentGoodputBefore = ratio(before.good, before.all)
}

// addKeyed counts a non-idempotent request without an answer by its last
// sending. One whose last sending says "not run" may have an earlier one
// whose outcome is unknown; then its caller can't know either. One that an
// upstream ran and failed is neither.
func (r *Result) addKeyed(o *Outcome) {
	if o.Good || len(o.Sends) == 0 {
		return
	}
	for _, s := range o.Sends {
		if s.Ran == result.RanUnknown || s.Ran == "" {
			r.UnknownOutcomes++
			return
		}
	}
	if stateRefusals[o.Sends[len(o.Sends)-1].Code] {
		r.RefusedNonIdempotent++
	}
}

type share struct{ good, all float64 }

func (s *share) add(good bool) {
	s.all++
	if good {
		s.good++
	}
}
