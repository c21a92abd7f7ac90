package bench

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/history"
)

// Run runs one scenario on a deployment under a policy.
func Run(s Scenario, d *Deployment, policyName string, seed uint64) (Result, error) {
	r, _, err := Record(s, d, policyName, seed)
	return r, err
}

// Record is Run that also returns the history which the figures on promises
// come from.
func Record(s Scenario, d *Deployment, policyName string, seed uint64) (Result, *history.History, error) {
	w, err := NewWorld(d, policyName, seed)
	if err != nil {
		return Result{}, nil, err
	}
	defer w.Close()
	c := newCallers(w)
	steady := d.FullCapacity() * d.SteadyLoad
	c.offer(steady, s.Before)
	pressure := time.Since(c.start)
	timers := w.schedule(s)
	w.reviving.Store(s.Poison > 0)
	c.poison = s.Poison
	c.offer(steady*s.Surge, s.Pressure)
	c.poison = 0
	heal := time.Since(c.start)
	c.offer(steady, s.After)
	end := time.Since(c.start)
	outcomes := c.wait()
	for _, t := range timers {
		t.Stop()
	}
	h := w.history(outcomes)
	return w.measure(s, seed, outcomes, phases{pressure, heal, end}, h), h, nil
}

func (w *World) schedule(s Scenario) []*time.Timer {
	var timers []*time.Timer
	for _, e := range s.Events(w.deployment) {
		timers = append(timers, time.AfterFunc(e.At, func() { e.Do(w) }))
	}
	return timers
}
