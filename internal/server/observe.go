package server

import (
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// metricsHandler returns the handler of the metrics. It updates the gauges at each request, so
// that they cost nothing while the metrics are not read.
func (s *Server) metricsHandler() http.Handler {
	next := s.metrics.Handler()
	var exported exportedCounters
	var mu sync.Mutex
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		s.refresh(&exported)
		mu.Unlock()
		next.ServeHTTP(w, r)
	})
}

// exportedCounters are the values of other components' counters that are already included in
// the metrics.
type exportedCounters struct {
	appender      logstore.AppenderStats
	control       ControlStats
	rejectedCalls int64
	// evictedEvents counts the events evicted from the timeline ring.
	evictedEvents int64
}

func (s *Server) refresh(exported *exportedCounters) {
	load := s.node.Guard().Load()
	s.metrics.SetGauge(metrics.AdmissionLimit, int64(load.Limit))
	s.metrics.SetGauge(metrics.UpstreamRateLimit, s.node.Guard().Notice().RateLimitMilli())
	s.metrics.SetGauge(metrics.AdmissionThreshold, int64(load.Threshold))
	s.metrics.SetGauge(metrics.IsDraining, boolToInt(load.Draining))
	s.metrics.SetGauge(metrics.ConfigVersion, int64(s.node.Policy().NewestChange()))
	next, age, _ := s.control.logHealth()
	s.metrics.SetGauge(metrics.LogOffset, next)
	s.metrics.SetGauge(metrics.LogHeadAgeMillis, age.Milliseconds())
	s.refreshMembers()
	s.refreshOwnership()
	s.refreshCounters(exported)
}

func (s *Server) refreshMembers() {
	known, live := 0, 0
	for _, m := range s.control.knownMembers() {
		if m.Service == "" {
			continue
		}
		known++
		if t := s.node.Table().ByNode(m.Node); t != nil && !t.Ejected() && !t.Stats().Draining {
			live++
		}
	}
	s.metrics.SetGauge(metrics.UpstreamsKnown, int64(known))
	s.metrics.SetGauge(metrics.UpstreamsLive, int64(live))
}

func (s *Server) refreshCounters(exported *exportedCounters) {
	stats := s.appender.Stats()
	s.metrics.Inc(metrics.LogAppends, stats.Appends-exported.appender.Appends)
	s.metrics.Inc(metrics.LogAppendFailures, stats.Failures-exported.appender.Failures)
	s.metrics.Inc(metrics.LogAppendsSettled, stats.Uncertain-exported.appender.Uncertain)
	s.metrics.CountRejected(metrics.BoundAppends, stats.Rejected-exported.appender.Rejected)
	exported.appender = stats
	s.refreshControl(exported)
	rejected := s.proxy.Usage().Rejected
	s.metrics.CountRejected(metrics.BoundCallsInFlight, rejected-exported.rejectedCalls)
	exported.rejectedCalls = rejected
	evicted := int64(s.node.Ring().Evicted())
	s.metrics.CountRejected(metrics.BoundTimeline, evicted-exported.evictedEvents)
	exported.evictedEvents = evicted
}

// refreshControl adds the counters of the control plane to the metrics.
func (s *Server) refreshControl(exported *exportedCounters) {
	stats := s.ControlStats()
	s.metrics.Inc(metrics.ControlExchanges, int64(stats.Exchanges-exported.control.Exchanges))
	exported.control = stats
	s.control.mu.Lock()
	isLeader := s.control.plane.IsLeader()
	s.control.mu.Unlock()
	s.metrics.SetGauge(metrics.IsRelay, boolToInt(isLeader))
}

// watchBounds registers the size and the limit of everything that is kept in memory. A limit
// of 0 in the metrics document means that the size is bounded elsewhere: members by the
// records of the log, and connections to peers by the calls that use them.
func (s *Server) watchBounds() {
	l, guard := &s.cfg.Limits, s.node.Guard()
	watch := s.metrics.WatchBound
	retention := guard.RetentionUsage()
	watch(metrics.BoundQueue, int64(l.Queue), func() int64 { return int64(guard.Load().Queued) })
	watch(metrics.BoundCallsInFlight, int64(l.CallsInFlight), func() int64 { return s.proxy.Usage().Calls })
	watch(metrics.BoundCallerConnections, int64(l.CallerConnections), s.connections.open.Load)
	watch(metrics.BoundPeerConnections, 0, s.peers.Open)
	watch(metrics.BoundHeldBytes, int64(l.HeldBytes), func() int64 { return s.proxy.Usage().Bytes })
	watch(metrics.BoundAnswerBytes, retention.MaxBytes, func() int64 { return guard.RetentionUsage().Bytes })
	watch(metrics.BoundAnswerKeys, retention.MaxKeys, func() int64 { return guard.RetentionUsage().Keys })
	watch(metrics.BoundTimeline, int64(s.node.Ring().Cap()), func() int64 { return int64(s.node.Ring().Len()) })
	watch(metrics.BoundCrashRecords, int64(l.Suspects), func() int64 { return int64(len(guard.CrashRecords(s.node.Now()))) })
	watch(metrics.BoundMembers, 0, func() int64 { return int64(s.control.memberView().Len()) })
	watch(metrics.BoundAppends, int64(s.appenderConfig().MaxQueue), func() int64 { return int64(s.appender.Stats().Queued) })
	watch(metrics.BoundAccounts, int64(l.CallsInFlight), func() int64 { return int64(guard.Busy()) })
	watch(metrics.BoundFollowers, admin.MaxEventStreams, s.eventStreams.open.Load)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// logRefusal logs a refusal that this node returns to a caller. The logger samples these
// lines, so that a surge of refusals does not fill the output pipe.
func (s *Server) logRefusal(call *node.Call, r *result.Refusal) {
	s.logger.Info().Int("code", int(r.Code)).Str("name", r.Code.String()).Str("ran", string(r.Code.Ran())).
		Str("request", call.Ctx.RequestID).Str("workspace", call.Ctx.Workspace).Str("service", call.Ctx.Service).
		Str("why", r.Detail).Msg("call refused")
}

// errorLogWriter writes the errors that net/http reports, such as failed handshakes, to the
// node's log.
type errorLogWriter struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (l errorLogWriter) Write(p []byte) (int, error) {
	l.logger.Warn().Str("why", strings.TrimSpace(string(p))).Msg("HTTP server reported an error on a connection or request")
	return len(p), nil
}

// connectionCounter counts the open connections of callers.
type connectionCounter struct{ open atomic.Int64 }

// limitCallerConnections closes connections above the limit right after they are accepted. A
// connection left in the backlog would get no response, and its caller would wait.
func (s *Server) limitCallerConnections(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, server: s, limit: int64(s.cfg.Limits.CallerConnections)}
}

// limitedListener is the listener of the caller port with a limit on open connections.
type limitedListener struct {
	net.Listener
	server *Server
	limit  int64
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		open := &l.server.connections.open
		if open.Add(1) <= l.limit {
			return conns.OnClose(c, func() { open.Add(-1) }), nil
		}
		open.Add(-1)
		l.server.metrics.CountRejected(metrics.BoundCallerConnections, 1)
		_ = c.Close()
	}
}
