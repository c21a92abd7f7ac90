package mesh

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Mesh is a running node.
type Mesh struct {
	// cfg is what the node started with. What may change while it runs is read
	// from tunable.
	cfg      *settings.Mesh
	tunable  atomic.Pointer[settings.Mesh]
	platform Platform
	// logger is for what happens seldom, and bounded for lines of which there are as
	// many as requests or records: it keeps to so many a second and leaves the rest
	// out. A start, a stop or a lost store must not be among those.
	logger  zerolog.Logger
	bounded zerolog.Logger
	// good and bad choose the trees of calls whose lines are written, those of good
	// calls and those of failures.
	good, bad timeline.TreeSampler
	metrics   *metrics.Set
	node      *node.Node
	proxy     *proxy.Proxy
	peers     *proxy.Peers
	upstream  *proxy.Upstream

	members   *members
	following *follower
	publisher *publisher
	spread    *spreader
	suspects  *suspects
	routes    *routeKeeper
	quotas    *quotas
	local     *localUpstream
	pace      *pace

	listeners listeners
	servers   servers
	stopping  atomic.Bool
	// down is done when the node ends.
	down   context.Context
	cancel context.CancelFunc
	loops  sync.WaitGroup
}

type systemClock struct{}

// Now implements node.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// noKeys is the authority over idempotency keys where callers send none.
type noKeys struct{}

// MayStart implements node.Authority.
func (noKeys) MayStart(time.Time, *node.Call) (time.Time, *result.Refusal) {
	return time.Time{}, nil
}

// NeedsClaim implements node.Authority.
func (noKeys) NeedsClaim(*node.Call) bool { return false }

// Claim implements proxy.Claimer.
func (noKeys) Claim(context.Context, *node.Call) *result.Refusal { return nil }

// Start opens the listeners of a node and begins to serve. The settings are copied: the
// caller may change its own for the next start.
func Start(given *settings.Mesh, platform Platform, logger zerolog.Logger) (*Mesh, error) {
	own := *given
	cfg := &own
	m := &Mesh{cfg: cfg, platform: platform, logger: logger.Sample(nil), bounded: logger, metrics: metrics.New(timerSample)}
	m.good.Budget, m.bad.Budget = cfg.Logging.Burst, cfg.Logging.Burst
	m.tunable.Store(cfg)
	m.down, m.cancel = context.WithCancel(context.Background())
	if err := m.listeners.open(cfg); err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	m.build()
	m.run()
	return m, nil
}

func (m *Mesh) build() {
	id := node.Identity{
		Node:        m.cfg.NodeID,
		Incarnation: uint64(time.Now().UnixNano()),
		Region:      m.cfg.Region,
		Zone:        m.cfg.Zone,
		InnerAddr:   cmp.Or(m.cfg.Listen.InnerAdvertised, m.listeners.inner.Addr().String()),
	}
	m.peers = proxy.NewPeers(nil)
	m.peers.SetConnections(proxy.Connections{
		Connect:      peerConnect,
		Idle:         peerIdle,
		MaxIdleConns: peerKept,
		Silence:      peerSilence,
		Reattach:     proxy.WaitBounds{Min: peerReattachMin, Max: peerReattachMax},
	})
	m.spread = m.newSpreader()
	m.suspects = newSuspects(m.platform.Members(), m.cfg.NodeID, m.bounded, m.logger, m.spread.tell)
	m.upstream = proxy.NewUpstream(noKeys{})
	m.upstream.Speak(m.platform)
	m.upstream.SetAddr(m.cfg.UpstreamAddress)
	m.node = node.New(node.Config{
		Identity:       id,
		Clock:          systemClock{},
		Runner:         m.upstream,
		Authority:      noKeys{},
		Ring:           timeline.NewRing(m.cfg.NodeID, timelineEvents, &timeline.Clock{}),
		Routing:        routingConfig(),
		Retry:          retry.DefaultPolicy(),
		Throttle:       retry.DefaultThrottleConfig(),
		Guard:          guardConfig(),
		Seed:           newSeed(),
		Sample:         timelineSample,
		Reroutes:       reroutes,
		Metrics:        m.metrics,
		OnEvent:        m.logEvent,
		OnCrashRecords: m.suspects.spread,
	})
	m.suspects.guard = m.node.Guard()
	m.peers.Bind(m.node)
	m.upstream.Bind(m.node)
	m.proxy = proxy.New(m.node, m.peers, m.upstream)
	m.proxy.AcceptPredecessorCalls(m.cfg.Service)
	m.quotas = newQuotas(m)
	m.pace = newPace(m.node.Guard())
	m.upstream.OnQueued(m.pace.kick)
	m.members = &members{logger: m.bounded, registry: fleet.NewRegistry(), suspects: m.suspects, changed: m.setEndpoints}
	m.following = newFollower(m.platform.Members(), m.members.apply, m.newRelay(membersWait), m.logger)
	m.following.settle = m.settle
	m.following.behindGrace = membersBehindGrace
	m.publisher = newPublisher(m.platform.Members(), m.logger, m.ownRecord(id), m.spread.tell)
	m.local = &localUpstream{mesh: m}
	m.routes = newRouteKeeper(m)
	m.peers.SetVersions(m.routes)
}

func (m *Mesh) ownRecord(id node.Identity) fleet.Member {
	return fleet.Member{
		Node:        id.Node,
		Incarnation: id.Incarnation,
		Region:      id.Region,
		Zone:        id.Zone,
		Address:     id.InnerAddr,
		Service:     m.cfg.Service,
		State:       fleet.Gone,
	}
}

// setEndpoints is called by members, one call at a time.
func (m *Mesh) setEndpoints(r *fleet.Registry) {
	endpoints := r.Endpoints()
	m.node.SetEndpoints(m.node.Now(), endpoints)
	addrs := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		addrs[e.Addr] = true
	}
	m.peers.Retain(addrs)
	m.peers.SetMaxIdleConns(keptFor(m.Settings().Resources.Descriptors, len(endpoints)))
	m.node.Guard().SetRetryBudget(m.repeatBudget(endpoints))
	m.quotas.setEndpoints(endpoints)
}

// repeatBudget is this guard's part of what its service may get: the floor is
// shared by the guards of the service.
func (m *Mesh) repeatBudget(endpoints []routing.Endpoint) retry.BudgetConfig {
	guards := 0
	for _, e := range endpoints {
		if e.Service == m.cfg.Service {
			guards++
		}
	}
	r := m.Settings().Retries
	return retry.BudgetConfig{Ratio: r.Ratio, Floor: float64(r.Floor) / float64(max(guards, 1)), Window: r.Window.Std()}
}

func newSeed() [32]byte {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		binary.LittleEndian.PutUint64(seed[:], uint64(time.Now().UnixNano()))
	}
	return seed
}

func (m *Mesh) run() {
	ctx := m.down
	m.serve()
	m.loop(func() { m.pace.run(ctx) })
	m.loop(func() { m.followRoutes(ctx) })
	m.loop(func() { m.publisher.run(ctx) })
	m.loop(func() { m.suspects.run(ctx) })
	m.loop(func() { m.followMembers(ctx) })
	m.loop(func() { (&introducer{mesh: m, absent: fleet.NewAbsent(), logger: m.logger}).run(ctx) })
	m.loop(func() { m.adoptUpstream(ctx) })
	m.loop(func() { m.compare(ctx) })
	m.node.Event(m.node.Now(), timeline.Event{Kind: timeline.NodeStarted})
}

func (m *Mesh) loop(f func()) {
	m.loops.Add(1)
	go func() {
		defer m.loops.Done()
		f()
	}()
}

// ready reports whether callers may be sent here.
func (m *Mesh) ready() bool { return !m.stopping.Load() && m.proxy.Routes() != nil }

// Addresses are those that the node listens on.
func (m *Mesh) Addresses() (callers, inner, ready, announce net.Addr) {
	l := &m.listeners
	return l.callers.Addr(), l.inner.Addr(), l.ready.Addr(), l.announce.Addr()
}

// MetricsAddress is where metrics and state are served; nil when they aren't.
func (m *Mesh) MetricsAddress() net.Addr {
	if m.listeners.metrics == nil {
		return nil
	}
	return m.listeners.metrics.Addr()
}

// InFlight returns how many calls the node holds in any role.
func (m *Mesh) InFlight() int {
	return max(m.node.Guard().Busy(), int(m.proxy.Held().Calls))
}
