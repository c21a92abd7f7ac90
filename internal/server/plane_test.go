package server_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
	"go.uber.org/goleak"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/server"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// gatedLog is the log as one node sees it. It can be made unavailable for that node alone.
type gatedLog struct {
	logstore.Log
	unavailable atomic.Bool
}

// Read implements logstore.Log.
func (g *gatedLog) Read(ctx context.Context, from int64, max int, hold time.Duration) (logstore.Page, error) {
	if g.unavailable.Load() {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	page, err := g.Log.Read(ctx, from, max, hold)
	if g.unavailable.Load() {
		return logstore.Page{}, logstore.ErrUnavailable
	}
	return page, err
}

// Append implements logstore.Log.
func (g *gatedLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	if g.unavailable.Load() {
		return 0, logstore.ErrUnavailable
	}
	return g.Log.Append(ctx, records)
}

// planeCluster is a set of nodes in several zones that use one log.
type planeCluster struct {
	t     *testing.T
	log   *logd.Server
	logs  []*gatedLog
	nodes []*server.Server
}

// newPlaneCluster starts one node for each entry of zones and waits until all are members.
func newPlaneCluster(t *testing.T, zones ...string) *planeCluster {
	p := &planeCluster{t: t, log: logd.New(logd.Options{})}
	p.publish("first")
	for _, zone := range zones {
		p.start(zone, p.log)
	}
	p.await("members", func(s *server.Server) bool { return len(s.LiveMembers()) == len(zones) })
	return p
}

func (p *planeCluster) start(zone string, log logstore.Log, seeds ...string) *server.Server {
	cfg := settings.Defaults()
	cfg.NodeID = fmt.Sprintf("n%d", len(p.nodes))
	cfg.Region, cfg.Zone, cfg.SeedPeers = "r", zone, seeds
	cfg.Callers.Address, cfg.Upstream.Address = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Inner.Address, cfg.Inner.Advertised = "127.0.0.1:0", "127.0.0.1:0"
	cfg.Admin.Address = "127.0.0.1:0"
	cfg.Timing.UpstreamSilence = settings.Duration(time.Hour)
	cfg.Timing.DrainNotice = settings.Duration(time.Millisecond)
	gated := &gatedLog{Log: log}
	s, err := server.Start(cfg, server.Options{Log: gated, Logger: zerolog.Nop()})
	must.NoError(p.t, err)
	p.t.Cleanup(s.Kill)
	p.logs, p.nodes = append(p.logs, gated), append(p.nodes, s)
	_, exitAddr, _, _ := s.Addresses()
	body := strings.NewReader(`{"service":"letters","address":"127.0.0.1:9","slots":4}`)
	req, err := http.NewRequest(http.MethodPut, "http://"+exitAddr+"/v1/upstream", body)
	must.NoError(p.t, err)
	resp, err := http.DefaultClient.Do(req)
	must.NoError(p.t, err)
	must.NoError(p.t, resp.Body.Close())
	must.Eq(p.t, http.StatusOK, resp.StatusCode)
	return s
}

// publish appends a template publication to the log and returns its version.
func (p *planeCluster) publish(id string) policy.Version {
	t := policy.Library()[0]
	t.Name = "t-" + id
	pub := policy.Publication{ID: id, Author: "op", Template: &t}
	rec, err := pub.Record(time.Now())
	must.NoError(p.t, err)
	at, err := p.log.Append(p.t.Context(), []logstore.Record{rec})
	must.NoError(p.t, err)
	return policy.Version(at + 1)
}

// await waits until the condition holds for all nodes. The timeout only ends a failed test.
func (p *planeCluster) await(what string, condition func(*server.Server) bool) {
	p.t.Helper()
	all := func() bool {
		for _, s := range p.nodes {
			if !condition(s) {
				return false
			}
		}
		return true
	}
	must.Wait(p.t, wait.InitialSuccess(wait.BoolFunc(all), wait.Timeout(time.Minute), wait.Gap(5*time.Millisecond)), must.Sprint(what))
}

// Guards against a zone that misses a change while none of its nodes can reach the log. The
// nodes must receive the change from peers of another zone.
func TestZoneWithoutLogReceivesChangesFromPeers(t *testing.T) {
	checkLeaks(t)
	p := newPlaneCluster(t, "a", "a", "b", "b")
	p.logs[2].unavailable.Store(true)
	p.logs[3].unavailable.Store(true)
	version := p.publish("second")
	p.await("configuration", func(s *server.Server) bool { return s.Node().Policy().Version() >= version })
}

// Guards against a replacement VM that cannot join its peers while the log is unavailable. Its node
// receives the members from a seed peer, and the peers must route calls to it before its join
// record is in the log.
func TestServerStartsFromSeedPeerDuringLogOutage(t *testing.T) {
	checkLeaks(t)
	p := newPlaneCluster(t, "a", "a", "b")
	p.log.Update(func(k *logd.Knobs) { k.Outage = true })
	before := p.log.Appends()
	_, _, seedAddr, _ := p.nodes[0].Addresses()
	replacement := p.start("b", p.log, seedAddr)
	p.await("all nodes list the member without a join record", func(s *server.Server) bool { return len(s.LiveMembers()) == 4 })
	p.await("all nodes route calls to the new member", func(s *server.Server) bool { return len(s.Node().Table().Targets("letters")) == 4 })
	must.Positive(t, replacement.Node().Policy().Version())
	must.Eq(t, before, p.log.Appends())
	p.log.Update(func(k *logd.Knobs) { k.Outage = false })
	must.Wait(t, wait.InitialSuccess(wait.BoolFunc(func() bool { return p.log.Appends() > before }), wait.Timeout(time.Minute)))
}

// Guards against calls routed to a stopping node during an outage of the log. The node cannot
// append a leave record, so its peers must receive the drain through the control exchange.
func TestDrainReachesPeersDuringLogOutage(t *testing.T) {
	checkLeaks(t)
	p := newPlaneCluster(t, "a", "a", "a")
	p.log.Update(func(k *logd.Knobs) { k.Outage = true })
	p.nodes[1].BeginDrain()
	p.await("drain", func(s *server.Server) bool { return len(s.LiveMembers()) == 2 })
	must.Zero(t, p.nodes[1].Shutdown(t.Context()))
}

// Guards against a crashed node that remains a member. It announces nothing; the other nodes
// detect the crash and remove its member record.
func TestKilledServerIsEvicted(t *testing.T) {
	checkLeaks(t)
	p := newPlaneCluster(t, "a", "a", "a", "b")
	p.nodes[2].Kill()
	p.nodes = append(p.nodes[:2], p.nodes[3])
	p.await("evicted", func(s *server.Server) bool { return len(s.LiveMembers()) == 3 })
}

// checkLeaks fails the test when goroutines are left after its nodes have stopped. Call it
// before the first node starts, because cleanups run in reverse order.
func checkLeaks(t *testing.T) {
	before := goleak.IgnoreCurrent()
	t.Cleanup(func() {
		http.DefaultClient.CloseIdleConnections()
		goleak.VerifyNone(t, before)
	})
}
