package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/galenagrade/galenagrade/platform/standin"
)

const (
	region = "r"
	// reportInterval is the `heartbeat` of the settings.
	reportInterval = 1500 * time.Millisecond
	// grace is the time from SIGTERM to SIGKILL.
	grace = 6 * time.Second
	// firstPort and lastPort are below the kernel's range for outgoing connections, which could
	// otherwise take the port of a node that is down.
	firstPort, lastPort = 12000, 30000
	startTimeout        = 20 * time.Second
)

// deployment is a small deployment: the store, backends, and a node beside each.
type deployment struct {
	rec     *record
	galenad string
	// dir holds the settings of the nodes, logs their logs.
	dir, logs string
	store     *standin.Store
	ledger    *ledger
	nodes     []*node
	port      int
}

func newDeployment(galenad, logs string, rec *record) (*deployment, error) {
	if _, err := os.Stat(galenad); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	if logs == "" {
		logs = dir
	}
	return &deployment{
		rec: rec, galenad: galenad, dir: dir, logs: logs, store: standin.Start(),
		ledger: newLedger(rec), port: firstPort + rand.IntN(lastPort-firstPort-1000),
	}, nil
}

// close ends all processes that the deployment started.
func (d *deployment) close() {
	for _, n := range d.nodes {
		n.kill()
		n.backend.crash()
	}
	d.store.Close()
	_ = os.RemoveAll(d.dir)
}

func (d *deployment) freeAddress() (string, error) {
	for range 1000 {
		d.port++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", d.port))
		if err != nil {
			continue
		}
		defer l.Close()
		return l.Addr().String(), nil
	}
	return "", errors.New("no free port")
}

// add adds a machine: a backend of a service and the node beside it.
func (d *deployment) add(name, zone, service string, slots int, work workTime) (*node, error) {
	addresses := make([]string, 6)
	for i := range addresses {
		var err error
		if addresses[i], err = d.freeAddress(); err != nil {
			return nil, err
		}
	}
	n := &node{
		name: name, zone: zone, service: service, rec: d.rec, galenad: d.galenad,
		settingsPath: filepath.Join(d.dir, name+".json"), logPath: filepath.Join(d.logs, name+".log"),
		store:   d.store.Address(),
		callers: addresses[0], inner: addresses[1], ready: addresses[2], announce: addresses[3], metrics: addresses[4],
		firstStart: true,
	}
	n.backend = &backend{
		rec: d.rec, ledger: d.ledger, service: service, zone: zone, address: addresses[5], slots: slots, work: work,
		announce: n.announce,
	}
	d.nodes = append(d.nodes, n)
	return n, nil
}

// route is a route of the manifest.
type route struct {
	name, host, prefix, routeType, service string
	timeout                                time.Duration
}

// publish writes the manifest, as the operator does.
func (d *deployment) publish(version int, routes []route) error {
	type object = map[string]any
	services := map[string]bool{}
	var hosts, serviceList []object
	for _, r := range routes {
		hosts = append(hosts, object{"host": r.host, "paths": []object{{
			"name": r.name, "path_prefix": r.prefix, "route_type": r.routeType, "timeout": ms(r.timeout),
			"target_latency": "1500ms", "priority": 0, "service": r.service, "max_attempts": 2,
		}}})
		if !services[r.service] {
			services[r.service] = true
			serviceList = append(serviceList, object{"name": r.service, "health_check_path": healthPath, "max_connections": 1222, "protocol": "h1", "tls": false})
		}
	}
	raw, err := json.Marshal(object{
		"version": version, "services": serviceList, "hosts": hosts,
		"limits": object{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	if err != nil {
		return err
	}
	d.store.Publish(standin.TopicConfig, standin.KeyConfig, raw)
	return nil
}

func ms(t time.Duration) string { return fmt.Sprintf("%dms", t.Milliseconds()) }

// start starts all backends and nodes and returns when all nodes are ready.
func (d *deployment) start() error {
	for _, n := range d.nodes {
		if err := n.backend.start(); err != nil {
			return err
		}
		if err := n.start(); err != nil {
			return err
		}
	}
	deadline := time.Now().Add(startTimeout)
	for _, n := range d.nodes {
		for !n.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("%w: node %s is not ready after %v", errNotRun, n.name, startTimeout)
			}
			time.Sleep(50 * time.Millisecond)
		}
		n.firstStart = false
	}
	return nil
}

var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
