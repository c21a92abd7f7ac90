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
	// PhaseSteady has the steady load before the faults.
	PhaseSteady = "steady"
	// PhasePressure has the scenario's surge and faults.
	PhasePressure = "pressure"
	// PhaseRecovery has the steady load again, after the pressure.
	PhaseRecovery = "recovery"
	// PhaseFinish has no arrivals; requests in flight complete.
	PhaseFinish = "finish"
)

// probeRate is the rate of the latency probe before a run, in calls per second.
const probeRate = 2000

// Options configure the run of a scenario.
type Options struct {
	// Policy is PolicyGalenagrade, PolicyClaims or PolicyBaseline.
	Policy string
	// Seed seeds arrivals and faults.
	Seed uint64
	// Probe is the duration of the measurement of added latency before the run; 0
	// for none.
	Probe time.Duration
	// OnSample is called with the sample of each SamplePeriod. It must not block and
	// may be nil.
	OnSample func(Sample)
}

// Run runs one scenario on a deployment under a policy.
func Run(s Scenario, d *Deployment, policyName string, seed uint64) (Result, error) {
	r, _, err := RunWith(s, d, Options{Policy: policyName, Seed: seed})
	return r, err
}

// RunWith runs one scenario on a deployment. It also returns the run's history, on
// which the figures on invariants are based.
func RunWith(s Scenario, d *Deployment, opts Options) (Result, *history.History, error) {
	var latency AddedLatency
	if opts.Probe > 0 && opts.Policy != PolicyBaseline {
		var err error
		if latency, err = MeasureAddedLatency(probeRate, opts.Probe, opts.Seed); err != nil {
			return Result{}, nil, errors.Wrap(err, "measure the added latency before the run")
		}
	}
	w, err := NewWorld(d, opts.Policy, opts.Seed)
	if err != nil {
		return Result{}, nil, err
	}
	defer w.Close()
	r, h := w.run(s, opts)
	r.AddedP50, r.AddedP99 = latency.AddedP50, latency.AddedP99
	return r, h, nil
}

// run applies the scenario's load and faults, and measures the result.
func (w *World) run(s Scenario, opts Options) (Result, *history.History) {
	load := newLoadGenerator(w)
	var phase atomic.Value
	phase.Store(PhaseSteady)
	stopSampling := w.startSampling(load, &phase, opts.OnSample)
	stopPublishing := w.startOperators(s.Operators)
	steady := w.deployment.FullCapacity() * w.deployment.SteadyLoad
	if s.Rate > 0 {
		steady = s.Rate
	}
	load.offer(steady, s.Before)
	var ph phases
	ph.pressure = time.Since(load.start)
	appends := w.log.Appends()
	phase.Store(PhasePressure)
	stopEvents := w.startEvents(s)
	w.restartsCrashed.Store(s.Poison > 0)
	load.poisonShare = s.Poison
	load.offer(steady*s.Surge, s.Pressure)
	load.poisonShare = 0
	ph.recovery = time.Since(load.start)
	appends = w.log.Appends() - appends
	phase.Store(PhaseRecovery)
	load.offer(steady, s.After)
	ph.end = time.Since(load.start)
	phase.Store(PhaseFinish)
	stopPublishing()
	outcomes := load.wait()
	stopSampling()
	stopEvents()
	h := w.history(outcomes)
	r := w.measure(s, opts.Seed, outcomes, ph, h)
	r.LateArrivals = load.maxLateness.Milliseconds()
	r.AppendsPerSecond = float64(appends) / (ph.recovery - ph.pressure).Seconds()
	return r, h
}

// startEvents schedules the scenario's events. The returned function cancels the
// events that have not started and waits for the others, since a planned stop must be
// measured to its end.
func (w *World) startEvents(s Scenario) (stop func()) {
	cancelled := make(chan struct{})
	var wg sync.WaitGroup
	for _, e := range s.Events(w.deployment) {
		wg.Go(func() {
			t := time.NewTimer(e.At)
			defer t.Stop()
			select {
			case <-t.C:
				e.Do(w)
			case <-cancelled:
			}
		})
	}
	return func() {
		close(cancelled)
		wg.Wait()
	}
}
