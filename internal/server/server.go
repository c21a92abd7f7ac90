// Package server runs one node in a process: it owns the listeners, timers and the reader of
// the log, and implements the planned stop. The decisions on calls are made in package node.
package server

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/certs"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// guardTick is how often the guard checks its waiting calls for expiry: a tenth of the
	// shortest useful wait.
	guardTick = 10 * time.Millisecond
	// headerTimeout bounds the time in which the header of a request must arrive.
	headerTimeout = 10 * time.Second
	// timerSample is N in "record 1 in N durations" for the timers on the path of a call.
	timerSample = 8
)

// Options replace parts of the environment in tests and demos.
type Options struct {
	// Log replaces the log service; nil means a client of the log in the settings.
	Log logstore.Log
	// Dial opens connections to other nodes; nil means TCP.
	Dial conns.DialFunc
	// Logger receives the log lines of the node.
	Logger zerolog.Logger
	// Observer receives the end of calls; it may be nil.
	Observer node.Observer
	// BeforeRun may be nil; see proxy.Upstream.BeforeRun.
	BeforeRun func(context.Context) error
}

// Server is a running node. Create it with Start.
type Server struct {
	cfg       *settings.Node
	log       logstore.Log
	appender  *logstore.Appender
	logger    zerolog.Logger
	node      *node.Node
	proxy     *proxy.Proxy
	peers     *proxy.Peers
	upstream  *proxy.Upstream
	control   *controlLoop
	ownership *ownership
	announce  *announcementHandler
	backend   *backend
	metrics   *metrics.Set
	tokens    *admin.Tokens

	listeners    listeners
	servers      []*http.Server
	eventStreams eventStreamCounter
	connections  connectionCounter
	certs        certificates
	// innerServer is the server for other nodes; it is one of servers.
	innerServer *http.Server
	// stopping is closed when the listeners close, and ends open streams.
	stopping   chan struct{}
	stopOnce   sync.Once
	stop       context.CancelFunc
	goroutines sync.WaitGroup
	// handedOver is closed once the hand-over of the owned slots has ended.
	handedOver chan struct{}
	drainOnce  sync.Once
}

type listeners struct {
	callers, exit, inner, admin net.Listener
}

type systemClock struct{}

// Now implements node.Clock.
func (systemClock) Now() time.Time { return time.Now() }

// Start opens the listeners of a node and starts to serve. The settings must be valid. With
// port 0 the system selects the port; Addresses returns the addresses in use.
func Start(cfg *settings.Node, opts Options) (*Server, error) {
	s := &Server{
		cfg:        cfg,
		log:        opts.Log,
		logger:     opts.Logger,
		metrics:    metrics.New(timerSample),
		stopping:   make(chan struct{}),
		handedOver: make(chan struct{}),
	}
	if s.log == nil {
		s.log = logstore.NewClient(cfg.Log.URL, logstore.ClientOptions{Timeout: cfg.Log.ReadTimeout.Std()})
	}
	s.log = &meteredLog{Log: s.log, metrics: s.metrics}
	appender, err := logstore.NewAppender(s.log, s.appenderConfig())
	if err != nil {
		return nil, errors.Wrap(err, "create log appender")
	}
	s.appender = appender
	if s.tokens, err = admin.NewTokens(cfg.Tokens); err != nil {
		return nil, err
	}
	if err := s.loadCerts(); err != nil {
		return nil, err
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	s.build(opts)
	s.run()
	return s, nil
}

// appendsPerSecond is this node's share of the several hundred appends a second that the log
// accepts, in a deployment of some twenty nodes.
const appendsPerSecond = 15

func (s *Server) appenderConfig() logstore.AppenderConfig {
	cfg := logstore.DefaultAppenderConfig()
	cfg.PerSecond = appendsPerSecond
	cfg.Timeout = min(s.cfg.Log.AppendTimeout.Std(), cfg.RepeatFor)
	return cfg
}

func (s *Server) guardConfig() node.GuardConfig {
	cfg := node.DefaultGuardConfig()
	cfg.Keys.MaxKeys = s.cfg.Limits.AnswerKeys
	cfg.Keys.MaxBytes = int64(s.cfg.Limits.AnswerBytes)
	cfg.Quarantine.MaxEntries = s.cfg.Limits.Suspects
	return cfg
}

func (s *Server) listen() error {
	for _, l := range []struct {
		into *net.Listener
		name string
		addr string
	}{
		{&s.listeners.callers, "callers.address", s.cfg.Callers.Address},
		{&s.listeners.exit, "upstream.address", s.cfg.Upstream.Address},
		{&s.listeners.inner, "inner.address", s.cfg.Inner.Address},
		{&s.listeners.admin, "admin.address", s.cfg.Admin.Address},
	} {
		opened, err := net.Listen("tcp", l.addr)
		if err != nil {
			s.closeListeners()
			return errors.Wrapf(err, "open listener %s %s", l.name, l.addr)
		}
		*l.into = opened
	}
	s.listeners.callers = s.limitCallerConnections(s.listeners.callers)
	return nil
}

func (s *Server) closeListeners() {
	l := &s.listeners
	for _, open := range []net.Listener{l.callers, l.exit, l.inner, l.admin} {
		if open != nil {
			_ = open.Close()
		}
	}
}

func (s *Server) build(opts Options) {
	s.peers = proxy.NewPeers(opts.Dial)
	s.peers.SetConnections(proxy.ConnectionConfig{
		Connect:      s.cfg.Timing.Connect.Std(),
		Idle:         s.cfg.Timing.IdleConnection.Std(),
		MaxIdleConns: s.cfg.Limits.PeerConnections,
	})
	s.securePeers()
	s.control = newControl(s, newControlClients(s.peers))
	s.upstream = proxy.NewUpstream(s.control)
	s.upstream.BeforeRun = opts.BeforeRun
	id := s.identity()
	s.ownership = newOwnership(s, id)
	s.node = node.New(node.Config{
		Identity:  id,
		Clock:     systemClock{},
		Runner:    s.upstream,
		Authority: authority{s},
		Owners:    s.ownership.state,
		Ring:      timeline.NewRing(s.cfg.NodeID, s.cfg.Limits.TimelineEvents, &timeline.Clock{}),
		Routing:   routing.DefaultConfig(),
		Retry:     retry.DefaultPolicy(),
		Throttle:  retry.DefaultThrottleConfig(),
		Guard:     s.guardConfig(),
		Seed:      newSeed(),
		Sample:    s.cfg.Limits.TimelineSample,
		Observer:  opts.Observer,
		OnCrash:   s.onUpstreamCrash,

		OnUpstreamLeaving: func() { s.BeginDrain() },

		OnCrashRecords: func([]quarantine.CrashRecord) { s.control.requestTick() },
		MaxQueue:       s.cfg.Limits.Queue,
		MaxBody:        int64(s.cfg.Limits.BodyBytes),
		Metrics:        s.metrics,
		OnRefused:      s.logRefusal,
	})
	s.peers.Bind(s.node)
	s.upstream.Bind(s.node)
	s.proxy = proxy.New(s.node, s.peers, s.upstream)
	if held := int64(s.cfg.Limits.HeldBytes); held > 0 {
		bodies := membudget.New(held, held)
		s.upstream.SetBodyBudget(bodies)
		s.proxy.SetBodyBudget(bodies)
	}
	s.announce = &announcementHandler{server: s}
	s.control.createPlane()
	s.backend = newBackend(s)
	s.proxy.SetLimits(proxy.Limits{Calls: int64(s.cfg.Limits.CallsInFlight), HeldBytes: int64(s.cfg.Limits.HeldBytes)})
	s.watchBounds()
}

// onUpstreamCrash handles a crash of the upstream's process. The next announcement puts the
// upstream into service again, and the crash records of the calls that were running are sent
// to the peers.
func (s *Server) onUpstreamCrash() {
	s.announce.markDown()
	s.control.requestTick()
}

// Evicted returns a channel that is closed when the log shows that this running node is no
// longer a member. The process must then stop and start again.
func (s *Server) Evicted() <-chan struct{} { return s.control.evicted }

func (s *Server) identity() node.Identity {
	return node.Identity{
		Node:        s.cfg.NodeID,
		Incarnation: uint64(time.Now().UnixNano()),
		Region:      s.cfg.Region,
		Zone:        s.cfg.Zone,
		InnerAddr:   s.innerAddr(),
		AdminAddr:   s.listeners.admin.Addr().String(),
	}
}

// innerAddr returns the advertised address, or the address of the listener when the system
// selected the port.
func (s *Server) innerAddr() string {
	if _, port, _ := net.SplitHostPort(s.cfg.Inner.Advertised); port == "0" || port == "" {
		return s.listeners.inner.Addr().String()
	}
	return s.cfg.Inner.Advertised
}

// newSeed returns a random seed, or one from the clock if the system's random source fails.
func newSeed() [32]byte {
	var seed [32]byte
	if _, err := rand.Read(seed[:]); err != nil {
		binary.LittleEndian.PutUint64(seed[:], uint64(time.Now().UnixNano()))
	}
	return seed
}

func (s *Server) run() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	innerMux := http.NewServeMux()
	innerMux.Handle(proxy.CallPath, s.proxy.CallHandler())
	innerMux.Handle(inner.NewControlHandler(service{control: s.control}))
	s.registerPeerHandlers(innerMux)
	exitMux := http.NewServeMux()
	exitMux.Handle("/v1/upstream", s.announce)
	exitMux.Handle("/", s.proxy.ExitHandler())
	s.serve(s.listeners.callers, s.requireToken(s.proxy.CallerHandler()), s.certs.callers)
	s.serve(s.listeners.exit, exitMux, nil)
	s.serve(s.listeners.inner, innerMux, s.certs.inner)
	s.serve(s.listeners.admin, s.adminHandler(), s.certs.admin)
	s.spawn(func() { s.appender.Run(ctx) })
	s.spawn(func() { s.control.read(ctx) })
	s.spawn(func() { s.control.exchange(ctx) })
	s.spawn(func() { s.control.tick(ctx) })
	s.spawn(func() { s.tick(ctx) })
	s.spawn(func() { s.ownership.run(ctx) })
	s.node.Event(s.node.Now(), timeline.Event{Kind: timeline.NodeStarted})
}

func (s *Server) serve(l net.Listener, h http.Handler, files *certs.Files) {
	srv := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: headerTimeout,
		MaxHeaderBytes:    s.cfg.Limits.HeaderBytes,
		ErrorLog:          log.New(errorLogWriter{s.logger}, "", 0),
	}
	if l == s.listeners.inner {
		srv.Protocols = new(http.Protocols)
		srv.Protocols.SetHTTP1(true)
		srv.Protocols.SetUnencryptedHTTP2(true)
		s.innerServer = srv
	}
	if l == s.listeners.callers || l == s.listeners.exit {
		departures := conns.NewDepartures(func() { s.metrics.Inc(metrics.CallersPipelined, 1) })
		l = departures.Listener(l)
		srv.ConnContext = conns.ConnContext
		srv.Handler = departures.Handler(h)
	}
	s.servers = append(s.servers, srv)
	s.spawn(func() { _ = serveOn(srv, l, files) })
}

// spawn runs f in a goroutine that Shutdown and Kill wait for.
func (s *Server) spawn(f func()) {
	s.goroutines.Add(1)
	go func() {
		defer s.goroutines.Done()
		f()
	}()
}

func (s *Server) tick(ctx context.Context) {
	t := time.NewTicker(guardTick)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.node.Guard().Tick(now)
			s.announce.checkExpiry(now)
		}
	}
}

// Addresses returns the addresses that the node listens on.
func (s *Server) Addresses() (callers, upstream, inner, admin string) {
	l := &s.listeners
	return l.callers.Addr().String(), l.exit.Addr().String(), l.inner.Addr().String(), l.admin.Addr().String()
}

// Node returns the part of the node that makes the decisions on calls.
func (s *Server) Node() *node.Node { return s.node }

func (s *Server) member() membership.Member {
	id := s.node.Identity()
	return membership.Member{
		Identity:  membership.Identity{Node: id.Node, Incarnation: id.Incarnation},
		Region:    id.Region,
		Zone:      id.Zone,
		InnerAddr: id.InnerAddr,
		AdminAddr: id.AdminAddr,
	}
}
