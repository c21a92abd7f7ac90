package bench

import "time"

// Event is one thing that happens to a world.
type Event struct {
	// At is counted from the start of the pressure phase.
	At time.Duration
	Do func(w *World)
}

// Scenario is one run's load and faults.
type Scenario struct {
	Name        string
	Description string
	// Pressure lasts this long, between Before and After of steady load.
	Before, Pressure, After time.Duration
	// Surge multiplies arrivals while pressure lasts.
	Surge float64
	// Slowdown and Gone describe the capacity that is left while it lasts.
	Slowdown func(d *Deployment) map[string]float64
	Gone     func(d *Deployment) map[string]float64
	Events   func(d *Deployment) []Event
	// Operators publish changes throughout; more than one race.
	Operators int
	// Rate is the load in ordinary times, in requests a second; 0 takes the
	// deployment's.
	Rate float64
	// Poison is the share of requests that crash the upstreams which run them.
	Poison float64
}

const (
	phaseBefore   = 4 * time.Second
	phasePressure = 10 * time.Second
	phaseAfter    = 8 * time.Second
	slowFactor    = 10
	surgeFactor   = 3
)

func deepest(value float64) func(d *Deployment) map[string]float64 {
	return func(d *Deployment) map[string]float64 { return map[string]float64{d.Deepest(): value} }
}

func slowDeepest(factor float64) func(w *World) {
	return func(w *World) {
		for _, u := range w.upstreamsOf(w.deployment.Deepest()) {
			u.server.SetSlowdown(factor)
		}
	}
}

// Scenarios returns all scenarios.
func Scenarios() []Scenario {
	list := []Scenario{
		{
			Name:        "steady",
			Description: "ordinary load, nothing fails",
			Pressure:    5 * time.Second,
		},
		{
			Name:        "surge",
			Description: "three times the load for ten seconds; callers whose request fails send it again at once",
			Surge:       surgeFactor,
		},
		{
			Name:        "slow-deep",
			Description: "the deepest service takes ten times as long for ten seconds, then heals",
			Slowdown:    deepest(slowFactor),
			Events: func(*Deployment) []Event {
				return []Event{{0, slowDeepest(slowFactor)}, {phasePressure, slowDeepest(1)}}
			},
		},
		{
			Name:        "storm",
			Description: "three times the load, the deepest service ten times as slow, and half of its upstreams die",
			Surge:       surgeFactor,
			Slowdown:    deepest(slowFactor),
			Gone:        deepest(0.5),
			Events: func(*Deployment) []Event {
				return []Event{
					{0, slowDeepest(slowFactor)},
					{time.Second, crashHalfDeepest},
					{phasePressure, slowDeepest(1)},
					{phasePressure, restartDeepest},
				}
			},
		},
	}
	list = append(list, faultScenarios()...)
	list = append(list, outageScenarios()...)
	for i := range list {
		fillPhases(&list[i])
	}
	return list
}

func fillPhases(s *Scenario) {
	if s.Before == 0 {
		s.Before = phaseBefore
	}
	if s.Pressure == 0 {
		s.Pressure = phasePressure
	}
	if s.After == 0 {
		s.After = phaseAfter
	}
	if s.Surge == 0 {
		s.Surge = 1
	}
	if s.Events == nil {
		s.Events = func(*Deployment) []Event { return nil }
	}
	none := func(*Deployment) map[string]float64 { return nil }
	if s.Slowdown == nil {
		s.Slowdown = none
	}
	if s.Gone == nil {
		s.Gone = none
	}
}

func crashHalfDeepest(w *World) {
	all := w.upstreamsOf(w.deployment.Deepest())
	for _, u := range all[:len(all)/2] {
		w.crash(u)
	}
}

func restartDeepest(w *World) {
	for _, u := range w.upstreamsOf(w.deployment.Deepest()) {
		w.restart(u)
	}
}
