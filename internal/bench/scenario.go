package bench

import "time"

// Event is an action on the World at a point in time, for example a fault.
type Event struct {
	// At is the time since the start of the pressure phase.
	At time.Duration
	Do func(w *World)
}

// Scenario describes the load and the faults of a run.
type Scenario struct {
	Name        string
	Description string
	// Before, Pressure and After are the durations of the phases. Load is steady in
	// Before and After.
	Before, Pressure, After time.Duration
	// Surge is the factor on the steady load during pressure.
	Surge float64
	// Slowdown is the factor on service times, LostCapacity the share of upstreams
	// that are down during pressure, both by service. They only serve to compute the
	// available capacity; Events cause the faults.
	Slowdown     func(d *Deployment) map[string]float64
	LostCapacity func(d *Deployment) map[string]float64
	Events       func(d *Deployment) []Event
	// Operators is the number of operators that publish changes during the whole run.
	// If there are several, their changes conflict.
	Operators int
	// Rate is the steady load, in requests per second; 0 means that of the
	// deployment.
	Rate float64
	// Poison is the share of requests that crash every upstream that runs them.
	Poison float64
}

const (
	phaseBefore   = 4 * time.Second
	phasePressure = 10 * time.Second
	phaseAfter    = 8 * time.Second
	slowFactor    = 10
	surgeFactor   = 3
)

// forDeepest returns a function that maps the deepest service to value.
func forDeepest(value float64) func(d *Deployment) map[string]float64 {
	return func(d *Deployment) map[string]float64 { return map[string]float64{d.Deepest(): value} }
}

func slowDeepest(factor float64) func(w *World) {
	return func(w *World) {
		for _, u := range w.upstreamsOf(w.deployment.Deepest()) {
			u.server.SetSlowdown(factor)
		}
	}
}

// Scenarios returns all scenarios, with the defaults of unset fields.
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
			Slowdown:    forDeepest(slowFactor),
			Events: func(*Deployment) []Event {
				return []Event{{0, slowDeepest(slowFactor)}, {phasePressure, slowDeepest(1)}}
			},
		},
		{
			Name:         "storm",
			Description:  "three times the load, the deepest service ten times as slow, and half of its upstreams die",
			Surge:        surgeFactor,
			Slowdown:     forDeepest(slowFactor),
			LostCapacity: forDeepest(0.5),
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
		setDefaults(&list[i])
	}
	return list
}

// setDefaults sets the defaults of unset fields.
func setDefaults(s *Scenario) {
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
	if s.LostCapacity == nil {
		s.LostCapacity = none
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
