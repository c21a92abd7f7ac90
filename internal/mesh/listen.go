package mesh

import (
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/httphead"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/settings"
)

const (
	// defaultHeaderTimeout bounds the time for receiving a request's header where the routes set
	// no bound. 3 lost packets in a row delay a header by about 1 s.
	defaultHeaderTimeout = 10 * time.Second
	// defaultHeaderBytes bounds a request's header where the routes set no bound: 8 times the
	// usual limit of web servers.
	defaultHeaderBytes = 64 << 10
	// maxHeaderBytes bounds a request's header even if the routes allow more. 1,000 callers may
	// send headers at the same time, and this bounds the memory that their headers take.
	maxHeaderBytes = 256 << 10
	// innerIdleTimeout is longer than peerIdleTimeout, so that the node that sends calls is the
	// one that closes the connection.
	innerIdleTimeout = 60 * time.Second
	// noKeepAlive is a value of net.ListenConfig. Many callers open a connection for each request, and
	// setting up keep-alive probes takes four system calls. Connections of callers need none, since idle
	// ones are closed after a timeout.
	noKeepAlive = -1
)

// listeners are the listeners of the node; metrics is nil if metrics are not served.
type listeners struct {
	callers, inner, ready, announce, metrics net.Listener
}

func (l *listeners) open(cfg *settings.Mesh) error {
	callers, nodes, others := &net.ListenConfig{KeepAlive: noKeepAlive}, &net.ListenConfig{}, &net.ListenConfig{}
	conns.DetectDeadDialers(nodes, peerSilenceTimeout)
	for _, x := range []struct {
		into   *net.Listener
		field  string
		addr   string
		config *net.ListenConfig
	}{
		{&l.callers, "listen.callers", cfg.Listen.Callers, callers},
		{&l.inner, "listen.inner", cfg.Listen.Inner, nodes},
		{&l.ready, "listen.ready", cfg.Listen.Ready, others},
		{&l.announce, "listen.announce", cfg.Listen.Announce, others},
		{&l.metrics, "listen.metrics", cfg.Listen.Metrics, others},
	} {
		if x.addr == "" {
			continue
		}
		opened, err := x.config.Listen(context.Background(), "tcp", x.addr)
		if err != nil {
			l.close()
			return errors.Wrapf(err, "open listener %s at %s", x.field, x.addr)
		}
		*x.into = opened
	}
	return nil
}

func (l *listeners) close() {
	for _, open := range []net.Listener{l.callers, l.inner, l.ready, l.announce, l.metrics} {
		if open != nil {
			_ = open.Close()
		}
	}
}

// servers are the HTTP servers on the listeners.
type servers struct {
	callers, inner, ready, announce, metrics *http.Server
	// control carries control requests to other nodes, on connections that carry no calls.
	control *httphead.Transport
}

func (s *servers) all() []*http.Server {
	return []*http.Server{s.callers, s.inner, s.ready, s.announce, s.metrics}
}

func (m *Mesh) serve() {
	s := &m.servers
	s.control = m.peers.ControlTransport()
	callers := m.proxy.ServeRoutes(m.platform, m.quotas)
	callerDepartures, nodeDepartures := conns.NewDepartures(m.countPipelined), conns.NewDepartures(func() {})
	s.callers = m.newServer(callerDepartures.Handler(m.withConnectionClose(callers)))
	s.callers.BaseContext = func(net.Listener) context.Context { return m.callersCtx }
	s.callers.ConnContext = conns.ConnContext
	s.callers.IdleTimeout = idleSentinel
	s.callers.ReadHeaderTimeout = headerSentinel
	s.callers.MaxHeaderBytes = maxHeaderBytes
	s.inner = m.newServer(nodeDepartures.Handler(m.innerHandler()))
	s.inner.ConnContext = conns.ConnContext
	s.inner.IdleTimeout = innerIdleTimeout
	s.ready = m.newServer(http.HandlerFunc(m.serveReady))
	s.announce = m.newServer(m.platform.AnnounceHandler(m.local))
	m.startServer(s.callers, &callerListener{m.listeners.callers, m, callerDepartures})
	m.startServer(s.inner, nodeDepartures.Listener(m.listeners.inner))
	m.startServer(s.ready, m.listeners.ready)
	m.startServer(s.announce, m.listeners.announce)
	if m.listeners.metrics != nil {
		s.metrics = m.newServer(m.stateHandler())
		m.startServer(s.metrics, m.listeners.metrics)
	}
}

// innerHandler returns the handler of the messages of other nodes.
func (m *Mesh) innerHandler() http.Handler {
	inner := http.NewServeMux()
	inner.Handle(proxy.CallPath, m.proxy.CallHandler())
	inner.Handle(routesPath, m.routes)
	inner.HandleFunc("POST "+introductionPath, m.serveIntroduction)
	inner.HandleFunc("POST "+unstoredPath, m.serveGossip)
	inner.HandleFunc("POST "+recordPath, m.serveRecord)
	inner.HandleFunc("GET "+membersPath, m.serveMembers)
	inner.HandleFunc("GET "+watchPath, m.serveWatch)
	inner.HandleFunc("POST "+quotaPath, m.serveQuota)
	inner.HandleFunc("POST "+proxy.RoomPath, m.proxy.ServeRoom)
	inner.HandleFunc("GET "+offsetsPath, m.serveOffsets)
	inner.HandleFunc("POST "+overviewPath, m.overview.serveReport)
	inner.HandleFunc("POST "+overviewZonesPath, m.overview.serveZone)
	return inner
}

func (m *Mesh) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: defaultHeaderTimeout,
		MaxHeaderBytes:    defaultHeaderBytes,
		ErrorLog:          log.New(serverErrorLog{m.rateLimited}, "", 0),
		BaseContext:       func(net.Listener) context.Context { return context.Background() },
	}
}

func (m *Mesh) startServer(srv *http.Server, l net.Listener) {
	m.spawn(func() {
		if err := srv.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			m.logger.Error().Err(err).Str("address", l.Addr().String()).Msg("listener failed; the server on this address accepts no more connections")
		}
	})
}

// serverErrorLog writes the error lines of net/http servers to the log.
type serverErrorLog struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (e serverErrorLog) Write(line []byte) (int, error) {
	e.logger.Debug().Str("detail", string(line)).Msg("HTTP server reported an error on a connection or request")
	return len(line), nil
}

func (m *Mesh) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !m.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// withConnectionClose makes a stopping node ask callers to close their connection, so that they
// open the next one to another node. A request that a caller sends while an idle connection is
// being closed is lost.
func (m *Mesh) withConnectionClose(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if m.stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}
