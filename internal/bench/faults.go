package bench

import (
	"context"
	"time"
)

const (
	// poisonShare is small: now and then a single request crashes upstreams.
	poisonShare = 0.001
	// crashDowntime is how long a crashed upstream takes to come back.
	crashDowntime = time.Second
	// stopBound is the longest deadline of a call plus the notice of leaving.
	stopBound = 10 * time.Second
	// restartPeriod leaves each upstream time to stop and come back.
	restartPeriod = 2500 * time.Millisecond
	// coldStart is how long a restarted upstream is slow.
	coldStart = 3 * time.Second
)

func faultScenarios() []Scenario {
	return []Scenario{
		{
			Name:        "crash-request",
			Description: "now and then one request crashes each upstream that runs it, and its caller sends it again",
			Poison:      poisonShare,
		},
		{
			Name:        "silent-connections",
			Description: "every open connection between nodes goes silent for good, twice, while new ones work",
			Events: func(*Deployment) []Event {
				silence := func(w *World) { w.network.Blackhole(clients) }
				return []Event{{time.Second, silence}, {5 * time.Second, silence}}
			},
		},
		{
			Name:        "rolling-restart",
			Description: "one upstream after another is stopped as planned, and started again, under load",
			Events:      rollingRestart,
		},
		{
			Name:        "lying-health",
			Description: "one upstream of the deepest service takes ten times as long and says that all is well",
			Events: func(d *Deployment) []Event {
				return []Event{{0, slowOneDeepest(slowFactor)}, {phasePressure, slowOneDeepest(1)}}
			},
			Gone: func(d *Deployment) map[string]float64 {
				return map[string]float64{d.Deepest(): 1 / float64(d.service(d.Deepest()).Upstreams)}
			},
		},
		{
			Name:        "cold-start",
			Description: "half of the deepest service's upstreams restart at once and are slow while they warm up",
			Gone:        deepest(0.5),
			Events: func(d *Deployment) []Event {
				return []Event{{0, coldRestart}}
			},
		},
	}
}

func slowOneDeepest(factor float64) func(w *World) {
	return func(w *World) { w.upstreamsOf(w.deployment.Deepest())[0].server.SetSlowdown(factor) }
}

func coldRestart(w *World) {
	all := w.upstreamsOf(w.deployment.Deepest())
	for _, v := range all[:len(all)/2] {
		v.server.SetWarmup(coldStart)
		w.crash(v)
		w.restart(v)
	}
}

// rollingRestart replaces the upstreams of the deepest and the first service
// one after another.
func rollingRestart(d *Deployment) []Event {
	var events []Event
	for offset, service := range []string{d.Deepest(), d.Services[0].Name} {
		at := time.Duration(offset) * restartPeriod / 2
		for i := range d.service(service).Upstreams {
			events = append(events, Event{at, func(w *World) { w.replace(w.upstreamsOf(service)[i]) }})
			at += restartPeriod
		}
	}
	return events
}

// replace stops an upstream with its node as planned and starts it again.
func (w *World) replace(v *vm) {
	if w.policy == PolicyBaseline {
		w.crash(v)
		w.restart(v)
		return
	}
	v.stopping.Store(true)
	asked := time.Now()
	ctx, cancel := context.WithTimeout(w.ctx, stopBound)
	defer cancel()
	cut := v.running().Shutdown(ctx)
	w.noteStop(cut, v.server.LastStart().Sub(asked))
	if err := w.startNode(v); err != nil {
		return
	}
	v.stopping.Store(false)
	w.announceOnce(v)
}

// noteStop records what a planned stop cut and how long after it was asked for
// the upstream still began new work.
func (w *World) noteStop(cut int, newWork time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut += cut
	w.newWork = max(w.newWork, newWork)
}

// revive restarts upstreams that a request crashed, as their platform would.
func (w *World) revive() {
	t := time.NewTicker(crashDowntime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-w.ctx.Done():
			return
		}
		if !w.reviving.Load() {
			continue
		}
		for _, v := range w.all() {
			w.restart(v)
		}
	}
}
