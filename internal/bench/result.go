package bench

import (
	"fmt"
)

// Result is one run's figures; its JSON form is one line of output.
type Result struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity_rps"`
	Offered    float64 `json:"offered_rps"`
	// LateArrivals is how far the load fell behind its time at worst: a machine
	// too busy for the run, whose figures say nothing then.
	LateArrivals int64 `json:"late_arrivals_ms"`
	// Goodput is whole useful answers given while pressure lasts, over what the
	// upstreams could have served of what was offered. Requests in flight when
	// it begins count, those in flight at its end don't.
	Goodput         float64 `json:"goodput"`
	WeightedGoodput float64 `json:"weighted_goodput"`
	// CriticalServed is the share of the highest class that got its answer.
	CriticalServed    float64 `json:"critical_served"`
	RecoverySeconds   float64 `json:"recovery_seconds"`
	Recovered         bool    `json:"recovered"`
	Duplicates        int     `json:"duplicates"`
	FalseRefusals     int     `json:"false_refusals"`
	WrongAnswers      int     `json:"wrong_answers"`
	MaxRetries        int     `json:"max_retries_per_request"`
	RetryAllowance    int     `json:"retry_allowance"`
	CutInFlight       int     `json:"cut_in_flight"`
	NewWorkAfterDrain int64   `json:"new_work_after_drain_ms"`
	// AddedP50 and AddedP99 are what one hop adds to a direct call, measured
	// before the load; 0 when not measured, and under the baseline.
	AddedP50  int64   `json:"added_p50_us"`
	AddedP99  int64   `json:"added_p99_us"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	// KeyedP50 and KeyedP99 are of the good answers to non-idempotent requests.
	KeyedP50 float64 `json:"keyed_p50_ms"`
	KeyedP99 float64 `json:"keyed_p99_ms"`
	// IdempotentGoodput is the share of the idempotent requests that came
	// while pressure lasted and got a useful answer; the other of those before.
	IdempotentGoodput       float64 `json:"idempotent_goodput"`
	IdempotentGoodputBefore float64 `json:"idempotent_goodput_before"`
	// RefusedNonIdempotent counts non-idempotent requests whose last sending
	// was refused for the state of the system, not for load; UnknownOutcomes
	// those whose caller can't know. Both of the whole run.
	RefusedNonIdempotent int `json:"refused_non_idempotent"`
	UnknownOutcomes      int `json:"unknown_outcomes"`
	// AppendsPerSecond to the log while pressure lasted.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// ConfigChanges were accepted; ConfigReverts counts falls of a version at
	// a node; ConfigInForce is the worst time from accepted to in force.
	ConfigChanges int   `json:"config_changes"`
	ConfigReverts int   `json:"config_reverts"`
	ConfigInForce int64 `json:"config_in_force_ms"`
	// RaceRounds are rounds of operators of which each was told its fate;
	// RaceViolations those without exactly one winner known to all others.
	RaceRounds      int `json:"race_rounds"`
	RaceViolations  int `json:"race_violations"`
	UpstreamCrashes int `json:"upstream_crashes"`
	// MaxCrashes is the most upstreams that one request killed.
	MaxCrashes int `json:"max_crashes_per_request"`
	// Codes counts the final codes of sendings.
	Codes map[int]int `json:"codes"`
	// InvariantViolations counts every break of a promise in the run's history; Evidence
	// tells of the first few.
	InvariantViolations int      `json:"broken_promises"`
	Evidence            []string `json:"evidence,omitempty"`
	// Details holds one explanation for each code of a refusal.
	Details map[int]string `json:"details,omitempty"`
}

const (
	// maxCrashesBound is how many upstreams one request may kill.
	maxCrashesBound = 2
	// newWorkBound is how long a leaving upstream may get new work, in ms.
	newWorkBound = 2000
)

// Recovery is the time until recovery in words; "never" for a run that ended
// before.
func (r *Result) Recovery() string {
	if !r.Recovered {
		return "never"
	}
	return fmt.Sprintf("%.2f s", r.RecoverySeconds)
}

// Violations names each promise that the run broke. The baseline makes none.
func (r *Result) Violations() []string {
	if r.Policy == PolicyBaseline {
		return nil
	}
	var broken []string
	for _, c := range []struct {
		name        string
		value, most int64
	}{
		{"duplicates", int64(r.Duplicates), 0},
		{"false_refusals", int64(r.FalseRefusals), 0},
		{"wrong_answers", int64(r.WrongAnswers), 0},
		{"cut_in_flight", int64(r.CutInFlight), 0},
		{"max_retries_per_request", int64(r.MaxRetries), int64(r.RetryAllowance)},
		{"max_crashes_per_request", int64(r.MaxCrashes), maxCrashesBound},
		{"new_work_after_drain_ms", r.NewWorkAfterDrain, newWorkBound},
		{"broken_promises", int64(r.InvariantViolations), 0},
		{"config_reverts", int64(r.ConfigReverts), 0},
		{"race_violations", int64(r.RaceViolations), 0},
	} {
		if c.value > c.most {
			broken = append(broken, fmt.Sprintf("%s = %d, must be at most %d", c.name, c.value, c.most))
		}
	}
	return broken
}
