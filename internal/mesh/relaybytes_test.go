package mesh

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// countingListener counts the bytes of all its connections in both directions.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countingConn{conn, l}, err
}

type countingConn struct {
	net.Conn
	listener *countingListener
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.listener.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.listener.bytes.Add(int64(len(p))) // before the receiver can have read them
	return c.Conn.Write(p)
}

// watchedNode returns an idle node that others read through. Names and offsets are as long as in
// a large deployment.
func watchedNode(t *testing.T) (m *Mesh, source fleet.Member, listener *countingListener) {
	cfg := &settings.Mesh{NodeID: "sidecar-yanagawa-412"}
	cfg.Store.Address = "10.200.100.100:18223"
	m = &Mesh{cfg: cfg, logger: zerolog.Nop()}
	m.tunable.Store(cfg)
	m.membersFollower = records.NewFollower(emptyTopic("members"), func([]records.Item) {}, nil, zerolog.Nop())
	m.routes = &routeKeeper{follower: records.NewFollower(emptyTopic("routes"), func([]records.Item) {}, nil, zerolog.Nop())}
	for _, f := range []*records.Follower{m.membersFollower, m.routes.follower} {
		go f.Run(t.Context())
		<-f.FirstReadDone()
	}
	m.servers.control = proxy.NewPeers(nil).ControlTransport()
	t.Cleanup(m.servers.control.CloseIdleConnections)
	srv := httptest.NewUnstartedServer(http.HandlerFunc(m.serveWatch))
	listener = &countingListener{Listener: srv.Listener}
	srv.Listener = listener
	srv.Start()
	t.Cleanup(srv.Close)
	return m, fleet.Member{Node: cfg.NodeID, Address: srv.Listener.Addr().String()}, listener
}

// Guards against child nodes in the zone whose watch requests exceed the bytes that a node may
// spend on control traffic.
func TestWatchRequestsOfAllChildrenFitTheByteBudget(t *testing.T) {
	const maxBytesPerSecond = 2000
	m, source, listener := watchedNode(t)
	bytesOf := func(topic string) float64 {
		before := listener.bytes.Load()
		_, err := m.watch(t.Context(), &source, records.WatchRequest{Topic: topic, From: idleOffset, Wait: time.Millisecond})
		must.NoError(t, err)
		return float64(listener.bytes.Load() - before)
	}
	bytesPerChild := bytesOf("routes")/records.RoutesWatchWait.Seconds() + bytesOf("members")/records.MembersWatchWait.Seconds()
	t.Logf("%.0f bytes per second per child", bytesPerChild)
	must.LessEq(t, maxBytesPerSecond, bytesPerChild*(fleet.RelayFanOut+1), must.Sprint("a node also sends one watch request per topic itself"))
}

// idleOffset is as long as an offset in a large deployment.
const idleOffset = 12_345_678

// emptyTopic has no records, and no changes until the node stops.
type emptyTopic string

// Name implements Topic.
func (q emptyTopic) Name() string { return string(q) }

// Put implements Topic.
func (emptyTopic) Put(context.Context, ...records.Item) error { return nil }

// NewestPage implements Topic.
func (emptyTopic) NewestPage(context.Context, string) (records.Page, error) {
	return records.Page{Next: idleOffset}, nil
}

// Read implements Topic.
func (emptyTopic) Read(ctx context.Context, _ int64, _ time.Duration) ([]records.Item, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}
