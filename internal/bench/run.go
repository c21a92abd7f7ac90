package bench

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/history"
)

// Phases of a run.
const (
	PhaseSteady   = "steady"
	PhasePressure = "pressure"
	PhaseRecovery = "recovery"
	// PhaseFinish has no arrivals; the last requests end.
	PhaseFinish = "finish"
)

// probeRate is the calls a second of the latency probe before a run's load.
const probeRate = 2000

// Options say how a scenario is run.
type Options struct {
	// Policy is PolicyGalenagrade, PolicyClaims or PolicyBaseline.
	Policy string
	// Seed of arrivals and faults.
	Seed uint64
	// Probe is how long the added latency is measured first; 0 for not at all.
	Probe time.Duration
	// OnSample may be nil; it gets what was seen in each SamplePeriod and must
	// not block.
	OnSample func(Sample)
}

// Run runs one scenario on a deployment under a policy.
func Run(s Scenario, d *Deployment, policyName string, seed uint64) (Result, error) {
	r, _, err := RunWith(s, d, Options{Policy: policyName, Seed: seed})
	return r, err
}

// RunWith runs one scenario on a deployment and also returns the history that
// the figures on promises come from.
func RunWith(s Scenario, d *Deployment, opts Options) (Result, *history.History, error) {
	var added Added
	if opts.Probe > 0 && opts.Policy != PolicyBaseline {
		var err error
		if added, err = MeasureAdded(probeRate, opts.Probe, opts.Seed); err != nil {
			return Result{}, nil, errors.Wrap(err, "latency probe")
		}
	}
	w, err := NewWorld(d, opts.Policy, opts.Seed)
	if err != nil {
		return Result{}, nil, err
	}
	defer w.Close()
	r, h := w.play(s, opts)
	r.AddedP50, r.AddedP99 = added.AddedP50, added.AddedP99
	return r, h, nil
}

// play offers the scenario's load and faults, and measures.
func (w *World) play(s Scenario, opts Options) (Result, *history.History) {
	c := newCallers(w)
	var phase atomic.Value
	phase.Store(PhaseSteady)
	stopSampling := w.sample(c, &phase, opts.OnSample)
	stopPublishing := w.publishing(s.Operators)
	steady := w.deployment.FullCapacity() * w.deployment.SteadyLoad
	if s.Rate > 0 {
		steady = s.Rate
	}
	c.offer(steady, s.Before)
	var ph phases
	ph.pressure = time.Since(c.start)
	appends := w.log.Appends()
	phase.Store(PhasePressure)
	stopEvents := w.schedule(s)
	w.reviving.Store(s.Poison > 0)
	c.poison = s.Poison
	c.offer(steady*s.Surge, s.Pressure)
	c.poison = 0
	ph.heal = time.Since(c.start)
	appends = w.log.Appends() - appends
	phase.Store(PhaseRecovery)
	c.offer(steady, s.After)
	ph.end = time.Since(c.start)
	phase.Store(PhaseFinish)
	stopPublishing()
	outcomes := c.wait()
	stopSampling()
	stopEvents()
	h := w.history(outcomes)
	r := w.measure(s, opts.Seed, outcomes, ph, h)
	r.LateArrivals = c.late.Milliseconds()
	r.AppendsPerSecond = float64(appends) / (ph.heal - ph.pressure).Seconds()
	return r, h
}

// schedule starts the scenario's events. The returned function drops those to
// come and waits for those that go on: a planned stop is measured to its end.
func (w *World) schedule(s Scenario) (stop func()) {
	dropped := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range s.Events(w.deployment) {
		wg.Go(func() {
			t := time.NewTimer(e.At)
			defer t.Stop()
			select {
			case <-t.C:
				e.Do(w)
			case <-dropped:
			}
		})
	}
	return func() {
		close(dropped)
		wg.Wait()
	}
}
