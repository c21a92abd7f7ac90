package bench

import (
	"fmt"
)

// Result holds the figures of one run. Its JSON form is one line of output.
type Result struct {
	Scenario   string  `json:"scenario"`
	Deployment string  `json:"deployment"`
	Policy     string  `json:"policy"`
	Seed       uint64  `json:"seed"`
	Capacity   float64 `json:"capacity_rps"`
	Offered    float64 `json:"offered_rps"`
	// LateArrivals is the longest time, in ms, from the moment at which a request was
	// due until it was sent. A high value means that the machine was too busy, which
	// makes the figures invalid.
	LateArrivals int64 `json:"late_arrivals_ms"`
	// Goodput is the number of good responses during pressure, divided by the number
	// that the upstreams could have served of the offered load. Requests in flight at
	// the start of pressure count, those in flight at its end don't.
	Goodput float64 `json:"goodput"`
	// WeightedGoodput is the worth of the good responses during pressure, divided by
	// the highest worth that the upstreams could have served of the offered load.
	WeightedGoodput float64 `json:"weighted_goodput"`
	// CriticalServed is the share of requests of the highest priority that arrived
	// during pressure and got a good response.
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
	// AddedP50 and AddedP99 are the latencies that one hop adds to a direct call,
	// measured before the load; 0 when not measured, and under the baseline.
	AddedP50  int64   `json:"added_p50_us"`
	AddedP99  int64   `json:"added_p99_us"`
	P50Millis float64 `json:"p50_ms"`
	P99Millis float64 `json:"p99_ms"`
	// KeyedP50 and KeyedP99 are the latencies of good responses to non-idempotent
	// requests that arrived during pressure, in ms.
	KeyedP50 float64 `json:"keyed_p50_ms"`
	KeyedP99 float64 `json:"keyed_p99_ms"`
	// IdempotentGoodput is the share of good idempotent requests among those that
	// arrived during pressure; IdempotentGoodputBefore among those that arrived
	// before it.
	IdempotentGoodput       float64 `json:"idempotent_goodput"`
	IdempotentGoodputBefore float64 `json:"idempotent_goodput_before"`
	// RefusedNonIdempotent counts the non-idempotent requests whose last attempt was
	// refused because of the state of the system, not its load. UnknownOutcomes
	// counts those whose caller doesn't know whether they ran. Both cover the whole
	// run.
	RefusedNonIdempotent int `json:"refused_non_idempotent"`
	UnknownOutcomes      int `json:"unknown_outcomes"`
	// AppendsPerSecond is the rate of appends to the log during pressure.
	AppendsPerSecond float64 `json:"appends_per_second"`
	// ConfigChanges counts the accepted configuration changes, ConfigReverts the
	// returns of a node to an older version. ConfigInForce is the longest time, in
	// ms, from the acceptance of a change until a node applies it.
	ConfigChanges int   `json:"config_changes"`
	ConfigReverts int   `json:"config_reverts"`
	ConfigInForce int64 `json:"config_in_force_ms"`
	// RaceRounds counts the rounds in which every operator got a decision on its
	// publication. RaceViolations counts the rounds among them with a wrong decision:
	// no publication or more than one was accepted, or the decision on a rejected
	// publication doesn't name the author of the accepted one.
	RaceRounds      int `json:"race_rounds"`
	RaceViolations  int `json:"race_violations"`
	UpstreamCrashes int `json:"upstream_crashes"`
	// MaxCrashes is the highest number of upstreams that one request crashed.
	MaxCrashes int `json:"max_crashes_per_request"`
	// Codes counts the attempts by result code.
	Codes map[int]int `json:"codes"`
	// InvariantViolations counts the violations of invariants in the run's history.
	// Evidence describes the first 5 of them.
	InvariantViolations int      `json:"broken_promises"`
	Evidence            []string `json:"evidence,omitempty"`
	// Details holds the latest error text by result code.
	Details map[int]string `json:"details,omitempty"`
}

const (
	// maxCrashesPerRequest is the number of upstreams that one request may crash.
	maxCrashesPerRequest = 2
	// maxNewWorkAfterDrainMillis is the time in ms for which a draining upstream may
	// still get new calls.
	maxNewWorkAfterDrainMillis = 2000
)

// Recovery returns the time until recovery as text; "never" for a run that ended
// before recovery.
func (r *Result) Recovery() string {
	if !r.Recovered {
		return "never"
	}
	return fmt.Sprintf("%.2f s", r.RecoverySeconds)
}

// Violations describes each guarantee that the run violated. The baseline gives no
// guarantees.
func (r *Result) Violations() []string {
	if r.Policy == PolicyBaseline {
		return nil
	}
	var violations []string
	for _, c := range []struct {
		name         string
		value, limit int64
	}{
		{"duplicates", int64(r.Duplicates), 0},
		{"false_refusals", int64(r.FalseRefusals), 0},
		{"wrong_answers", int64(r.WrongAnswers), 0},
		{"cut_in_flight", int64(r.CutInFlight), 0},
		{"max_retries_per_request", int64(r.MaxRetries), int64(r.RetryAllowance)},
		{"max_crashes_per_request", int64(r.MaxCrashes), maxCrashesPerRequest},
		{"new_work_after_drain_ms", r.NewWorkAfterDrain, maxNewWorkAfterDrainMillis},
		{"broken_promises", int64(r.InvariantViolations), 0},
		{"config_reverts", int64(r.ConfigReverts), 0},
		{"race_violations", int64(r.RaceViolations), 0},
	} {
		if c.value > c.limit {
			violations = append(violations, fmt.Sprintf("%s = %d, must be at most %d", c.name, c.value, c.limit))
		}
	}
	return violations
}
