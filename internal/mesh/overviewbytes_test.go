package mesh

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// nodesOfLargestZone is the number of nodes in a zone of the largest deployment.
const nodesOfLargestZone = 412

// startCollector returns an exchange, and a collector to which its reports go. All nodes of the zone have
// reported, and 33 other zones.
func startCollector(t testing.TB) (x *overviewExchange, to fleet.Member, listener *countingListener) {
	cfg := &settings.Mesh{NodeID: "sidecar-yanagawa-412"}
	cfg.Store.Address = "10.200.100.100:18223"
	m := &Mesh{cfg: cfg, logger: zerolog.Nop(), rateLimited: zerolog.Nop()}
	m.tunable.Store(cfg)
	m.servers.control = proxy.NewPeers(nil).ControlTransport()
	t.Cleanup(m.servers.control.CloseIdleConnections)
	x = &overviewExchange{mesh: m, zone: "kyushu/yanagawa", collector: overview.NewCollector("kyushu/yanagawa")}
	for i := range nodesOfLargestZone {
		must.NoError(t, x.collector.Add(time.Now().Add(-4*time.Second), largeReport(i).WithIDs()))
	}
	for i := range 33 {
		z := &overview.Zone{Name: fmt.Sprintf("region-%d/zone-%d", i/3, i), Nodes: nodesOfLargestZone}
		if i < 3 {
			z.Services = []overview.Capacity{*largeReport(0).Upstream}
			z.Calls = largeReport(0).Calls
		}
		must.NoError(t, x.collector.AddZone(time.Now(), z))
	}
	srv := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		must.NoError(t, err)
		omitUnusedHeaders(w)
		x.answer(w, body)
	}))
	listener = &countingListener{Listener: srv.Listener}
	srv.Listener = listener
	srv.Start()
	t.Cleanup(srv.Close)
	return x, fleet.Member{Node: cfg.NodeID, Address: srv.Listener.Addr().String()}, listener
}

// largeReport is the report of a node for callers of as many workspaces as a report holds.
func largeReport(node int) *overview.Report {
	r := &overview.Report{
		Node: fmt.Sprintf("sidecar-yanagawa-%d", node), Zone: "kyushu/yanagawa", Incarnation: uint64(time.Now().UnixNano()), Sequence: 1,
		IntervalMillis: overview.ReportInterval(nodesOfLargestZone).Milliseconds(),
		Upstream:       &overview.Capacity{Service: "service-1", Upstreams: 1, Slots: 40, Busy: 20, PerSecond: 100},
	}
	for i := range overview.MaxWorkspaces {
		r.Workspaces = append(r.Workspaces, overview.WorkspaceDemand{Workspace: fmt.Sprintf("workspace-%d", i), PerSecond: 3})
	}
	for i := range 8 {
		r.Calls = append(r.Calls, overview.ServiceDemand{Service: fmt.Sprintf("service-%d", i), PerSecond: 50})
	}
	for i := range 4 {
		r.Upstream.Kinds = append(r.Upstream.Kinds, overview.KindTime{Kind: uint32(i), Seconds: 0.1, PerSecond: 20})
	}
	return r
}

// Guards against reports whose bytes exceed what a node may spend on control traffic.
func TestReportsFitTheByteBudget(t *testing.T) {
	const maxBytesPerSecond = 2000
	x, to, listener := startCollector(t)
	r := largeReport(7)
	r.Sequence = 2
	v, err := x.send(t.Context(), &to, r)
	must.NoError(t, err)
	must.Len(t, overview.MaxWorkspaces, v.Workspaces)
	must.Len(t, 34, v.Zones)
	first := listener.bytes.Load()
	must.LessEq(t, maxBytesPerSecond, float64(first)/overview.ReportInterval(nodesOfLargestZone).Seconds())
	r.Sequence = 3
	r.SetKnown(v)
	second, err := x.send(t.Context(), &to, r)
	must.NoError(t, err)
	must.Len(t, overview.MaxWorkspaces, second.Workspaces)
	for i := range v.Zones {
		must.Eq(t, v.Zones[i].Name, second.Zones[i].Name)
	}
	bytes := listener.bytes.Load() - first
	interval := overview.PacedInterval(1, x.lastBytes)
	t.Logf("first report and answer %d bytes, the next %d (%d worked out), %.0f bytes per second in a small zone, each %v", first, bytes, x.lastBytes, float64(bytes)/interval.Seconds(), interval)
	must.LessEq(t, maxBytesPerSecond, float64(bytes)/interval.Seconds())
	perSecond := float64(bytes) / overview.ReportInterval(nodesOfLargestZone).Seconds()
	t.Logf("%.0f bytes per second in a zone of %d nodes", perSecond, nodesOfLargestZone)
	must.LessEq(t, maxBytesPerSecond, perSecond)
	before := listener.bytes.Load()
	r.Sequence, r.Workspaces = 4, nil
	_, err = x.send(t.Context(), &to, r)
	must.NoError(t, err)
	t.Logf("without workspaces %d bytes", listener.bytes.Load()-before)
}

// Guards against a report of an earlier format that is added up as something else, or ignored uncounted.
func TestReportOfAnEarlierFormatIsRefused(t *testing.T) {
	x, to, _ := startCollector(t)
	message := largeReport(7).Encode()
	message[0]--
	_, err := x.post(t.Context(), &to, overviewPath, message)
	var status *statusError
	must.True(t, errors.As(err, &status))
	must.EqOp(t, http.StatusBadRequest, status.status)
	must.EqOp(t, int64(1), x.collector.Ignored())
}

// BenchmarkReportRoundTrip measures a report over a connection, both ends together.
func BenchmarkReportRoundTrip(b *testing.B) {
	x, to, _ := startCollector(b)
	r := largeReport(7)
	b.ReportAllocs()
	for b.Loop() {
		r.Sequence++
		_, err := x.send(b.Context(), &to, r)
		must.NoError(b, err)
	}
}
