package main

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	stopGrace = 6 * time.Second
	// letterLimit is the route's timeout of letters, clientLimit their time limit.
	letterLimit, clientLimit = 2 * time.Second, 5 * time.Second
	// lettersEvery is the pause between two letters at a machine: 150 a second at the 15 machines of the zone.
	lettersEvery = 100 * time.Millisecond
	stopRounds   = 9
	roundLength  = 10400 * time.Millisecond
	// batch and batchGap are x and gap_s of roll_term in the site file.
	batch    = 4
	batchGap = 1300 * time.Millisecond
)

// The speeds of the site's backends, relative to the work in the site file.
var (
	letterSpeeds = []float64{0.7, 0.7, 1.6}
	callSpeeds   = []float64{0.5, 1.0, 1.0, 1.5}
)

// sample returns a time with the site file's mean, spread and tail, within its bound.
func sample(mean, spread, tail, most float64) float64 {
	ms := mean * math.Exp(spread*rand.NormFloat64()-spread*spread/2)
	if rand.Float64() < tail {
		ms *= 5
	}
	return min(ms, most)
}

// letterTime returns the time that a backend of a speed takes for a letter: its own work, and in turn two calls of
// `consent-sync` with four calls of `status-feed` each. The calls are played as time alone.
func letterTime(speed float64) time.Duration {
	called := func(mean float64) float64 {
		return sample(mean, 0.5, 0, 380) / callSpeeds[rand.IntN(len(callSpeeds))]
	}
	ms := sample(330, 0.3, 0.01, 2500) / speed
	for range 2 {
		ms += called(15)
		for range 4 {
			ms += called(63)
		}
	}
	return time.Duration(ms * float64(time.Millisecond))
}

// stopCase stops the seven nodes of a zone as planned work, four and then three, again and again, while clients send letters through them.
func stopCase(rec *recorder, dir string, trouble bool) int {
	s := startStore(rec)
	var vms []*vm
	for _, x := range []struct {
		zone, service string
		count         int
	}{{"yame", "archive", 7}, {"saga", "letters", 8}} {
		for i := range x.count {
			vms = append(vms, newVM(rec, fmt.Sprintf("sidecar-%s-%d", x.zone, i+1), x.zone, x.service, s.addr, dir))
		}
	}
	s.put("keyed.op", "config", manifest(7,
		route{"r-letter", "/letter/", "unsafe", "2000ms", "2000ms", "letters"},
		route{"r-look", "/look/", "safe", "1500ms", "1500ms", "archive"}))
	ctx, cancel := context.WithCancel(context.Background())
	onExit(cancel)
	for i, b := range startAll(ctx, rec, vms) {
		speed := letterSpeeds[i%len(letterSpeeds)]
		b.work = func() time.Duration { return letterTime(speed) }
	}
	time.Sleep(8 * time.Second)

	stopping := vms[:7]
	load := startLetters(ctx, rec, stopping, vms)
	var terms []term
	for range stopRounds {
		time.Sleep(time.Second)
		round := time.Now()
		if trouble {
			var ending sync.WaitGroup
			for i, v := range stopping {
				if i == batch {
					time.Sleep(batchGap)
				}
				v.signal(syscall.SIGTERM)
				terms = append(terms, term{v.name, time.Now()})
				ending.Add(1)
				go func() {
					defer ending.Done()
					v.awaitExit(stopGrace)
					time.Sleep(time.Second)
					v.start(false)
				}()
			}
			ending.Wait()
		}
		sleepUntil(round.Add(roundLength - time.Second))
	}
	return verdict(rec, "LOST", lostAtStop(rec, load.end(), terms))
}

// term is a SIGTERM of a machine's node.
type term struct {
	node string
	at   time.Time
}

// letters is the load of clients on several machines.
type letters struct {
	cancel  context.CancelFunc
	pending sync.WaitGroup
	mu      sync.Mutex
	seen    []outcome
}

// startLetters has the clients of each machine send letters, each on a new connection, until end.
func startLetters(ctx context.Context, rec *recorder, from, all []*vm) *letters {
	ctx, cancel := context.WithCancel(ctx)
	l := &letters{cancel: cancel}
	body := strings.Repeat("x", 300)
	for _, v := range from {
		l.pending.Add(1)
		go func() {
			defer l.pending.Done()
			for ; ctx.Err() == nil; wait(ctx, lettersEvery) {
				if !getsWork(v, all) {
					continue
				}
				l.pending.Add(1)
				go func() {
					defer l.pending.Done()
					o := attempt(rec, v, "POST", "mesh.example", "/letter/2f", body, clientLimit)
					l.mu.Lock()
					l.seen = append(l.seen, o)
					l.mu.Unlock()
				}()
			}
		}()
	}
	return l
}

func (l *letters) end() []outcome {
	l.cancel()
	l.pending.Wait()
	return l.seen
}

// lostAtStop returns the requests that were passed on to a backend and whose connection a stopping node ended
// without a complete answer, from its SIGTERM until 1 s after the grace. The excuses are those of the rule.
func lostAtStop(rec *recorder, seen []outcome, terms []term) (findings []string) {
	answered := 0
	for _, o := range seen {
		if o.complete {
			answered++
			continue
		}
		runs := rec.runsOf(o.id)
		if o.sentAt.IsZero() || len(runs) == 0 {
			continue // not read whole, or not passed on
		}
		for _, t := range terms {
			ended, sent := o.endedAt.Sub(t.at), o.sentAt.Sub(t.at)
			if t.node != o.node || ended < 0 || ended > stopGrace+time.Second || o.endedAt.Sub(o.sentAt) >= letterLimit {
				continue
			}
			lateWork := runs[0].endedAt.IsZero() || !runs[0].endedAt.Before(t.at.Add(stopGrace*5/6))
			if lateWork && sent <= 3*time.Second {
				continue
			}
			findings = append(findings, fmt.Sprintf("LOST: letter %s, sent to %s %.3f s after its SIGTERM, ran on %s, and its connection ended %.3f s after the SIGTERM without an answer (%s)",
				o.id, o.node, sent.Seconds(), runs[0].backend, ended.Seconds(), o.detail))
		}
	}
	rec.log("%d of %d letters got a complete answer", answered, len(seen))
	fmt.Printf("%d of %d letters got a complete answer\n", answered, len(seen))
	return findings
}

// route is one route of the manifest.
type route struct{ name, prefix, kind, timeout, target, service string }

// manifest returns a manifest in the platform's form.
func manifest(version int, routes ...route) map[string]any {
	services := []map[string]any{}
	known := map[string]bool{}
	paths := []map[string]any{}
	for _, r := range routes {
		if !known[r.service] {
			known[r.service] = true
			services = append(services, map[string]any{"name": r.service, "health_check_path": "/health", "max_connections": 500, "protocol": "h1", "tls": false})
		}
		paths = append(paths, map[string]any{"name": r.name, "path_prefix": r.prefix, "route_type": r.kind, "timeout": r.timeout, "target_latency": r.target, "priority": 1, "service": r.service, "max_attempts": 2})
	}
	return map[string]any{
		"version": version, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts":  []map[string]any{{"host": "mesh.example", "paths": paths}},
	}
}

// startAll starts the nodes and a backend beside each.
func startAll(ctx context.Context, rec *recorder, vms []*vm) (backends []*backend) {
	for _, v := range vms {
		b := startBackend(rec, v.service, v.zone, v.app, v.control, 40)
		onExit(b.stop)
		backends = append(backends, b)
		onExit(v.stop)
		v.start(true)
		go v.watchReady(ctx)
		go b.beats()
	}
	return backends
}
