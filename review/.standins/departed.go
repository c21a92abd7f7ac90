package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	// drainBound is the bound `drain`: the time from the acknowledgement after which no request may
	// reach a backend that leaves.
	drainBound = 2500 * time.Millisecond
	// contact is the time without a disruption after which a machine counts as in touch.
	contact = 3 * time.Second
	// reportDelay is how late the last report before the deregistration arrives.
	reportDelay = 4 * time.Second
	// killAfter is the time from the deregistration to the SIGKILL of the node, restartDelay the time
	// to its next start.
	killAfter, restartDelay = 500 * time.Millisecond, 500 * time.Millisecond
	// servesOn is how long the backend serves after its deregistration.
	servesOn = 12 * time.Second
)

// playDeparted lets a backend deregister and serve on for some seconds. The node beside it is killed
// and started again, and a report that the backend sent before its deregistration arrives late. It
// checks that no request reaches the backend later than the bound after the acknowledgement.
func playDeparted(d *deployment, trouble bool) ([]string, error) {
	work := workTime{mean: 290 * time.Millisecond, max: 2 * time.Second, spread: 0.3}
	entry, err := d.add("sidecar-lakes-a-1", "lakes-a", "station-desk", 38, work)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"sidecar-lakes-a-2", "sidecar-lakes-a-3"} {
		if _, err := d.add(name, "lakes-a", "recovery-ledger", 41, work); err != nil {
			return nil, err
		}
	}
	filing := route{"recovery-filing", "filing.example", "/filing/", "unsafe", "recovery-ledger", 2 * time.Second}
	if err := d.publish(1, []route{filing}); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	stop := make(chan struct{})
	var ended sync.WaitGroup
	c := &clients{rec: d.rec, node: entry, method: "POST", route: filing, perSecond: filingsPerSecond, timeout: filingTimeout, meanBody: 300, maxBody: 1800}
	ended.Go(func() { c.run(stop) })
	time.Sleep(5 * time.Second)

	leaving := d.nodes[1]
	late := leaving.backend.heartbeat()
	instance := late.id
	if err := leaving.backend.deregister(); err != nil {
		return nil, fmt.Errorf("%w: deregistration: %w", errNotRun, err)
	}
	acknowledged := time.Now()
	d.rec.note("the deregistration of %s is acknowledged", instance)
	inTouch := acknowledged
	if trouble {
		time.Sleep(killAfter)
		leaving.kill()
		time.Sleep(restartDelay)
		if err := leaving.start(); err != nil {
			return nil, err
		}
		inTouch = time.Now().Add(contact)
		time.Sleep(time.Until(acknowledged.Add(reportDelay)))
		err := leaving.backend.send(context.Background(), late)
		d.rec.note("a late report of %s arrives, sent before its deregistration: %s; answer: %v", instance, late.body, err)
	}
	time.Sleep(time.Until(acknowledged.Add(servesOn)))
	leaving.backend.crash()
	d.rec.note("%s has ended", instance)
	close(stop)
	ended.Wait()
	return d.ledger.lateRuns(instance, acknowledged, inTouch), nil
}

// lateRuns returns a line for each request that reached a backend later than drainBound after
// acknowledged, while its machine was in touch.
func (l *ledger) lateRuns(instance string, acknowledged, inTouch time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var broken []string
	for id, runs := range l.runs {
		for _, r := range runs {
			if r.backend == instance && r.at.Sub(acknowledged) > drainBound && r.at.After(inTouch) {
				broken = append(broken, fmt.Sprintf("DRAIN: %s reached %s %.3f s after the acknowledgement", id, instance, r.at.Sub(acknowledged).Seconds()))
			}
		}
	}
	return broken
}
