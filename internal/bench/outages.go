package bench

import (
	"context"
	"time"

	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

const (
	// ackLoss is the probability that the acknowledgement of an append is lost.
	ackLoss = 0.3
	// pauseDuration exceeds the validity of an owner's authority, which is 3 s, so
	// that the authority expires during the pause.
	pauseDuration = 4500 * time.Millisecond
	// racingOperators is the number of operators that publish conflicting changes.
	racingOperators = 3
	// replacePeriod is the interval between the starts of two planned replacements of
	// nodes.
	replacePeriod = 1200 * time.Millisecond
)

// outageScenarios returns the scenarios with faults of the log, the network and the
// control plane. Operators publish changes during the whole run.
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
					{0, setLogFaults(func(k *logd.Knobs) { k.AckLoss = ackLoss })},
					{phasePressure, setLogFaults(func(k *logd.Knobs) { k.AckLoss = 0 })},
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
					{500 * time.Millisecond, pauseOwner(0)},
					{5500 * time.Millisecond, pauseOwner(1)},
				}
			},
		},
		{
			Name:        "racing-operators",
			Description: "three operators publish conflicting values of one instance, again and again",
			Operators:   racingOperators,
		},
		vmCrash(),
		{
			Name:        "replace-all",
			Description: "every node is replaced as planned, one after another, under load",
			Operators:   1,
			Pressure:    replaceAllDuration,
			Events:      replaceAll,
		},
	}
}

// vmCrash returns the scenario in which two VMs crash and don't come back.
func vmCrash() Scenario {
	return Scenario{
		Name:         "vm-crash",
		Description:  "a VM of the first and one of the deepest service die with their nodes, in the middle of calls, and stay away",
		Operators:    1,
		LostCapacity: capacityLostToVMCrash,
		Events: func(d *Deployment) []Event {
			return []Event{
				{time.Second, func(w *World) { w.killVM(w.upstreamsOf(d.Services[0].Name)[0]) }},
				{3 * time.Second, func(w *World) { w.killVM(w.upstreamsOf(d.Deepest())[0]) }},
			}
		},
	}
}

// capacityLostToVMCrash returns the share of upstreams that each service loses with the
// two VMs of vm-crash.
func capacityLostToVMCrash(d *Deployment) map[string]float64 {
	lost := map[string]float64{}
	for _, service := range []string{d.Services[0].Name, d.Deepest()} {
		lost[service] = 1 / float64(d.service(service).Upstreams)
	}
	return lost
}

// killVM emulates the crash of a VM: its upstream and its node end at the same time.
func (w *World) killVM(v *vm) {
	v.stopping.Store(true)
	v.server.Crash()
	if n := v.currentNode(); n != nil {
		n.Kill()
	}
}

// replaceAllDuration is long enough to replace the 17 nodes of the larger deployment,
// including the stop of the last one.
const replaceAllDuration = 17*replacePeriod + 5*time.Second

// setLogFaults returns an event action that changes the limits and faults of the log.
func setLogFaults(change func(*logd.Knobs)) func(*World) {
	return func(w *World) { w.log.Update(change) }
}

func logOutage(d *Deployment) []Event {
	crash := func(w *World) { w.crash(w.upstreamsOf(d.Deepest())[0]) }
	restart := func(w *World) { w.restart(w.upstreamsOf(d.Deepest())[0]) }
	return []Event{
		{0, setLogFaults(func(k *logd.Knobs) { k.Outage = true })},
		{1 * time.Second, crash},
		{2 * time.Second, restart},
		{3 * time.Second, joinDeepest},
		{6 * time.Second, crash},
		{7 * time.Second, restart},
		{phasePressure, setLogFaults(func(k *logd.Knobs) { k.Outage = false })},
	}
}

// joinDeepest starts an additional VM of the deepest service.
func joinDeepest(w *World) {
	svc := *w.deployment.service(w.deployment.Deepest())
	_ = w.startVM(svc, svc.Name+"-joined", w.deployment.Zones[0])
}

// setPartition starts or ends the partition of the last zone from the platform and from
// the other zones.
func setPartition(partitioned bool) func(*World) {
	set := func(w *World, a, b string) {
		if partitioned {
			w.network.Partition(a, b)
		} else {
			w.network.Heal(a, b)
		}
	}
	return func(w *World) {
		zones := w.deployment.Zones
		last := zones[len(zones)-1]
		set(w, last, platformLocation)
		for _, other := range zones[:len(zones)-1] {
			set(w, last, other)
		}
	}
}

// pauseOwner pauses node i of the first service for pauseDuration. Requests of that
// service carry keys, so the node owns keys. The baseline has no nodes to pause.
func pauseOwner(i int) func(*World) {
	return func(w *World) {
		if !w.managed() {
			return
		}
		v := w.upstreamsOf(w.deployment.Services[0].Name)[i]
		v.gate.pause()
		t := time.NewTimer(pauseDuration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-w.ctx.Done():
		}
		v.gate.resume()
	}
}

// replaceAll replaces all nodes. It alternates between the services, so that the stops
// of two nodes of one service rarely overlap.
func replaceAll(d *Deployment) []Event {
	var events []Event
	at := time.Duration(0)
	for i := range maxUpstreams(d) {
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

func maxUpstreams(d *Deployment) int {
	most := 0
	for _, svc := range d.Services {
		most = max(most, svc.Upstreams)
	}
	return most
}

// startOperators runs the scenario's operators and the configWatch until the returned
// function is called, which makes the final check.
func (w *World) startOperators(count int) (stop func()) {
	if !w.managed() {
		return func() {}
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.wg.Go(func() { w.configWatch.run(ctx) })
	if count > 0 {
		w.operators = &operators{world: w, watch: w.configWatch, count: count}
		w.wg.Go(func() { w.operators.run(ctx) })
	}
	return func() {
		cancel()
		w.configWatch.checkAll(time.Now(), true)
	}
}
