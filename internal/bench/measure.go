package bench

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/history"
)

const (
	// binWidth is the resolution of recovery.
	binWidth = 250 * time.Millisecond
	// recoveredShare of a bin's requests must be answered usefully.
	recoveredShare = 0.95
	// recoveredLatency bounds a recovered bin's median by the one before.
	recoveredLatency = 2.0
)

// phases are the boundaries of a run, since its start.
type phases struct{ pressure, heal, end time.Duration }

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
		Capacity: d.Capacity(rates, s.Slowdown(d), s.Gone(d)),
		Codes:    map[int]int{},
		Details:  map[int]string{},
	}
	w.measureGoodput(&r, outcomes, ph)
	r.RecoverySeconds, r.Recovered = recovery(outcomes, ph)
	measureKinds(&r, outcomes, ph)
	w.measurePromises(&r, outcomes, h)
	r.ConfigReverts, r.ConfigInForce, r.ConfigChanges = w.watch.figures()
	if w.operators != nil {
		r.RaceRounds, r.RaceViolations = w.operators.figures()
	}
	return r
}

// arrivalRates returns how many requests of each kind came a second while
// pressure lasted.
func arrivalRates(outcomes []*Outcome, ph phases) map[string]float64 {
	rates := map[string]float64{}
	seconds := (ph.heal - ph.pressure).Seconds()
	for _, o := range outcomes {
		if ph.during(o.Arrived) {
			rates[o.Kind.Name] += 1 / seconds
		}
	}
	return rates
}

// during reports whether t lies in the time of pressure.
func (ph phases) during(t time.Duration) bool { return t >= ph.pressure && t < ph.heal }

// measureGoodput counts answers by when they were given: those given after the
// pressure, to requests that came before its end, were served by upstreams that
// had healed.
func (w *World) measureGoodput(r *Result, outcomes []*Outcome, ph phases) {
	var good, goodWorth float64
	var critical share
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Poison {
			continue
		}
		if o.Level == callctx.LevelCritical && ph.during(o.Arrived) {
			critical.add(o.Good)
		}
		if !o.Good || !ph.during(o.Arrived+o.Latency) {
			continue
		}
		good++
		goodWorth += w.deployment.Worth[o.Level]
		latencies = append(latencies, o.Latency)
	}
	seconds := (ph.heal - ph.pressure).Seconds()
	served := r.Capacity * seconds
	r.Goodput = ratio(good, served)
	r.WeightedGoodput = ratio(goodWorth, w.bestWorth(outcomes, ph, served))
	r.CriticalServed = ratio(critical.good, critical.all)
	slices.Sort(latencies)
	r.P50Millis = millis(quantile(latencies, 0.50))
	r.P99Millis = millis(quantile(latencies, 0.99))
}

// bestWorth is the worth of the served requests if the most important of those
// offered are served.
func (w *World) bestWorth(outcomes []*Outcome, ph phases, served float64) float64 {
	var count [callctx.Levels]float64
	for _, o := range outcomes {
		if ph.during(o.Arrived) {
			count[o.Level]++
		}
	}
	worth := 0.0
	for l, n := range count {
		take := min(n, served)
		served -= take
		worth += take * w.deployment.Worth[l]
	}
	return worth
}

// recovery is the time from the end of pressure until requests are answered
// as before it: most of them, at no more than twice the usual median.
func recovery(outcomes []*Outcome, ph phases) (float64, bool) {
	usual := binOf(outcomes, ph.pressure/2, ph.pressure)
	limit := time.Duration(float64(usual.median) * recoveredLatency)
	last := ph.heal
	for from := ph.heal; from+binWidth <= ph.end; from += binWidth {
		b := binOf(outcomes, from, from+binWidth)
		if b.share < recoveredShare || b.median > limit {
			last = from + binWidth
		}
	}
	return (last - ph.heal).Seconds(), last+binWidth <= ph.end
}

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

// measurePromises counts what must never happen, from what callers got and
// what upstreams recorded by themselves.
// maxEvidence bounds the broken promises that a result tells of.
const maxEvidence = 5

// mostDeaths returns the most upstreams that one request killed.
func mostDeaths(runs []history.Run) int {
	deaths := map[string]int{}
	most := 0
	for _, r := range runs {
		if r.Killed {
			deaths[r.Request]++
			most = max(most, deaths[r.Request])
		}
	}
	return most
}

func (w *World) measurePromises(r *Result, outcomes []*Outcome, h *history.History) {
	violations := history.Check(h)
	r.Duplicates = history.Count(violations, history.AtMostOnce)
	r.FalseRefusals = history.Count(violations, history.TrueRefusal)
	r.WrongAnswers = history.Count(violations, history.RightAnswer)
	r.InvariantViolations = len(violations)
	for _, v := range violations[:min(len(violations), maxEvidence)] {
		r.Evidence = append(r.Evidence, v.Error())
	}
	r.MaxCrashes = mostDeaths(h.Runs)
	for _, o := range outcomes {
		for _, s := range o.Sends {
			r.Codes[s.Code]++
			if s.Err != "" {
				r.Details[s.Code] = s.Err
			}
		}
	}
	r.MaxRetries = w.retries.max()
	if w.managed() {
		r.RetryAllowance = w.allowance()
	}
	w.mu.Lock()
	r.CutInFlight = w.cut
	r.NewWorkAfterDrain = max(0, w.newWork.Milliseconds())
	w.mu.Unlock()
	for _, v := range w.all() {
		r.UpstreamCrashes += v.server.Crashes()
	}
}

// allowance is asked of every node: one that has just been replaced may not
// have read its configuration yet.
func (w *World) allowance() int {
	most := 0
	for _, v := range w.all() {
		for _, svc := range w.deployment.Services {
			if eff, ok := v.running().Node().Policy().Lookup(w.deployment.Name, svc.Name); ok {
				most = max(most, eff.RetryAllowance)
			}
		}
	}
	return most
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 1
	}
	return a / b
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
