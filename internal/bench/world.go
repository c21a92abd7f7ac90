package bench

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/standin/link"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
	"github.com/galenagrade/galenagrade/internal/standin/upstream"
)

const (
	// PolicyGalenagrade routes all calls through nodes.
	PolicyGalenagrade = "galenagrade"
	// PolicyBaseline has services call each other directly, with a timeout and three
	// retries per hop and least-loaded routing.
	PolicyBaseline = "baseline"
	// PolicyClaims is PolicyGalenagrade with a claim in the log for each
	// non-idempotent call, instead of ownership of keys.
	PolicyClaims = "claims"
	// clientsLocation is the network location of all callers.
	clientsLocation = "clients"
	// announcePeriod is the interval at which an upstream announces itself to its
	// node.
	announcePeriod = time.Second
	readyTimeout   = 15 * time.Second
	// seedPeerCount is the maximum number of seed peers in a node's settings.
	seedPeerCount = 3
	// logAppends and logDelayMillis are the specified rate limit, in appends per
	// second, and the latency of the platform's log.
	logAppends     = 400
	logDelayMillis = 2
)

// vm is one upstream with its node; the node is nil under the baseline.
type vm struct {
	name, zone, service string
	slots               int
	server              *upstream.Server
	stopping            atomic.Bool
	// gate blocks the traffic of the VM's node while the node is paused.
	gate *pauseGate

	mu   sync.Mutex
	node *server.Server
	// callersAddr, exitAddr and innerAddr are the node's listen addresses for callers, for its
	// upstream and for other nodes.
	callersAddr, exitAddr string
	innerAddr             string
}

// addresses returns the current addresses of the node for callers and for the upstream.
func (v *vm) addresses() (callersAddr, exitAddr string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.callersAddr, v.exitAddr
}

// currentNode returns the current process of the node; nil under the baseline.
func (v *vm) currentNode() *server.Server {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.node
}

// World is a running deployment with its log, network, nodes and upstreams.
type World struct {
	deployment      *Deployment
	policy          string
	seed            uint64
	log             *logd.Server
	network         *link.Network
	ledger          *upstream.Ledger
	retries         *retryCounter
	versions        versionLog
	baseline        *baselineRouter
	restartsCrashed atomic.Bool
	configWatch     *configWatch
	operators       *operators
	// gatesByAddr maps the listen addresses of a process to its *pauseGate.
	gatesByAddr sync.Map

	mu  sync.Mutex
	vms []*vm // copied on write
	// callsCutByStops is the number of calls in flight that planned stops of nodes cut off.
	callsCutByStops  int
	newWorkAfterStop time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewWorld starts a deployment under a policy and waits until every node routes to
// every upstream. The caller must close the World.
func NewWorld(d *Deployment, policyName string, seed uint64) (*World, error) {
	w := &World{
		deployment: d,
		policy:     policyName,
		seed:       seed,
		log:        logd.New(logd.Options{Seed: seed}),
		network:    link.New(d.delay),
		ledger:     &upstream.Ledger{},
		retries:    newRetryCounter(),
	}
	w.configWatch = newConfigWatch(w)
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.baseline = newBaselineRouter(w)
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.restartCrashed()
	}()
	if err := w.startAll(); err != nil {
		w.Close()
		return nil, err
	}
	return w, nil
}

func (d *Deployment) delay(from, to string) time.Duration {
	switch {
	case from == clientsLocation || to == clientsLocation:
		return d.ClientDelay
	case from != to:
		return d.ZoneDelay
	}
	return 0
}

func (w *World) startAll() error {
	if w.managed() {
		if err := w.publish(); err != nil {
			return err
		}
	}
	w.log.SetKnobs(logd.Knobs{AppendsPerSecond: logAppends, DelayMillis: logDelayMillis})
	for _, svc := range w.deployment.Services {
		for i := range svc.Upstreams {
			zone := w.deployment.Zones[i%len(w.deployment.Zones)]
			if err := w.startVM(svc, fmt.Sprintf("%s-%d", svc.Name, i), zone); err != nil {
				return err
			}
		}
	}
	if !w.managed() {
		return nil
	}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.watchVersions()
	}()
	return w.awaitReady()
}

// publish appends the templates and the deployment's instances to the log, like the
// publications of operators.
func (w *World) publish() error {
	var records []logstore.Record
	add := func(p *policy.Publication) error {
		rec, err := p.Record(time.Now())
		records = append(records, rec)
		return err
	}
	for _, t := range policy.Library() {
		if w.policy == PolicyClaims {
			t.Behaviour.AtMostOnce = policy.AtMostOnceClaims
		}
		if err := add(&policy.Publication{ID: "template-" + t.Name, Author: "bench", Template: &t}); err != nil {
			return err
		}
	}
	for _, i := range w.instances() {
		if err := add(&policy.Publication{ID: "instance-" + i.Service, Author: "bench", Instance: &i}); err != nil {
			return err
		}
	}
	_, err := w.log.Append(w.ctx, records)
	return errors.Wrap(err, "publish templates and instances")
}

func (w *World) instances() []policy.Instance {
	var list []policy.Instance
	for _, svc := range w.deployment.Services {
		list = append(list, policy.Instance{Workspace: w.deployment.Name, Service: svc.Name, Template: "balanced", Revision: 1})
	}
	return list
}

func (w *World) startVM(svc Service, name, zone string) error {
	v := &vm{name: name, zone: zone, service: svc.Name, slots: svc.Slots, gate: newPauseGate()}
	v.server = upstream.New(upstream.Config{
		Name: name, Service: svc.Name, Slots: svc.Slots, Connections: svc.Connections,
		Operations: svc.Operations, Seed: w.seed*1000 + uint64(len(w.allVMs())+1),
	}, w.deeperServiceCaller(v), w.ledger)
	if err := v.server.Start(); err != nil {
		return err
	}
	w.network.SetLocation(v.server.Addr(), zone)
	if w.policy == PolicyBaseline {
		w.addVM(v)
		return nil
	}
	err := w.startNode(v)
	w.addVM(v)
	if err != nil {
		return err
	}
	w.wg.Add(1)
	go func() {
		defer w.wg.Done()
		w.announce(v)
	}()
	return nil
}

func (w *World) startNode(v *vm) error {
	cfg := settings.Defaults()
	cfg.NodeID = v.name
	cfg.Region = w.deployment.Region
	cfg.Zone = v.zone
	cfg.Callers.Address = "127.0.0.1:0"
	cfg.Upstream.Address = "127.0.0.1:0"
	cfg.Inner.Address = "127.0.0.1:0"
	cfg.Inner.Advertised = "127.0.0.1:0"
	cfg.Admin.Address = "127.0.0.1:0"
	cfg.SeedPeers = w.seedPeers(v)
	n, err := server.Start(cfg, server.Options{
		Log:       &vmLog{log: w.log, network: w.network, zone: v.zone, gate: v.gate},
		Dial:      w.pausableDial(w.network.Dialer(v.zone), v.gate),
		Logger:    zerolog.Nop(),
		Observer:  w.retries,
		BeforeRun: v.gate.wait,
	})
	if err != nil {
		return errors.Wrap(err, v.name)
	}
	callersAddr, exitAddr, innerAddr, _ := n.Addresses()
	v.mu.Lock()
	v.node, v.callersAddr, v.exitAddr, v.innerAddr = n, callersAddr, exitAddr, innerAddr
	v.mu.Unlock()
	w.network.SetLocation(callersAddr, v.zone)
	w.network.SetLocation(innerAddr, v.zone)
	for _, addr := range []string{callersAddr, exitAddr, innerAddr} {
		w.gatesByAddr.Store(addr, v.gate)
	}
	return nil
}

// seedPeers returns the addresses of the first seedPeerCount other nodes. With them a
// node can join the others during an outage of the log.
func (w *World) seedPeers(exclude *vm) []string {
	var addrs []string
	for _, v := range w.allVMs() {
		if v == exclude || len(addrs) == seedPeerCount {
			continue
		}
		v.mu.Lock()
		innerAddr := v.innerAddr
		v.mu.Unlock()
		if innerAddr != "" {
			addrs = append(addrs, innerAddr)
		}
	}
	return addrs
}

// managed reports whether the policy routes calls through nodes.
func (w *World) managed() bool { return w.policy != PolicyBaseline }

// allVMs returns the VMs. The caller must not modify the slice.
func (w *World) allVMs() []*vm {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.vms
}

func (w *World) addVM(v *vm) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.vms = append(slices.Clone(w.vms), v)
}

// reachable reports whether a node is not paused and its zone is not partitioned from
// the platform.
func (w *World) reachable(v *vm) bool {
	return !v.gate.paused() && !w.network.IsPartitioned(v.zone, platformLocation)
}

// announce registers the upstream at its node, immediately and then every
// announcePeriod, while the upstream listens and is not stopping.
func (w *World) announce(v *vm) {
	t := time.NewTicker(announcePeriod)
	defer t.Stop()
	for {
		if v.server.Up() && !v.stopping.Load() {
			w.announceOnce(v)
		}
		select {
		case <-t.C:
		case <-w.ctx.Done():
			return
		}
	}
}

func (w *World) announceOnce(v *vm) {
	_, exitAddr := v.addresses()
	body, err := json.Marshal(node.Announcement{Service: v.service, Address: v.server.Addr(), Slots: v.slots})
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPut, "http://"+exitAddr+"/v1/upstream", bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// awaitReady waits until all nodes are ready, at most for readyTimeout.
func (w *World) awaitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		if w.ready() {
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.Errorf("nodes were not ready within %s", readyTimeout)
}

// ready reports whether every node routes to every upstream, has a configuration, and
// has settled owners for the keys of its service.
func (w *World) ready() bool {
	for _, v := range w.allVMs() {
		n := v.currentNode()
		for _, svc := range w.deployment.Services {
			if len(n.Node().Table().Targets(svc.Name)) < svc.Upstreams {
				return false
			}
		}
		if n.Node().Policy().Version() == 0 || !n.OwnersSettled() {
			return false
		}
	}
	return true
}

func (w *World) upstreamsOf(service string) []*vm {
	var list []*vm
	for _, v := range w.allVMs() {
		if v.service == service {
			list = append(list, v)
		}
	}
	return list
}

func (w *World) crash(v *vm) { v.server.Crash() }

func (w *World) restart(v *vm) {
	if v.server.Up() {
		return
	}
	if err := v.server.Start(); err == nil && w.managed() {
		w.announceOnce(v)
	}
}

// Close stops all nodes and upstreams and closes the connections.
func (w *World) Close() {
	w.cancel()
	w.wg.Wait()
	for _, v := range w.allVMs() {
		v.gate.resume()
		if n := v.currentNode(); n != nil {
			n.Kill()
		}
		v.server.Crash()
	}
	w.baseline.close()
}
