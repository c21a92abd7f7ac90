package bench_test

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/bench"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

// twoServiceDeployment has four VMs: two of a service with keyed requests, so that key
// slots can move from one to the other, and two of the service that it calls.
func twoServiceDeployment() *bench.Deployment {
	deep := upstream.Step{Service: "deep", Method: "GET", Path: "/read"}
	return &bench.Deployment{
		Name: "tiny", Region: "local", Zones: []string{"a", "b"},
		Services: []bench.Service{
			{Name: "front", Upstreams: 2, Slots: 4, Connections: 300, Operations: map[string]upstream.Operation{
				"/write": {Mean: 5 * time.Millisecond, Steps: []upstream.Step{deep}},
			}},
			{Name: "deep", Upstreams: 2, Slots: 2, Connections: 300, Operations: map[string]upstream.Operation{
				"/read": {Mean: 20 * time.Millisecond},
			}},
		},
		Mix: []bench.Request{
			{Name: "read", Service: "deep", Method: "GET", Path: "/read", Share: 0.5},
			{Name: "write", Service: "front", Method: "POST", Path: "/write", Share: 0.5},
		},
		LevelShares: [callctx.Levels]float64{0.25, 0.25, 0.25, 0.25},
		Worth:       [callctx.Levels]float64{8, 4, 2, 1},
		SteadyLoad:  0.7,
	}
}

// shortScenario returns a scenario with its load shortened to about 2 s. Later events of
// the scenario don't happen.
func shortScenario(t *testing.T, name string) bench.Scenario {
	for _, s := range bench.Scenarios() {
		if s.Name == name {
			s.Before, s.Pressure, s.After = 200*time.Millisecond, 1500*time.Millisecond, 300*time.Millisecond
			return s
		}
	}
	t.Fatalf("no scenario %q", name)
	return bench.Scenario{}
}

// Guards against invariant violations under the load and faults of six scenarios.
func TestScenariosKeepInvariants(t *testing.T) {
	const poison = 0.02 // several requests of a short run
	for _, name := range []string{"surge", "silent-connections", "rolling-restart", "crash-request", "lost-acks", "vm-crash"} {
		t.Run(name, func(t *testing.T) {
			s := shortScenario(t, name)
			if s.Poison > 0 {
				s.Poison = poison
			}
			r, err := bench.Run(s, twoServiceDeployment(), bench.PolicyGalenagrade, 1)
			must.NoError(t, err)
			must.Positive(t, r.Codes[1000])
			must.Eq(t, s.Poison > 0 || name == "vm-crash", r.UpstreamCrashes > 0)
			must.Zero(t, r.Duplicates)
			must.Zero(t, r.FalseRefusals)
			must.Zero(t, r.WrongAnswers)
			must.Zero(t, r.CutInFlight)
			must.Zero(t, r.ConfigReverts)
			must.Zero(t, r.RaceViolations)
			must.LessEq(t, r.RetryAllowance, r.MaxRetries)
			must.LessEq(t, 2, r.MaxCrashes)
		})
	}
}

// Guards against a run with violations that is reported as good. The baseline gives no
// guarantees and reports none.
func TestViolations(t *testing.T) {
	r := bench.Result{Policy: bench.PolicyGalenagrade, RetryAllowance: 2, MaxRetries: 2, NewWorkAfterDrain: 2000}
	must.SliceEmpty(t, r.Violations())
	r.Duplicates, r.MaxRetries, r.NewWorkAfterDrain = 1, 3, 2001
	must.SliceLen(t, 3, r.Violations())
	r.Policy = bench.PolicyBaseline
	must.SliceEmpty(t, r.Violations())
}
