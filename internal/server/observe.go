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

// metricsHandler brings the gauges up to date when the metrics are read:
// nothing is measured that nobody asks for.
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

// exportedCounters is what the metrics have taken over of others' counters so far.
type exportedCounters struct {
	appender      logstore.AppenderStats
	control       ControlStats
	rejectedCalls int64
	// droppedEvents are the events that the ring pushed out.
	droppedEvents int64
}

func (s *Server) refresh(exported *exportedCounters) {
	load := s.node.Guard().Load()
	s.metrics.SetGauge(metrics.AdmissionLimit, int64(load.Limit))
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
	s.metrics.CountRejected(metrics.BoundAppends, stats.Refused-exported.appender.Refused)
	exported.appender = stats
	s.refreshControl(exported)
	rejected := s.proxy.Held().Rejected
	s.metrics.CountRejected(metrics.BoundCallsInFlight, rejected-exported.rejectedCalls)
	exported.rejectedCalls = rejected
	dropped := int64(s.node.Ring().Forgotten())
	s.metrics.CountRejected(metrics.BoundTimeline, dropped-exported.droppedEvents)
	exported.droppedEvents = dropped
}

// refreshControl takes over what the control plane counted.
func (s *Server) refreshControl(exported *exportedCounters) {
	stats := s.ControlStats()
	s.metrics.Inc(metrics.ControlExchanges, int64(stats.Exchanges-exported.control.Exchanges))
	exported.control = stats
	s.control.mu.Lock()
	isLeader := s.control.plane.IsLeader()
	s.control.mu.Unlock()
	s.metrics.SetGauge(metrics.IsRelay, boolToInt(isLeader))
}

// watchBounds shows everything that is held and has a limit. A limit of 0 in
// the document means that the size is bounded elsewhere: members by the log's
// records, and connections to peers by the calls that use them.
func (s *Server) watchBounds() {
	l, guard := &s.cfg.Limits, s.node.Guard()
	watch := s.metrics.WatchBound
	retention := guard.Kept()
	watch(metrics.BoundQueue, int64(l.Queue), func() int64 { return int64(guard.Load().Queued) })
	watch(metrics.BoundCallsInFlight, int64(l.CallsInFlight), func() int64 { return s.proxy.Held().Calls })
	watch(metrics.BoundCallerConnections, int64(l.CallerConnections), s.connections.open.Load)
	watch(metrics.BoundPeerConnections, 0, s.peers.Open)
	watch(metrics.BoundHeldBytes, int64(l.HeldBytes), func() int64 { return s.proxy.Held().Bytes })
	watch(metrics.BoundAnswerBytes, retention.MaxBytes, func() int64 { return guard.Kept().Bytes })
	watch(metrics.BoundAnswerKeys, retention.MaxKeys, func() int64 { return guard.Kept().Keys })
	watch(metrics.BoundTimeline, int64(s.node.Ring().Cap()), func() int64 { return int64(s.node.Ring().Len()) })
	watch(metrics.BoundCrashRecords, int64(l.Suspects), func() int64 { return int64(len(guard.CrashRecords(s.node.Now()))) })
	watch(metrics.BoundMembers, 0, func() int64 { return int64(s.control.memberView().Len()) })
	watch(metrics.BoundAppends, int64(s.appenderConfig().MaxQueue), func() int64 { return int64(s.appender.Stats().Queued) })
	watch(metrics.BoundAccounts, int64(l.CallsInFlight), func() int64 { return int64(guard.Busy()) })
	watch(metrics.BoundFollowers, admin.MaxFollowers, s.followers.n.Load)
}

func boolToInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

// logRefusal explains a refusal that leaves the node. The logger samples: a
// surge does not fill the pipe.
func (s *Server) logRefusal(call *node.Call, r *result.Refusal) {
	s.logger.Info().Int("code", int(r.Code)).Str("name", r.Code.String()).Str("ran", string(r.Code.Ran())).
		Str("request", call.Ctx.RequestID).Str("workspace", call.Ctx.Workspace).Str("service", call.Ctx.Service).
		Str("why", r.Detail).Msg("refused")
}

// errorLogWriter makes net/http's own lines, such as failed handshakes, lines of
// the node's log.
type errorLogWriter struct{ logger zerolog.Logger }

// Write implements io.Writer.
func (l errorLogWriter) Write(p []byte) (int, error) {
	l.logger.Warn().Str("why", strings.TrimSpace(string(p))).Msg("connection")
	return len(p), nil
}

// connectionCounter counts the callers' open connectionCounter.
type connectionCounter struct{ open atomic.Int64 }

// limitCallerConnections closes connections beyond the bound at once: one that waits in
// the backlog would be a silent connection to its caller.
func (s *Server) limitCallerConnections(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, server: s, limit: int64(s.cfg.Limits.CallerConnections)}
}

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
