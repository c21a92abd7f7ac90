package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

// chainDeployment is a chain of two services with two upstreams each.
func chainDeployment() *Deployment {
	return &Deployment{
		Name: "small", Region: "r", Zones: []string{"a", "b"},
		Services: []Service{
			{Name: "letters", Upstreams: 2, Slots: 20, Connections: 200, Operations: map[string]upstream.Operation{
				"/issue": {Mean: 3 * time.Millisecond, Steps: []upstream.Step{{Service: "consent", Method: post, Path: "/record"}}},
			}},
			{Name: "consent", Upstreams: 2, Slots: 20, Connections: 200, Operations: map[string]upstream.Operation{
				"/record": {Mean: 3 * time.Millisecond},
				"/look":   {Mean: 3 * time.Millisecond},
			}},
		},
		Mix: []Request{
			{Name: "letter", Service: "letters", Method: post, Path: "/issue", Share: 0.6},
			{Name: "look", Service: "consent", Method: get, Path: "/look", Share: 0.4},
		},
		LevelShares: [callctx.Levels]float64{0.25, 0.25, 0.25, 0.25},
		Worth:       [callctx.Levels]float64{8, 4, 2, 1},
		SteadyLoad:  0.02,
	}
}

// Guards against duplicate executions, false refusals and mismatched responses when a
// crashed upstream and blackholed connections coincide. Checks also that the run records
// its history.
func TestInvariantsUnderFaults(t *testing.T) {
	s := Scenario{
		Name: "faults", Before: 100 * time.Millisecond, Pressure: 600 * time.Millisecond, After: 100 * time.Millisecond,
		Events: func(*Deployment) []Event {
			return []Event{
				{50 * time.Millisecond, func(w *World) { w.crash(w.upstreamsOf("consent")[0]) }},
				{200 * time.Millisecond, func(w *World) { w.restart(w.upstreamsOf("consent")[0]) }},
				{400 * time.Millisecond, func(w *World) { w.network.Blackhole(clientsLocation) }},
			}
		},
	}
	setDefaults(&s)
	_, h, err := RunWith(s, chainDeployment(), Options{Policy: PolicyGalenagrade, Seed: 1})
	must.NoError(t, err)
	must.SliceEmpty(t, history.Check(h))
	must.Positive(t, len(h.Sends))
	must.Positive(t, len(h.Runs))
	must.Positive(t, len(h.Versions))
}
