package bench

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/history"
)

const (
	// binWidth is the width of the time bins in which recovery is measured.
	binWidth = 250 * time.Millisecond
	// recoveredShare is the share of good requests that a recovered bin needs.
	recoveredShare = 0.95
	// recoveredLatency is the maximum median latency of a recovered bin, as a
	// multiple of the median before pressure.
	recoveredLatency = 2.0
)

// phases holds the start times of the pressure and the recovery phase and the end of
// the recovery phase, as times since the run's start.
type phases struct{ pressure, recovery, end time.Duration }

func (w *World) measure(s Scenario, seed uint64, outcomes []*Outcome, ph phases, h *history.History) Result {
	d := w.deployment
	rates := arrivalRates(outcomes, ph)
	offered := 0.0
	for _, rate := range rates {
		offered += rate
	}
	r := Result{
		Scenario: s.Name, Deployment: d.Name, Policy: w.policy, Seed: seed,
		Offered:  offered,
		Capacity: d.Capacity(rates, s.Slowdown(d), s.LostCapacity(d)),
		Codes:    map[int]int{},
		Details:  map[int]string{},
	}
	w.measureGoodput(&r, outcomes, ph)
	r.RecoverySeconds, r.Recovered = recovery(outcomes, ph)
	measureIdempotency(&r, outcomes, ph)
	w.measureInvariants(&r, outcomes, h)
	r.ConfigReverts, r.ConfigInForce, r.ConfigChanges = w.configWatch.figures()
	if w.operators != nil {
		r.RaceRounds, r.RaceViolations = w.operators.figures()
	}
	return r
}

// arrivalRates returns the arrivals per second during pressure, by kind of request.
func arrivalRates(outcomes []*Outcome, ph phases) map[string]float64 {
	rates := map[string]float64{}
	seconds := (ph.recovery - ph.pressure).Seconds()
	for _, o := range outcomes {
		if ph.underPressure(o.Arrived) {
			rates[o.Kind.Name] += 1 / seconds
		}
	}
	return rates
}

// underPressure reports whether t lies in the pressure phase.
func (ph phases) underPressure(t time.Duration) bool { return t >= ph.pressure && t < ph.recovery }

// measureGoodput counts responses that arrived in the pressure phase. A later response
// doesn't count, even if its request arrived during pressure, because upstreams that
// have recovered served it.
func (w *World) measureGoodput(r *Result, outcomes []*Outcome, ph phases) {
	var good, goodWorth float64
	var critical shareCounter
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Poison {
			continue
		}
		if o.Level == callctx.LevelCritical && ph.underPressure(o.Arrived) {
			critical.add(o.Good)
		}
		if !o.Good || !ph.underPressure(o.Arrived+o.Latency) {
			continue
		}
		good++
		goodWorth += w.deployment.Worth[o.Level]
		latencies = append(latencies, o.Latency)
	}
	seconds := (ph.recovery - ph.pressure).Seconds()
	served := r.Capacity * seconds
	r.Goodput = ratio(good, served)
	r.WeightedGoodput = ratio(goodWorth, w.maxWorth(outcomes, ph, served))
	r.CriticalServed = ratio(critical.good, critical.all)
	slices.Sort(latencies)
	r.P50Millis = millis(quantile(latencies, 0.50))
	r.P99Millis = millis(quantile(latencies, 0.99))
}

// maxWorth returns the highest total worth of served requests, where served is their
// number: they are taken from those that arrived during pressure, in descending order
// of priority.
func (w *World) maxWorth(outcomes []*Outcome, ph phases, served float64) float64 {
	var count [callctx.Levels]float64
	for _, o := range outcomes {
		if ph.underPressure(o.Arrived) {
			count[o.Level]++
		}
	}
	worth := 0.0
	for l, n := range count {
		admitted := min(n, served)
		served -= admitted
		worth += admitted * w.deployment.Worth[l]
	}
	return worth
}

// recovery returns the seconds from the end of pressure to the end of the last bin
// that is not recovered, and whether a recovered bin follows. A bin is recovered if
// its share of good requests is at least recoveredShare and its median latency at
// most recoveredLatency times that of the second half of the phase before pressure.
func recovery(outcomes []*Outcome, ph phases) (float64, bool) {
	normal := binOf(outcomes, ph.pressure/2, ph.pressure)
	limit := time.Duration(float64(normal.median) * recoveredLatency)
	lastUnrecovered := ph.recovery
	for from := ph.recovery; from+binWidth <= ph.end; from += binWidth {
		b := binOf(outcomes, from, from+binWidth)
		if b.share < recoveredShare || b.median > limit {
			lastUnrecovered = from + binWidth
		}
	}
	return (lastUnrecovered - ph.recovery).Seconds(), lastUnrecovered+binWidth <= ph.end
}

// bin holds the share of good requests among those that arrived in a time bin, and
// their median latency.
type bin struct {
	share  float64
	median time.Duration
}

func binOf(outcomes []*Outcome, from, to time.Duration) bin {
	var all, good float64
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Arrived < from || o.Arrived >= to {
			continue
		}
		all++
		if o.Good {
			good++
			latencies = append(latencies, o.Latency)
		}
	}
	if all == 0 {
		return bin{share: 1}
	}
	slices.Sort(latencies)
	return bin{share: good / all, median: quantile(latencies, 0.5)}
}

// maxEvidence is the maximum number of invariant violations that a result describes.
const maxEvidence = 5

// maxCrashesOfOneRequest returns the highest number of upstreams that one request
// crashed.
func maxCrashesOfOneRequest(runs []history.Run) int {
	crashes := map[string]int{}
	most := 0
	for _, r := range runs {
		if r.Killed {
			crashes[r.Request]++
			most = max(most, crashes[r.Request])
		}
	}
	return most
}

// measureInvariants counts violations of the invariants. It compares what callers
// received with what upstreams recorded independently.
func (w *World) measureInvariants(r *Result, outcomes []*Outcome, h *history.History) {
	violations := history.Check(h)
	r.Duplicates = history.Count(violations, history.AtMostOnce)
	r.FalseRefusals = history.Count(violations, history.TrueRefusal)
	r.WrongAnswers = history.Count(violations, history.RightAnswer)
	r.InvariantViolations = len(violations)
	for _, v := range violations[:min(len(violations), maxEvidence)] {
		r.Evidence = append(r.Evidence, v.Error())
	}
	r.MaxCrashes = maxCrashesOfOneRequest(h.Runs)
	for _, o := range outcomes {
		for _, a := range o.Attempts {
			r.Codes[a.Code]++
			if a.Err != "" {
				r.Details[a.Code] = a.Err
			}
		}
	}
	r.MaxRetries = w.retries.max()
	if w.managed() {
		r.RetryAllowance = w.retryAllowance()
	}
	w.mu.Lock()
	r.CutInFlight = w.callsCutByStops
	r.NewWorkAfterDrain = max(0, w.newWorkAfterStop.Milliseconds())
	w.mu.Unlock()
	for _, v := range w.allVMs() {
		r.UpstreamCrashes += v.server.Crashes()
	}
}

// retryAllowance returns the highest retry allowance of any service at any node. It
// reads all nodes, since a node that was just replaced may not have its
// configuration yet.
func (w *World) retryAllowance() int {
	most := 0
	for _, v := range w.allVMs() {
		for _, svc := range w.deployment.Services {
			if eff, ok := v.currentNode().Node().Policy().Lookup(w.deployment.Name, svc.Name); ok {
				most = max(most, eff.RetryAllowance)
			}
		}
	}
	return most
}

// ratio returns a/b, and 1 if b is 0.
func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

// quantile returns the q-quantile of an ascending list; 0 for an empty one.
func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
