package server

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/testlog"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// startChain starts two nodes. The service letters runs on one node and calls the service
// archive on the other.
func startChain(t *testing.T, archive http.Handler) (*testCluster, *Server, *Server) {
	cluster := newTestCluster(t)
	a, b := cluster.start("letters-1", nil), cluster.start("archive-1", nil)
	_, exitAddr, _, _ := a.Addresses()
	cluster.announceUpstream(b, "archive", archive)
	cluster.announceUpstream(a, "letters", http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+exitAddr+"/hull", nil)
		if err != nil {
			return
		}
		req.Header.Set("Galena-Context", r.Header.Get("Galena-Context"))
		req.Header.Set("Galena-Service", "archive")
		resp, err := cluster.http.Do(req)
		if err != nil {
			rw.WriteHeader(http.StatusBadGateway)
			return
		}
		defer resp.Body.Close()
		rw.WriteHeader(resp.StatusCode)
		_, _ = io.Copy(rw, resp.Body)
	}))
	cluster.awaitTargets("letters", 1, a, b)
	cluster.awaitTargets("archive", 1, a, b)
	cluster.publishInstance(a, "letters")
	cluster.publishInstance(a, "archive")
	return cluster, a, b
}

// timeline returns the events of all nodes for a call or request ID.
func (cluster *testCluster) timeline(s *Server, id string) []timeline.Event {
	resp, err := cluster.admin(s, "view").Timeline(cluster.t.Context(), connect.NewRequest(&adminpb.TimelineRequest{
		Filter: &adminpb.EventFilter{CallId: id}, AllNodes: true,
	}))
	must.NoError(cluster.t, err)
	events, err := timeline.ReadJSONLines(strings.NewReader(strings.Join(resp.Msg.EventsJson, "\n")), 100)
	must.NoError(cluster.t, err)
	return events
}

// Guards against a timeline that omits a hop or lists an effect before its cause.
func TestTimelineShowsOneRequestOverTwoHops(t *testing.T) {
	cluster, a, b := startChain(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("hull")) }))
	status, h, body := cluster.call(a, "letters", "")
	must.Eq(t, http.StatusOK, status)
	must.Eq(t, "hull", string(body))
	var got []string
	innerCallID := ""
	for _, e := range cluster.timeline(b, h.Get("Galena-Request-Id")) {
		got = append(got, e.Node+" "+string(e.Kind))
		if e.Node == "archive-1" {
			innerCallID = e.CallID
		}
	}
	want := []string{
		"letters-1 call_received", "letters-1 call_routed", "letters-1 call_admitted", "letters-1 call_started",
		"letters-1 call_received", "letters-1 call_routed", "archive-1 call_admitted", "archive-1 call_started",
		"archive-1 call_answered", "letters-1 call_answered", "letters-1 call_answered", "letters-1 call_answered",
	}
	must.Eq(t, want, got)
	hop := cluster.timeline(a, innerCallID)
	must.Len(t, 4, hop)
	must.Eq(t, timeline.CallRouted, hop[0].Kind)
	must.Eq(t, "archive-1", hop[0].Upstream)
}

// Guards against a refusal that cannot be traced to the node that refused the call and to the
// reason.
func TestRefusalIsExplained(t *testing.T) {
	cluster, a, _ := startChain(t, http.NotFoundHandler())
	status, h, _ := cluster.call(a, "nothing", "")
	must.Eq(t, http.StatusNotFound, status)
	must.Eq(t, "4002", h.Get(result.HeaderResult))
	refused := a.node.Ring().Events(timeline.Filter{Kinds: []timeline.Kind{timeline.CallRefused}})
	must.Len(t, 1, refused)
	must.Eq(t, result.UnknownService, refused[0].Code)
	must.StrContains(t, refused[0].Detail, `"nothing"`)
	must.Eq(t, 1, a.metrics.ResultCount(result.UnknownService))
}

// Guards against a refusal that is missing from the log or is logged without its code and
// reason.
func TestRefusalIsLogged(t *testing.T) {
	cluster := newTestCluster(t)
	lines := &testlog.Buffer{}
	s, err := Start(testSettings("letters-1"), Options{Log: cluster.log, Logger: zerolog.New(lines)})
	must.NoError(t, err)
	t.Cleanup(s.Kill)
	cluster.call(s, "letters", "")
	must.StrContains(t, lines.String(), `"code":2011`)
	must.StrContains(t, lines.String(), `"why":"no configuration has reached this node yet"`)
}

// metrics returns the metrics document of a node.
func (cluster *testCluster) metrics(s *Server) map[string]map[string]float64 {
	_, _, _, addr := s.Addresses()
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+metrics.Path, nil)
	must.NoError(cluster.t, err)
	_, _, body := cluster.do(req)
	var got map[string]map[string]float64
	must.NoError(cluster.t, json.Unmarshal(body, &got))
	return got
}

// Guards against calls that are missing from the metrics or counted twice when they cross two
// nodes, and against a limit without a metric.
func TestMetricsOfTwoHops(t *testing.T) {
	cluster, a, b := startChain(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) { _, _ = rw.Write([]byte("hull")) }))
	must.SliceEmpty(t, a.metrics.UnwatchedBounds())
	for range 3 {
		cluster.call(a, "letters", "")
	}
	lettersMetrics, archiveMetrics := cluster.metrics(a), cluster.metrics(b)
	counts := map[string]float64{
		"calls.received": 3, "calls.from_upstream": 3, "calls.local": 3, "calls.forwarded": 3, "calls.guarded": 3,
		"results.ok": 6, "calls.retried": 0,
	}
	for name, want := range counts {
		must.Eq(t, want, lettersMetrics[name]["count"], must.Sprint(name))
	}
	must.Eq(t, 3, archiveMetrics["calls.guarded"]["count"])
	must.Eq(t, 2, lettersMetrics["members.upstreams_live"]["value"])
	must.Eq(t, float64(a.node.Policy().NewestChange()), lettersMetrics["config.version"]["value"])
	must.Positive(t, lettersMetrics["admission.limit"]["value"])
	must.Positive(t, lettersMetrics["log.appends"]["count"])
	must.Positive(t, lettersMetrics["control.exchanges"]["count"]+archiveMetrics["control.exchanges"]["count"])
	cluster.waitFor("one node is the relay of the zone", func() bool {
		return cluster.metrics(a)["members.is_relay"]["value"]+cluster.metrics(b)["members.is_relay"]["value"] == 1
	})
	must.Positive(t, lettersMetrics["timeline.events.size"]["value"])
	must.Eq(t, 0, lettersMetrics["bodies.held_bytes.size"]["value"])
}

// Guards against a node that holds more calls than its limit while an upstream does not
// respond. Calls above the limit are refused at once as not run, and counted.
func TestCallsBeyondTheBoundAreRefusedAndCounted(t *testing.T) {
	hold := make(chan struct{})
	cluster, a, _ := startChain(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-hold }))
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release)
	a.proxy.SetLimits(callLimit(2))
	codes := make(chan string, 4)
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			_, h, _ := cluster.call(a, "archive", "")
			codes <- h.Get(result.HeaderResult)
		})
	}
	cluster.waitFor("two calls are refused", func() bool { return a.proxy.Usage().Rejected == 2 })
	release()
	wg.Wait()
	var got []string
	for range 4 {
		got = append(got, <-codes)
	}
	slices.Sort(got)
	must.Eq(t, []string{"1000", "1000", "2001", "2001"}, got)
	must.Eq(t, 2, cluster.metrics(a)["calls.in_flight.turned_away"]["count"])
}

// Guards against a loss of authority over keys that neither the timeline nor the metrics show.
func TestLapsedAuthorityIsOnTheTimeline(t *testing.T) {
	cluster, s, other := startPair(t)
	cluster.waitFor("ownership", func() bool { return s.OwnersSettled() && other.OwnersSettled() && s.ownership.state.OwnedSlots() > 0 })
	must.Positive(t, cluster.metrics(s)["lease.slots_owned"]["value"])
	must.Positive(t, cluster.metrics(s)["lease.takeovers"]["count"])
	has := func(k timeline.Kind) func() bool {
		return func() bool { return len(s.node.Ring().Events(timeline.Filter{Kinds: []timeline.Kind{k}})) > 0 }
	}
	s.ownership.checkAuthority(s.node.Now().Add(10 * lease.DefaultConfig().Validity))
	must.True(t, has(timeline.AuthorityLost)())
	cluster.waitFor("authority", has(timeline.AuthorityGained))
	must.Positive(t, cluster.metrics(s)["lease.authority_lapses"]["count"])
}

// Guards against a node at its call limit that refuses a re-attachment, that is, a request sent
// again for a call that already runs there. The refusal would say that the call did not run.
func TestFullNodeAcceptsReattachments(t *testing.T) {
	hold := make(chan struct{})
	cluster, _, b := startChain(t, http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
		<-hold
		_, _ = rw.Write([]byte("hull"))
	}))
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(release) // without it, a failed test never ends because its upstream does not respond
	b.proxy.SetLimits(callLimit(1))
	send := func(callID string, reattach bool) result.Code {
		_, _, addr, _ := b.Addresses()
		req, err := http.NewRequest(http.MethodPost, "http://"+addr+proxy.CallPath, nil)
		must.NoError(t, err)
		req.Header.Set("Galena-Inner-Method", http.MethodGet)
		req.Header.Set("Galena-Inner-Target", "/hull")
		req.Header.Set(inner.HeaderCall, inner.EncodeCall(&inner.CallHeader{
			CallId: callID, RequestId: callID, Workspace: "chikugo", Service: "archive", Idempotent: true, Reattach: reattach,
			RemainingUs: 10_000_000, TargetIncarnation: formatIncarnation(b.node.Incarnation()), FromNode: "letters-1",
		}))
		_, h, _ := cluster.do(req)
		header, err := inner.DecodeAnswer(h.Get(inner.HeaderAnswer))
		must.NoError(t, err)
		return result.Code(header.GetCode())
	}
	codes := make(chan result.Code, 2)
	go func() { codes <- send("c1", false) }()
	cluster.waitFor("the guard runs the call", func() bool { return b.node.Guard().Busy() == 1 })
	must.Eq(t, result.Shed, send("c2", false))
	go func() { codes <- send("c1", true) }()
	cluster.waitFor("the node holds the call and the re-attachment", func() bool { return b.proxy.Usage().Calls == 2 })
	release()
	must.Eq(t, result.OK, <-codes)
	must.Eq(t, result.OK, <-codes)
}

// Guards against a template that allows larger bodies than the node has memory for. The limit
// of the node applies, and the request is refused as not run.
func TestBodyBeyondTheNodesBoundIsRefused(t *testing.T) {
	var ran atomic.Int32
	cluster, a, _ := startChain(t, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { ran.Add(1) }))
	small := cluster.start("saga-letters-1", func(c *settings.Node) { c.Limits.BodyBytes = 1024 })
	cluster.waitFor("the node has the newest configuration and a target", func() bool {
		return small.node.Policy().NewestChange() == a.node.Policy().NewestChange() && len(small.node.Table().Targets("archive")) > 0
	})
	post := func(s *Server, bytes int) string {
		callersAddr, _, _, _ := s.Addresses()
		req, err := http.NewRequest(http.MethodPost, "http://"+callersAddr+"/x", strings.NewReader(strings.Repeat("x", bytes)))
		must.NoError(t, err)
		req.Header.Set("Galena-Workspace", "chikugo")
		req.Header.Set("Galena-Service", "archive")
		req.Header.Set("Galena-Idempotent", "true")
		_, h, _ := cluster.do(req)
		return h.Get(result.HeaderResult)
	}
	must.Eq(t, "4004", post(small, 1025))
	must.Eq(t, 0, ran.Load())
	must.Eq(t, "1000", post(small, 1024))
	must.Eq(t, "1000", post(a, 1025))
	must.Eq(t, 2, ran.Load())
}
