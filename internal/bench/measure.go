package bench

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/history"
)

// Result is one run's figures; its JSON form is one line of output.
type Result struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity_rps"`
	Offered    float64 `json:"offered_rps"`
	// Goodput is whole useful answers while pressure lasts, over what the
	// upstreams could have served of what was offered.
	Goodput         float64 `json:"goodput"`
	WeightedGoodput float64 `json:"weighted_goodput"`
	// CriticalServed is the share of the highest class that got its answer.
	CriticalServed  float64 `json:"critical_served"`
	RecoverySeconds float64 `json:"recovery_seconds"`
	Recovered       bool    `json:"recovered"`
	Duplicates      int     `json:"duplicates"`
	FalseRefusals   int     `json:"false_refusals"`
	WrongAnswers    int     `json:"wrong_answers"`
	// Violations counts every break of a promise in the run's history.
	Violations        int     `json:"violations"`
	MaxRetries        int     `json:"max_retries_per_request"`
	RetryAllowance    int     `json:"retry_allowance"`
	CutInFlight       int     `json:"cut_in_flight"`
	NewWorkAfterDrain int64   `json:"new_work_after_drain_ms"`
	AddedP50          int64   `json:"added_p50_us"`
	AddedP99          int64   `json:"added_p99_us"`
	P50Millis         float64 `json:"p50_ms"`
	P99Millis         float64 `json:"p99_ms"`
	UpstreamCrashes   int     `json:"upstream_crashes"`
	// MaxCrashes is the most upstreams that one request killed.
	MaxCrashes int `json:"max_crashes_per_request"`
	// Codes counts the final codes of sendings.
	Codes map[int]int `json:"codes"`
	// Details holds one explanation for each code of a refusal.
	Details map[int]string `json:"details,omitempty"`
}

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
	w.measurePromises(&r, outcomes, h)
	return r
}

// arrivalRates returns how many requests of each kind came a second while
// pressure lasted.
func arrivalRates(outcomes []*Outcome, ph phases) map[string]float64 {
	rates := map[string]float64{}
	seconds := (ph.heal - ph.pressure).Seconds()
	for _, o := range outcomes {
		if o.Arrived >= ph.pressure && o.Arrived < ph.heal {
			rates[o.Kind.Name] += 1 / seconds
		}
	}
	return rates
}

func (w *World) measureGoodput(r *Result, outcomes []*Outcome, ph phases) {
	var good, all, goodWorth, allWorth, critical, criticalGood float64
	var latencies []time.Duration
	for _, o := range outcomes {
		if o.Arrived < ph.pressure || o.Arrived >= ph.heal || o.Poison {
			continue
		}
		worth := w.deployment.Worth[o.Level]
		all++
		allWorth += worth
		if o.Level == callctx.LevelCritical {
			critical++
		}
		if !o.Good {
			continue
		}
		good++
		goodWorth += worth
		latencies = append(latencies, o.Latency)
		if o.Level == callctx.LevelCritical {
			criticalGood++
		}
	}
	seconds := (ph.heal - ph.pressure).Seconds()
	served := r.Capacity * seconds
	r.Goodput = ratio(good, served)
	r.WeightedGoodput = ratio(goodWorth, w.bestWorth(outcomes, ph, served))
	r.CriticalServed = ratio(criticalGood, critical)
	slices.Sort(latencies)
	r.P50Millis = millis(quantile(latencies, 0.50))
	r.P99Millis = millis(quantile(latencies, 0.99))
}

// bestWorth is the worth of the served requests if the most important of those
// offered are served.
func (w *World) bestWorth(outcomes []*Outcome, ph phases, served float64) float64 {
	var count [callctx.Levels]float64
	for _, o := range outcomes {
		if o.Arrived >= ph.pressure && o.Arrived < ph.heal {
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
func (w *World) measurePromises(r *Result, outcomes []*Outcome, h *history.History) {
	violations := history.Check(h)
	r.Duplicates = history.Count(violations, history.AtMostOnce)
	r.FalseRefusals = history.Count(violations, history.TrueRefusal)
	r.WrongAnswers = history.Count(violations, history.RightAnswer)
	r.Violations = len(violations)
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
	if w.policy == PolicyGalenagrade {
		r.RetryAllowance = w.allowance()
	}
	w.mu.Lock()
	r.CutInFlight = w.cut
	r.NewWorkAfterDrain = max(0, w.newWork.Milliseconds())
	w.mu.Unlock()
	for _, v := range w.vms {
		r.UpstreamCrashes += v.server.Crashes()
	}
}

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

func (w *World) allowance() int {
	most := 0
	for _, svc := range w.deployment.Services {
		if eff, ok := w.vms[0].node.Node().Policy().Lookup(w.deployment.Name, svc.Name); ok {
			most = max(most, eff.RetryAllowance)
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
