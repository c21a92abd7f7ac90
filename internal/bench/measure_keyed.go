package bench

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// stateRefusals are the codes of refusals that are caused by the state of the system
// instead of its load.
var stateRefusals = map[int]bool{
	int(result.Draining):       true,
	int(result.NoUpstream):     true,
	int(result.OwnedElsewhere): true,
	int(result.NoAuthority):    true,
	int(result.Unreachable):    true,
	int(result.Starting):       true,
}

// measureIdempotency measures idempotent requests and keyed ones, which must run at
// most once, separately.
func measureIdempotency(r *Result, outcomes []*Outcome, ph phases) {
	var before, during shareCounter
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Poison {
			continue
		}
		underPressure := ph.underPressure(o.Arrived)
		if o.Kind.Keyed() {
			r.countKeyedFailure(o)
			if underPressure && o.Good {
				latencies = append(latencies, o.Latency)
			}
			continue
		}
		switch {
		case underPressure:
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

// countKeyedFailure counts a non-idempotent request without a good response:
//   - as an unknown outcome, if at least one of its attempts may or may not have run, even if the
//     last attempt reports "not run";
//   - otherwise as refused, if the code of the last attempt is in stateRefusals;
//   - otherwise not at all, for example if an upstream ran the request and failed.
func (r *Result) countKeyedFailure(o *Outcome) {
	if o.Good || len(o.Attempts) == 0 {
		return
	}
	for _, a := range o.Attempts {
		if a.Ran == result.RanUnknown || a.Ran == "" {
			r.UnknownOutcomes++
			return
		}
	}
	if stateRefusals[o.Attempts[len(o.Attempts)-1].Code] {
		r.RefusedNonIdempotent++
	}
}

type shareCounter struct{ good, all float64 }

func (s *shareCounter) add(good bool) {
	s.all++
	if good {
		s.good++
	}
}
