package main

import (
	"encoding/json"
	"net/http"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// node is a machine's node. It runs as one process of galenad at a time.
type node struct {
	name, zone, service   string
	rec                   *record
	galenad               string
	settingsPath, logPath string
	store                 string

	callers, inner, ready, announce, metrics string

	firstStart bool
	backend    *backend

	mu     sync.Mutex
	cmd    *exec.Cmd
	exited chan struct{}
}

// writeSettings writes the settings as deploy/node.json.tmpl gives them.
func (n *node) writeSettings() error {
	type object = map[string]any
	doc := object{
		"node_id": n.name, "region": region, "zone": n.zone, "service": n.service,
		"upstream_address": n.backend.address,
		"listen": object{
			"callers": n.callers, "inner": n.inner, "ready": n.ready, "announce": n.announce, "metrics": n.metrics,
		},
		"store":     object{"address": n.store, "record_bytes": 262144},
		"upstream":  object{"report_interval": ms(reportInterval)},
		"resources": object{"memory_mb": 184, "descriptors": 4100},
		"stop":      object{"grace": ms(grace)},
		"retries":   object{"ratio": 0.2, "floor": 108, "window": "10s"},
		"balance":   object{"hand_back": true, "speeds": true, "zones": true},
		"logging":   object{"level": "info"},
	}
	if n.firstStart {
		doc["first_start"] = true
	}
	raw, err := json.MarshalIndent(doc, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(n.settingsPath, raw, 0o600)
}

// start starts a process of the node.
func (n *node) start() error {
	if err := n.writeSettings(); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	cmd := exec.Command(n.galenad, "mesh")
	cmd.Env = append(os.Environ(), "GALENAGRADE_NODE_FILE="+n.settingsPath)
	cmd.Stdout, cmd.Stderr = out, out
	// The process ends with this one, also when this one is killed.
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		err := cmd.Wait()
		n.rec.note("node %s ended: %v", n.name, err)
		close(exited)
	}()
	n.mu.Lock()
	n.cmd, n.exited = cmd, exited
	n.mu.Unlock()
	n.rec.note("node %s started, process %d", n.name, cmd.Process.Pid)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	cmd := n.cmd
	n.mu.Unlock()
	if cmd != nil {
		n.rec.note("node %s gets signal %v", n.name, s)
		_ = cmd.Process.Signal(s)
	}
}

// kill ends the node's process at once and waits for its end.
func (n *node) kill() {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.cmd = nil
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

func (n *node) isReady() bool {
	resp, err := readyClient.Get("http://" + n.ready + "/ready")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// watchReady asks for readiness once a second, as the platform does. in is called with false after two
// misses in a row and with true after the next response of 200.
func (n *node) watchReady(stop <-chan struct{}, in func(bool)) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	misses := 0
	for {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		if n.isReady() {
			misses = 0
			in(true)
			continue
		}
		misses++
		if misses >= 2 {
			in(false)
		}
	}
}
