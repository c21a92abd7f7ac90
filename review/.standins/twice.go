package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	freezes = 16
	// freezeTime is the time for which a machine stands still.
	freezeTime    = 4 * time.Second
	betweenFreeze = 1500 * time.Millisecond
	// uploadsPerSecond is the part of the site's 79 uploads a second that falls to 2 of its 9 backends.
	uploadsPerSecond = 18
	uploadTimeout    = 5 * time.Second
	// leadTime is the time from the start of the machines to the start of traffic.
	leadTime = 10 * time.Second
)

// playTwice freezes the node of a machine for 4 s, again and again, while its clients send uploads,
// which may run once at most, and checks that none runs twice.
func playTwice(d *deployment, trouble bool) ([]string, error) {
	lookups := workTime{mean: 220 * time.Millisecond, max: 2 * time.Second, spread: 0.3}
	uploads := workTime{mean: 260 * time.Millisecond, max: 2 * time.Second, spread: 0.3}
	entry, err := d.add("sidecar-lakes-a-1", "lakes-a", "station-desk", 38, lookups)
	if err != nil {
		return nil, err
	}
	for _, name := range []string{"sidecar-lakes-a-2", "sidecar-lakes-a-3"} {
		if _, err := d.add(name, "lakes-a", "evidence-vault", 140, uploads); err != nil {
			return nil, err
		}
	}
	upload := route{"evidence-upload", "evidence.example", "/upload/", "upload", "evidence-vault", uploadTimeout}
	if err := d.publish(1, []route{upload}); err != nil {
		return nil, err
	}
	if err := d.start(); err != nil {
		return nil, err
	}
	time.Sleep(leadTime)
	var mu sync.Mutex
	var sent []string
	c := &clients{
		rec: d.rec, node: entry, method: "POST", route: upload, perSecond: uploadsPerSecond, timeout: uploadTimeout,
		meanBody: 60000, maxBody: 360000,
		onAnswer: func(a attempt) {
			mu.Lock()
			defer mu.Unlock()
			sent = append(sent, a.id)
		},
	}
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() { c.run(stop); close(ended) }()
	time.Sleep(2 * time.Second)
	for range freezes {
		if trouble {
			entry.signal(syscall.SIGSTOP)
		}
		time.Sleep(freezeTime)
		if trouble {
			entry.signal(syscall.SIGCONT)
		}
		time.Sleep(betweenFreeze)
	}
	close(stop)
	<-ended
	var broken []string
	for _, id := range sent {
		if runs := d.ledger.of(id); len(runs) > 1 {
			broken = append(broken, fmt.Sprintf("TWICE: %s ran %d times, at %s and %s, %.3f s apart", id, len(runs), runs[0].backend, runs[1].backend, runs[1].at.Sub(runs[0].at).Seconds()))
		}
	}
	return broken, nil
}
