package bench

import (
	"context"
	"time"
)

const (
	// poisonShare is the share of poison requests, which crash every upstream that
	// runs them. It is so small that two of them rarely overlap.
	poisonShare = 0.001
	// crashDowntime is the interval at which crashed upstreams are restarted.
	crashDowntime = time.Second
	// stopTimeout bounds a planned stop. It covers the longest deadline of a call
	// plus the drain notice.
	stopTimeout = 10 * time.Second
	// restartPeriod is the interval between the planned restarts of two upstreams of
	// one service. It is long enough for the first to stop and start again.
	restartPeriod = 2500 * time.Millisecond
	// coldStart is the warmup time of a restarted upstream.
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
				blackhole := func(w *World) { w.network.Blackhole(clientsLocation) }
				return []Event{{time.Second, blackhole}, {5 * time.Second, blackhole}}
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
			LostCapacity: func(d *Deployment) map[string]float64 {
				return map[string]float64{d.Deepest(): 1 / float64(d.service(d.Deepest()).Upstreams)}
			},
		},
		{
			Name:         "cold-start",
			Description:  "half of the deepest service's upstreams restart at once and are slow while they warm up",
			LostCapacity: forDeepest(0.5),
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

// rollingRestart restarts the upstreams of the deepest and of the first service. In
// each service one upstream restarts every restartPeriod; the restarts of the first
// service are offset by half a period.
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

// replace stops the node of an upstream as planned and starts a new one. Under the
// baseline, which has no nodes, it restarts the upstream.
func (w *World) replace(v *vm) {
	if w.policy == PolicyBaseline {
		w.crash(v)
		w.restart(v)
		return
	}
	v.stopping.Store(true)
	requested := time.Now()
	ctx, cancel := context.WithTimeout(w.ctx, stopTimeout)
	defer cancel()
	cutCalls := v.currentNode().Shutdown(ctx)
	w.recordStop(cutCalls, v.server.LastRunStart().Sub(requested))
	if err := w.startNode(v); err != nil {
		return
	}
	v.stopping.Store(false)
	w.announceOnce(v)
}

// recordStop records the number of calls that a planned stop cut off, and the time
// from the stop request to the last call that the upstream started.
func (w *World) recordStop(cutCalls int, lastNewWork time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.callsCutByStops += cutCalls
	w.newWorkAfterStop = max(w.newWorkAfterStop, lastNewWork)
}

// restartCrashed restarts crashed upstreams periodically, as the platform does, while
// restartsCrashed is set.
func (w *World) restartCrashed() {
	t := time.NewTicker(crashDowntime)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-w.ctx.Done():
			return
		}
		if !w.restartsCrashed.Load() {
			continue
		}
		for _, v := range w.allVMs() {
			w.restart(v)
		}
	}
}
