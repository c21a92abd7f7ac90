package bench

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

const (
	// ackLoss is the share of appends whose acknowledgement is lost.
	ackLoss = 0.3
	// pauseFor is longer than the validity of an owner's authority, 3 s.
	pauseFor = 4500 * time.Millisecond
	// racers is how many operators publish against each other.
	racers = 3
	// replacePeriod is how often another node is replaced.
	replacePeriod = 1200 * time.Millisecond
)

// outageScenarios are those of the log, the network and the control plane.
// Operators publish changes throughout.
func outageScenarios() []Scenario {
	return []Scenario{
		{
			Name:        "log-outage",
			Description: "the log is out for ten seconds; meanwhile an upstream of the deepest service crashes twice, and a VM joins",
			Operators:   1,
			Events:      logOutage,
		},
		{
			Name:        "lost-acks",
			Description: "the log loses the acknowledgements of three appends in ten",
			Operators:   1,
			Events: func(*Deployment) []Event {
				return []Event{
					{0, knobs(func(k *logd.Knobs) { k.AckLoss = ackLoss })},
					{phasePressure, knobs(func(k *logd.Knobs) { k.AckLoss = 0 })},
				}
			},
		},
		{
			Name:        "zone-partition",
			Description: "one zone is cut off from the log and from the other zones; callers still reach every zone",
			Operators:   1,
			Events: func(*Deployment) []Event {
				return []Event{{0, setPartition(true)}, {phasePressure, setPartition(false)}}
			},
		},
		{
			Name:        "paused-holder",
			Description: "a node that owns keys stands still for longer than its authority, and goes on in the middle of its calls; then another",
			Operators:   1,
			Events: func(*Deployment) []Event {
				return []Event{
					{500 * time.Millisecond, pauseHolder(0)},
					{5500 * time.Millisecond, pauseHolder(1)},
				}
			},
		},
		{
			Name:        "racing-operators",
			Description: "three operators publish conflicting values of one instance, again and again",
			Operators:   racers,
		},
		vmCrash(),
		{
			Name:        "replace-all",
			Description: "every node is replaced as planned, one after another, under load",
			Operators:   1,
			Pressure:    replaceAllTime,
			Events:      replaceAll,
		},
	}
}

// vmCrash takes two VMs away for good.
func vmCrash() Scenario {
	return Scenario{
		Name:        "vm-crash",
		Description: "a VM of the first and one of the deepest service die with their nodes, in the middle of calls, and stay away",
		Operators:   1,
		Gone:        oneGone,
		Events: func(d *Deployment) []Event {
			return []Event{
				{time.Second, func(w *World) { w.kill(w.upstreamsOf(d.Services[0].Name)[0]) }},
				{3 * time.Second, func(w *World) { w.kill(w.upstreamsOf(d.Deepest())[0]) }},
			}
		},
	}
}

// oneGone is the capacity that the two VMs of vm-crash take with them.
func oneGone(d *Deployment) map[string]float64 {
	gone := map[string]float64{}
	for _, service := range []string{d.Services[0].Name, d.Deepest()} {
		gone[service] = 1 / float64(d.service(service).Upstreams)
	}
	return gone
}

// kill ends a VM: its node and its upstream die in the same moment.
func (w *World) kill(v *vm) {
	v.stopping.Store(true)
	v.server.Crash()
	if n := v.running(); n != nil {
		n.Kill()
	}
}

// replaceAllTime is enough for the 17 nodes of the larger deployment and the
// last one's stop.
const replaceAllTime = 17*replacePeriod + 5*time.Second

func knobs(change func(*logd.Knobs)) func(*World) {
	return func(w *World) { w.log.Update(change) }
}

func logOutage(d *Deployment) []Event {
	crash := func(w *World) { w.crash(w.upstreamsOf(d.Deepest())[0]) }
	restart := func(w *World) { w.restart(w.upstreamsOf(d.Deepest())[0]) }
	return []Event{
		{0, knobs(func(k *logd.Knobs) { k.Outage = true })},
		{1 * time.Second, crash},
		{2 * time.Second, restart},
		{3 * time.Second, joinDeepest},
		{6 * time.Second, crash},
		{7 * time.Second, restart},
		{phasePressure, knobs(func(k *logd.Knobs) { k.Outage = false })},
	}
}

// joinDeepest starts one more VM of the deepest service.
func joinDeepest(w *World) {
	svc := *w.deployment.service(w.deployment.Deepest())
	_ = w.startVM(svc, svc.Name+"-joined", w.deployment.Zones[0])
}

// setPartition cuts the last zone off, or ends that.
func setPartition(cut bool) func(*World) {
	set := func(w *World, a, b string) {
		if cut {
			w.network.Partition(a, b)
		} else {
			w.network.Heal(a, b)
		}
	}
	return func(w *World) {
		zones := w.deployment.Zones
		last := zones[len(zones)-1]
		set(w, last, platformPlace)
		for _, other := range zones[:len(zones)-1] {
			set(w, last, other)
		}
	}
}

// pauseHolder pauses a node of the first service, whose requests carry keys.
// Without nodes there is nothing to pause.
func pauseHolder(i int) func(*World) {
	return func(w *World) {
		if !w.managed() {
			return
		}
		v := w.upstreamsOf(w.deployment.Services[0].Name)[i]
		v.gate.pause()
		t := time.NewTimer(pauseFor)
		defer t.Stop()
		select {
		case <-t.C:
		case <-w.ctx.Done():
		}
		v.gate.resume()
	}
}

// replaceAll takes the services in turn, so that the stops of two nodes of one
// service seldom overlap.
func replaceAll(d *Deployment) []Event {
	var events []Event
	at := time.Duration(0)
	for i := range mostUpstreams(d) {
		for _, svc := range d.Services {
			if i >= svc.Upstreams {
				continue
			}
			events = append(events, Event{at, func(w *World) { w.replace(w.upstreamsOf(svc.Name)[i]) }})
			at += replacePeriod
		}
	}
	return events
}

func mostUpstreams(d *Deployment) int {
	most := 0
	for _, svc := range d.Services {
		most = max(most, svc.Upstreams)
	}
	return most
}

// publishing runs the scenario's operators and the watch until the returned
// function is called.
func (w *World) publishing(count int) (stop func()) {
	if !w.managed() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.wg.Go(func() { w.watch.run(ctx) })
	if count > 0 {
		w.operators = &operators{world: w, watch: w.watch, count: count}
		w.wg.Go(func() { w.operators.run(ctx) })
	}
	return func() {
		cancel()
		w.watch.look(time.Now(), true)
	}
}
