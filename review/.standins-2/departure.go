package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["departure"] = departureCase }

const (
	drainBound   = 2500 * time.Millisecond
	contactBound = 3 * time.Second
	// lateBy is how much later the store does the write that it did not answer.
	lateBy = 3500 * time.Millisecond
)

// departureCase has a backend join and leave within seconds. The store leaves one write of its node's
// without an answer and does it seconds later. Then the node's process is killed and starts again, and a
// liveness report from before the departure arrives late.
func departureCase(rec *recorder, dir string, trouble bool) int {
	s := startStore(rec)
	var vms []*vm
	for _, x := range []struct{ name, zone, service string }{
		{"sidecar-a-1", "lakes-a", "mark-registry"}, {"sidecar-a-2", "lakes-a", "station-desk"},
		{"sidecar-b-1", "lakes-b", "station-desk"}, {"sidecar-b-2", "lakes-b", "mark-registry"},
	} {
		vms = append(vms, newVM(rec, x.name, x.zone, x.service, s.addr, dir))
	}
	s.put("keyed.op", "config", manifest(7,
		route{"r-notice", "/notice/", "unsafe", "2000ms", "500ms", "mark-registry"},
		route{"r-look", "/look/", "safe", "1500ms", "1500ms", "station-desk"}))
	ctx, cancel := context.WithCancel(context.Background())
	onExit(cancel)
	startAll(ctx, rec, vms[1:])
	joining := vms[0]
	onExit(joining.stop)
	joining.start(true)
	time.Sleep(8 * time.Second)

	load := startNotices(ctx, rec, vms[1:], vms)

	// The backend beside the first machine joins. The store does not answer the write of its record.
	var mu sync.Mutex
	var landedAt time.Time
	if trouble {
		loseOnce(rec, s, joining.name, func() { mu.Lock(); landedAt = time.Now(); mu.Unlock() })
	}
	leaver := startBackend(rec, joining.service, joining.zone, joining.app, joining.control, 40)
	onExit(leaver.stop)
	joinedAt := time.Now()
	go leaver.beats()
	time.Sleep(1900 * time.Millisecond)
	late := leaver.nextBeat() // sent now; it arrives seconds later
	rec.log("backend %s sends a liveness report that arrives late: %s", leaver.id, late)
	if !leaver.deregister() {
		fail("the departure was not acknowledged")
	}
	ackedAt := time.Now()
	sleepUntil(joinedAt.Add(lateBy + 300*time.Millisecond))
	joining.signal(syscall.SIGKILL)
	joining.awaitExit(time.Second)
	time.Sleep(500 * time.Millisecond)
	restartedAt := time.Now()
	joining.start(false)

	mu.Lock()
	settled := landedAt
	mu.Unlock()
	if trouble && settled.IsZero() {
		fail("the store lost no write of %s", joining.name)
	}
	// From here on both machines of a request are in touch, and the store is stable.
	judgedFrom := latest(ackedAt.Add(drainBound), restartedAt.Add(contactBound), settled.Add(contactBound)).Add(200 * time.Millisecond)
	sleepUntil(judgedFrom)
	rec.log("the late liveness report of %s arrives: acknowledged %v", leaver.id, leaver.send(late))
	time.Sleep(2500 * time.Millisecond)
	seen := load.end()
	leaver.end()
	return verdict(rec, "DRAIN", reachedAfterLeaving(rec, seen, leaver.id, ackedAt, judgedFrom))
}

// notices is the load of clients on several machines.
type notices struct {
	cancel context.CancelFunc
	done   sync.WaitGroup
	mu     sync.Mutex
	seen   []outcome
}

// startNotices has the clients of each machine send four notices a second, until end.
func startNotices(ctx context.Context, rec *recorder, from, all []*vm) *notices {
	ctx, cancel := context.WithCancel(ctx)
	l := &notices{cancel: cancel}
	for _, v := range from {
		l.done.Add(1)
		go func() {
			defer l.done.Done()
			for ; ctx.Err() == nil; wait(ctx, 250*time.Millisecond) {
				if !getsWork(v, all) {
					continue
				}
				o := attempt(rec, v, "POST", "mesh.example", "/notice/2f?w=60", "notice", 2500*time.Millisecond)
				l.mu.Lock()
				l.seen = append(l.seen, o)
				l.mu.Unlock()
			}
		}()
	}
	return l
}

func (l *notices) end() []outcome {
	l.cancel()
	l.done.Wait()
	return l.seen
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

func sleepUntil(t time.Time) { time.Sleep(time.Until(t)) }

// loseOnce makes the store not answer the next write that has a record of a node, and do it later.
func loseOnce(rec *recorder, s *store, node string, landed func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var lost bool
	s.lose = func(name string, keys []string, body []byte) (time.Duration, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if lost || !slices.ContainsFunc(keys, func(key string) bool { return strings.HasSuffix(key, node) }) {
			return 0, false
		}
		lost = true
		time.AfterFunc(lateBy, landed)
		return lateBy, true
	}
	s.appended = func(name, key string, value []byte) {
		if strings.HasSuffix(key, node) {
			rec.log("store: %s/%s is now %s", name, key, value)
		}
	}
}

// reachedAfterLeaving returns the requests that reached a backend later than drain after its departure was
// acknowledged.
func reachedAfterLeaving(rec *recorder, seen []outcome, backend string, ackedAt, judgedFrom time.Time) (findings []string) {
	for _, o := range seen {
		for _, x := range rec.runsOf(o.id) {
			if x.backend == backend && !o.sentAt.Before(judgedFrom) {
				findings = append(findings, fmt.Sprintf("DRAIN: request %s reaches backend %s %.3f s after its departure was acknowledged", o.id, backend, x.at.Sub(ackedAt).Seconds()))
			}
		}
	}
	return findings
}
