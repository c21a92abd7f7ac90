package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// nextPort is below the kernel's ephemeral ports, so that no outgoing connection takes a node's port.
var nextPort = struct {
	sync.Mutex
	n int
}{n: 12000 + rand.IntN(16000)}

// freeAddr returns a loopback address whose port is free.
func freeAddr() string {
	nextPort.Lock()
	defer nextPort.Unlock()
	for range 4000 {
		nextPort.n++
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort.n)
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	fail("no free port")
	return ""
}

// vm is one machine: a node of the project as its own process, and the address of its backend.
type vm struct {
	record              *recorder
	name, zone, service string
	app, outbound       string
	inbound, ready      string
	control, metrics    string
	store               string
	dir                 string
	memoryMB            int

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
	// misses are the status checks in a row without a 200.
	misses int
	// termAt is when the process got SIGTERM, or zero.
	termAt time.Time
}

func newVM(rec *recorder, name, zone, service, store, dir string) *vm {
	return &vm{
		record: rec, name: name, zone: zone, service: service, store: store, dir: dir, memoryMB: 284,
		app: freeAddr(), outbound: freeAddr(), inbound: freeAddr(), ready: freeAddr(), control: freeAddr(), metrics: freeAddr(),
	}
}

// settings are those of deploy/node.json.tmpl.
func (v *vm) settings(first bool) string {
	doc := map[string]any{
		"node_id": v.name, "region": "lakes", "zone": v.zone, "service": v.service,
		"upstream_address": v.app,
		"listen":           map[string]any{"callers": v.outbound, "inner": v.inbound, "ready": v.ready, "announce": v.control, "metrics": v.metrics},
		"store":            map[string]any{"address": v.store, "record_bytes": 262144},
		"upstream":         map[string]any{"report_interval": "1500ms"},
		"resources":        map[string]any{"memory_mb": v.memoryMB, "descriptors": 4100},
		"stop":             map[string]any{"grace": "6s"},
		"retries":          map[string]any{"ratio": 0.2, "floor": 48, "window": "10s"},
		"balance":          map[string]any{"hand_back": true, "speeds": true, "zones": true},
		"logging":          map[string]any{"level": "info"},
	}
	if first {
		doc["first_start"] = true
	}
	raw, err := json.Marshal(doc)
	check(err)
	path := filepath.Join(v.dir, v.name+".json")
	check(os.WriteFile(path, raw, 0o600))
	return path
}

// start starts the node with the command of the deploy file.
func (v *vm) start(first bool) {
	log, err := os.OpenFile(filepath.Join(v.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	cmd := exec.Command("target/galenad", "mesh")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + v.dir, "GALENAGRADE_NODE_FILE=" + v.settings(first)}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started, exited := make(chan error), make(chan struct{})
	go func() {
		// The kernel sends the signal when the thread that started the process ends.
		runtime.LockOSThread()
		defer runtime.UnlockOSThread()
		err := cmd.Start()
		started <- err
		if err != nil {
			return
		}
		err = cmd.Wait()
		_ = log.Close()
		v.record.log("%s: node ended (%v)", v.name, err)
		close(exited)
	}()
	check(<-started)
	v.mu.Lock()
	v.process, v.exited, v.termAt = cmd, exited, time.Time{}
	v.mu.Unlock()
	v.record.log("%s: node starts", v.name)
}

func (v *vm) signal(s syscall.Signal) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if s == syscall.SIGTERM {
		v.termAt = time.Now()
	}
	v.record.log("%s: %v", v.name, s)
	_ = v.process.Process.Signal(s)
}

func (v *vm) awaitExit(atMost time.Duration) {
	v.mu.Lock()
	exited := v.exited
	v.mu.Unlock()
	select {
	case <-exited:
	case <-time.After(atMost):
		v.signal(syscall.SIGKILL)
		<-exited
	}
}

// stop ends the process, if it runs.
func (v *vm) stop() {
	v.mu.Lock()
	p := v.process
	v.mu.Unlock()
	if p != nil {
		_ = p.Process.Kill()
		v.awaitExit(5 * time.Second)
	}
}

var readyClient = &http.Client{Timeout: 900 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}

// watchReady asks once a second whether the node is ready, as the platform does.
func (v *vm) watchReady(ctx context.Context) {
	for ctx.Err() == nil {
		resp, err := readyClient.Get("http://" + v.ready + "/ready")
		good := err == nil && resp.StatusCode == http.StatusOK
		if err == nil {
			_ = resp.Body.Close()
		}
		v.mu.Lock()
		before := v.misses
		v.misses++
		if good {
			v.misses = 0
		}
		after := v.misses
		v.mu.Unlock()
		if (before < 2) != (after < 2) {
			v.record.log("%s: in for clients: %v", v.name, after < 2)
		}
		wait(ctx, time.Second)
	}
}

// in reports whether the platform counts the node as in: fewer than two misses in a row.
func (v *vm) in() bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.misses < 2
}

// getsWork reports whether clients on a machine receive new work: its node is in, or fewer than half of
// the zone's nodes are.
func getsWork(v *vm, all []*vm) bool {
	if v.in() {
		return true
	}
	in, of := 0, 0
	for _, x := range all {
		if x.zone != v.zone {
			continue
		}
		of++
		if x.in() {
			in++
		}
	}
	return 2*in < of
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
