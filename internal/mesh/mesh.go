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
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Mesh is a running node.
type Mesh struct {
	// cfg holds the settings that the node started with. Settings that may change while it runs
	// are read from tunable.
	cfg      *settings.Mesh
	tunable  atomic.Pointer[settings.Mesh]
	platform Platform
	// logger writes rare lines. rateLimited writes lines whose number grows with requests or
	// records: it limits them per second and drops the rest. Lines about starts, stops and a
	// lost store must never be dropped, so they go to logger.
	logger      zerolog.Logger
	rateLimited zerolog.Logger
	// successTrees and failureTrees select the call trees whose lines are written, for
	// successful calls and for failures.
	successTrees, failureTrees timeline.TreeSampler
	metrics                    *metrics.Set
	node                       *node.Node
	proxy                      *proxy.Proxy
	peers                      *proxy.Peers
	upstream                   *proxy.Upstream
	bodies                     *membudget.Budget

	members         *members
	claims          *claims
	membersFollower *records.Follower
	publisher       *records.Publisher
	groupWriter     *records.GroupWriter
	gossiper        *records.Gossiper
	crashReporter   *crashReporter
	routes          *routeKeeper
	quotas          *quotas
	shares          *shares
	local           *localUpstream
	guardTicker     *guardTicker
	overview        *overviewExchange
	zoneBalance     *zoneBalance

	listeners listeners
	servers   servers
	stopping  atomic.Bool
	// ctx is canceled when the node stops.
	ctx    context.Context
	cancel context.CancelFunc
	// callersCtx is the context of all requests of callers. giveUpCallers ends it.
	callersCtx    context.Context
	giveUpCallers context.CancelFunc
	goroutines    sync.WaitGroup
}

type systemClock struct{}

// Now implements node.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// noIdempotencyKeys is the node.Authority of a deployment whose callers send no idempotency keys. It
// admits every call.
type noIdempotencyKeys struct{}

// MayStart implements node.Authority.
func (noIdempotencyKeys) MayStart(time.Time, *node.Call) (time.Time, *result.Refusal) {
	return time.Time{}, nil
}

// NeedsClaim implements node.Authority.
func (noIdempotencyKeys) NeedsClaim(*node.Call) bool { return false }

// Claim implements proxy.Claimer.
func (noIdempotencyKeys) Claim(context.Context, *node.Call) *result.Refusal { return nil }

// Start opens the listeners of a node and begins to serve. It copies the settings, so the caller
// may change its own for the next start. It fails if an address can't be listened on.
func Start(initial *settings.Mesh, platform Platform, logger zerolog.Logger) (*Mesh, error) {
	own := *initial
	cfg := &own
	m := &Mesh{cfg: cfg, platform: platform, logger: logger.Sample(nil), rateLimited: logger, metrics: metrics.New(timerSample)}
	m.successTrees.Budget, m.failureTrees.Budget = cfg.Logging.Burst, cfg.Logging.Burst
	m.tunable.Store(cfg)
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.callersCtx, m.giveUpCallers = context.WithCancel(context.Background())
	if err := m.listeners.open(cfg); err != nil {
		return nil, errors.Wrap(err, "start node")
	}
	m.build()
	m.run()
	return m, nil
}

func (m *Mesh) identity() node.Identity {
	return node.Identity{
		Node:        m.cfg.NodeID,
		Incarnation: uint64(time.Now().UnixNano()),
		Region:      m.cfg.Region,
		Zone:        m.cfg.Zone,
		InnerAddr:   cmp.Or(m.cfg.Listen.InnerAdvertised, m.listeners.inner.Addr().String()),
	}
}

func (m *Mesh) build() {
	id := m.identity()
	m.bodies = newBodyBudget(m.cfg.Resources)
	m.peers = proxy.NewPeers(nil)
	m.peers.SetConnections(proxy.ConnectionConfig{
		Connect:      peerConnectTimeout,
		Idle:         peerIdleTimeout,
		MaxIdleConns: maxIdlePerPeer,
		PathTimeout:  peerSilenceTimeout,
		Bodies:       m.bodies,
		Reattach:     proxy.WaitBounds{Min: minPeerReattachWait, Max: maxPeerReattachWait},
	})
	m.gossiper = m.newGossiper()
	m.crashReporter = newCrashReporter(m.platform.Members(), m.cfg.NodeID, m.rateLimited, m.logger, m.gossiper.Publish)
	m.upstream = proxy.NewUpstream(noIdempotencyKeys{})
	m.upstream.SetDialect(m.platform)
	m.upstream.SetBodyBudget(m.bodies)
	m.upstream.SetAddr(m.cfg.UpstreamAddress)
	m.local = &localUpstream{mesh: m}
	m.node = node.New(node.Config{
		Identity:       id,
		Clock:          systemClock{},
		Runner:         m.upstream,
		Authority:      noIdempotencyKeys{},
		Ring:           timeline.NewRing(m.cfg.NodeID, timelineEvents, &timeline.Clock{}),
		Routing:        routingConfig(),
		Retry:          retry.DefaultPolicy(),
		Throttle:       retry.DefaultThrottleConfig(),
		Guard:          guardConfig(),
		Seed:           newSeed(),
		Sample:         timelineSample,
		MaxReroutes:    maxReroutes,
		Metrics:        m.metrics,
		OnEvent:        m.logEvent,
		OnCrashRecords: m.crashReporter.enqueue,

		OnUpstreamLeaving: m.local.saidLeaving,
	})
	m.crashReporter.guard = m.node.Guard()
	m.peers.Bind(m.node)
	m.upstream.Bind(m.node)
	m.proxy = proxy.New(m.node, m.peers, m.upstream)
	m.proxy.AcceptPredecessorCalls(m.cfg.Service)
	m.proxy.SetBodyBudget(m.bodies)
	m.quotas = newQuotas(m)
	m.proxy.SetReserve(m.cfg.Trees.Reserve, m.cfg.Trees.Overcommit)
	m.guardTicker = newGuardTicker(m.node.Guard())
	m.upstream.OnQueued(m.guardTicker.wakeIfQueued)
	m.publisher = m.newPublisher(id)
	m.claims = newClaims(m)
	m.members = newMembers(m, id)
	m.membersFollower = records.NewFollower(m.platform.Members(), m.members.apply, m.newRelay(records.MembersWatchWait), m.logger)
	m.membersFollower.BatchWindow = m.membersBatchWindow
	m.membersFollower.LagGrace = records.BatchedLagGrace
	m.groupWriter = records.NewGroupWriter(m.ctx, m.publisher.Put)
	m.publisher.WriteItem = (&zoneWriter{mesh: m}).write
	m.routes = newRouteKeeper(m)
	m.peers.SetVersions(m.routes)
	m.buildBalance()
}

// buildBalance creates what divides and places load by the overview of the deployment.
func (m *Mesh) buildBalance() {
	m.shares = newShares(m)
	m.zoneBalance = newZoneBalance(m)
	m.overview = newOverviewExchange(m)
	m.applyBalance()
}

func (m *Mesh) newPublisher(id node.Identity) *records.Publisher {
	own := m.ownRecord(id)
	return records.NewPublisher(m.platform.Members(), m.logger, memberKey, own, m.gossiper.Publish)
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

// setEndpoints applies the endpoints of a changed registry. members calls it with its lock held,
// so calls don't overlap.
func (m *Mesh) setEndpoints(r *fleet.Registry) {
	endpoints := r.Endpoints()
	m.node.SetEndpoints(m.node.Now(), endpoints)
	addrs := make(map[string]bool, len(endpoints))
	for _, e := range endpoints {
		addrs[e.Addr] = true
	}
	m.peers.Retain(addrs)
	m.peers.SetMaxIdleConns(idlePerPeer(m.Settings().Resources.Descriptors, len(endpoints)))
	m.node.Guard().SetRetryBudget(m.retryBudget(endpoints))
	m.quotas.setEndpoints(endpoints)
}

// retryBudget returns this guard's share of the retry budget of its service: the floor is
// divided among the guards of the service.
func (m *Mesh) retryBudget(endpoints []routing.Endpoint) retry.BudgetConfig {
	guards := 0
	for _, e := range endpoints {
		if e.Service == m.cfg.Service {
			guards++
		}
	}
	r := m.Settings().Retries
	return retry.BudgetConfig{Ratio: r.Ratio, Floor: r.Floor / float64(max(guards, 1)), Window: r.Window.Std()}
}

func newSeed() [32]byte {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		binary.LittleEndian.PutUint64(seed[:], uint64(time.Now().UnixNano()))
	}
	return seed
}

func (m *Mesh) run() {
	ctx := m.ctx
	m.serve()
	m.spawn(func() { m.guardTicker.run(ctx) })
	m.spawn(func() { m.shares.run(ctx) })
	m.spawn(func() { m.followRoutes(ctx) })
	m.spawn(func() { m.publisher.Run(ctx) })
	m.spawn(func() { m.claims.run(ctx) })
	m.spawn(func() { m.crashReporter.run(ctx) })
	m.spawn(func() { m.followMembers(ctx) })
	m.spawn(func() { (&introducer{mesh: m, absent: fleet.NewAbsent(), logger: m.logger}).run(ctx) })
	m.spawn(func() { m.adoptUpstream(ctx) })
	m.spawn(func() { m.local.awaitRecord(ctx) })
	m.spawn(func() { m.compareOffsets(ctx) })
	m.spawn(func() { m.overview.runReports(ctx) })
	m.spawn(func() { m.overview.runZones(ctx) })
	m.node.Event(m.node.Now(), timeline.Event{Kind: timeline.NodeStarted})
}

// spawn runs f in a goroutine that close waits for.
func (m *Mesh) spawn(f func()) {
	m.goroutines.Add(1)
	go func() {
		defer m.goroutines.Done()
		f()
	}()
}

// ready reports whether callers may send requests to this node.
func (m *Mesh) ready() bool { return !m.stopping.Load() && m.proxy.Routes() != nil }

// Addresses returns the addresses that the node listens on.
func (m *Mesh) Addresses() (callers, inner, ready, announce net.Addr) {
	l := &m.listeners
	return l.callers.Addr(), l.inner.Addr(), l.ready.Addr(), l.announce.Addr()
}

// MetricsAddress returns the address at which metrics and state are served; nil if they are not
// served.
func (m *Mesh) MetricsAddress() net.Addr {
	if m.listeners.metrics == nil {
		return nil
	}
	return m.listeners.metrics.Addr()
}

// InFlight returns the number of calls at the node, in any role.
func (m *Mesh) InFlight() int {
	return max(m.node.Guard().Busy(), int(m.proxy.Usage().Calls))
}
