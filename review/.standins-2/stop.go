package main

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	stopGrace    = 6 * time.Second
	uploadLimit  = 5 * time.Second
	uploadsEvery = 150 * time.Millisecond
	longWork     = 1900
	usualWork    = 260
)

// stopCase stops the two nodes of a zone as planned work, while clients upload through them.
func stopCase(rec *recorder, dir string, trouble bool) int {
	s := startStore(rec)
	var vms []*vm
	for _, x := range []struct{ name, zone, service string }{
		{"sidecar-a-1", "lakes-a", "station-desk"}, {"sidecar-a-2", "lakes-a", "station-desk"},
		{"sidecar-b-1", "lakes-b", "evidence-vault"}, {"sidecar-b-2", "lakes-b", "evidence-vault"}, {"sidecar-b-3", "lakes-b", "evidence-vault"},
	} {
		vms = append(vms, newVM(rec, x.name, x.zone, x.service, s.addr, dir))
	}
	s.put("keyed.op", "config", manifest(7,
		route{"r-up", "/up/", "upload", "5000ms", "1200ms", "evidence-vault"},
		route{"r-look", "/look/", "safe", "1500ms", "1500ms", "station-desk"}))
	ctx, cancel := context.WithCancel(context.Background())
	onExit(cancel)
	startAll(ctx, rec, vms)
	time.Sleep(8 * time.Second)

	var mu sync.Mutex
	var seen []outcome
	var clients sync.WaitGroup
	body := strings.Repeat("x", 20_000)
	end := time.Now().Add(16 * time.Second)
	for _, v := range vms[:2] {
		clients.Add(1)
		go func() {
			defer clients.Done()
			var pending sync.WaitGroup
			for n := 0; time.Now().Before(end); n++ {
				if getsWork(v, vms) {
					work := usualWork
					if n%5 == 0 {
						work = longWork
					}
					pending.Add(1)
					go func() {
						defer pending.Done()
						o := attempt(rec, v, "POST", "mesh.example", fmt.Sprintf("/up/2f?w=%d", work), body, uploadLimit)
						mu.Lock()
						seen = append(seen, o)
						mu.Unlock()
					}()
				}
				time.Sleep(uploadsEvery)
			}
			pending.Wait()
		}()
	}
	time.Sleep(3 * time.Second)
	termAt := map[string]time.Time{}
	if trouble {
		var stopping sync.WaitGroup
		for _, v := range vms[:2] {
			v.signal(syscall.SIGTERM)
			termAt[v.name] = time.Now()
			stopping.Add(1)
			go func() {
				defer stopping.Done()
				v.awaitExit(stopGrace)
				time.Sleep(time.Second)
				v.start(false)
			}()
		}
		stopping.Wait()
	}
	clients.Wait()
	return verdict(rec, "LOST", lostAtStop(rec, seen, termAt))
}

// lostAtStop returns the requests that were passed on to a backend and whose connection the stopping node
// ended without a complete answer, from its SIGTERM until 1 s after the grace. The excuses are those of
// the rule.
func lostAtStop(rec *recorder, seen []outcome, termAt map[string]time.Time) (findings []string) {
	answered := 0
	for _, o := range seen {
		if o.complete {
			answered++
			continue
		}
		at, stopped := termAt[o.node]
		runs := rec.runsOf(o.id)
		if o.sentAt.IsZero() || len(runs) == 0 {
			continue // not read whole, or not passed on
		}
		ended := o.endedAt.Sub(at)
		limit := o.endedAt.Sub(o.sentAt) >= o.timeout
		lateWork := runs[0].endedAt.IsZero() || !runs[0].endedAt.Before(at.Add(stopGrace*5/6))
		excused := limit || lateWork && o.sentAt.Sub(at) <= 3*time.Second
		if stopped && (ended < 0 || ended > stopGrace+time.Second || excused) {
			continue
		}
		findings = append(findings, fmt.Sprintf("LOST: request %s, sent to %s %.3f s after its SIGTERM, ran on %s, and its connection ended %.3f s after the SIGTERM without an answer (%s)",
			o.id, o.node, o.sentAt.Sub(at).Seconds(), runs[0].backend, ended.Seconds(), o.detail))
	}
	rec.log("%d of %d requests got a complete answer", answered, len(seen))
	fmt.Printf("%d of %d requests got a complete answer\n", answered, len(seen))
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
