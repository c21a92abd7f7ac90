package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// connFault describes the fault of the first connection to a node. Later connections work.
type connFault struct {
	loseWrites bool
	// releaseReads blocks reads until it is closed; nil does not block.
	releaseReads chan struct{}
	// releaseDials blocks further dials until it is closed; nil does not block.
	releaseDials chan struct{}
	dials        atomic.Int32
}

func (f *connFault) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	first := f.dials.Add(1) == 1
	if !first && f.releaseDials != nil {
		<-f.releaseDials
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil || !first {
		return conn, err
	}
	return &faultyConn{Conn: conn, fault: f, closed: make(chan struct{})}, nil
}

type faultyConn struct {
	net.Conn
	fault  *connFault
	once   sync.Once
	closed chan struct{}
}

func (c *faultyConn) Write(b []byte) (int, error) {
	if c.fault.loseWrites {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *faultyConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.fault.releaseReads != nil {
		select {
		case <-c.fault.releaseReads:
		case <-c.closed:
			return 0, net.ErrClosed
		}
	}
	return n, err
}

func (c *faultyConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// newFaultyCluster starts an entry node whose first connection to the guard is faulty. Its estimated
// response time is short, so that it re-attaches soon.
func newFaultyCluster(t *testing.T, f *connFault, wrap func(http.Handler) http.Handler) (c *cluster, entry, guard *testNode) {
	c = newCluster(t)
	entry = c.startNode(f.dial, nil)
	guard = c.startNode(nil, wrap)
	entry.peers.peer(guard.innerAddr()).responseTime.observe(time.Millisecond)
	return c, entry, guard
}

// Guards against a request that is lost on an unresponsive connection.
func TestReattachAfterLostRequest(t *testing.T) {
	c, entry, guard := newFaultyCluster(t, &connFault{loseWrites: true}, nil)
	var ran runCounter
	c.startUpstream(guard, "letters", 4, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	got := c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, result.OK, got.code)
	must.EqOp(t, 1, ran.count("a"))
}

// Guards against a response that is lost on an unresponsive connection. The re-attachment finds the
// finished call and returns its response.
func TestReattachAfterLostResponse(t *testing.T) {
	c, entry, guard := newFaultyCluster(t, &connFault{releaseReads: make(chan struct{})}, nil)
	var ran runCounter
	c.startUpstream(guard, "letters", 4, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	got := c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, 1, ran.count("a"))
}

// Guards against a late refusal that is reported as `ran: no` while the second transmission runs.
func TestLateRefusalOfRunningCall(t *testing.T) {
	f := &connFault{releaseReads: make(chan struct{}), releaseDials: make(chan struct{})}
	refused := make(chan struct{})
	var once sync.Once
	c, entry, guard := newFaultyCluster(t, f, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(rw, r)
			once.Do(func() { close(refused) })
		})
	})
	c.configure(map[*testNode]string{guard: "letters"})
	replies := make(chan reply, 1)
	go func() {
		replies <- c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	}()
	<-refused
	started, finish := make(chan struct{}), make(chan struct{})
	c.startUpstream(guard, "letters", 4, func(rw http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(rw, "signed")
	})
	close(f.releaseDials)
	<-started
	close(f.releaseReads)
	// The upstream finishes only after the entry node has processed the late refusal. A refusal that is
	// wrongly given to the caller arrives before that.
	var got reply
	select {
	case got = <-replies:
		close(finish)
	case <-time.After(100 * time.Millisecond):
		close(finish)
		got = <-replies
	}
	must.EqOp(t, "signed", got.body)
	must.EqOp(t, result.OK, got.code)
}

// Guards against a call that runs twice, because its call ID arrives over two connections at the same
// time, as after a re-attachment. It runs once, and both transmissions get its response.
func TestDuplicateCallIDs(t *testing.T) {
	c := newCluster(t)
	entry, guard := c.startNode(nil, nil), c.startNode(nil, nil)
	var ran runCounter
	release := make(chan struct{})
	c.startUpstream(guard, "letters", 4, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		ran.echo(rw, r)
	})
	c.configure(map[*testNode]string{guard: "letters"})
	call := &node.Call{Method: "POST", Target: "/path", Body: []byte("a")}
	call.Ctx.CallID, call.Ctx.RequestID = "same", "root"
	call.Ctx.Workspace, call.Ctx.Service = testWorkspace, "letters"
	call.Ctx.Deadline = time.Now().Add(testTimeout)
	target := entry.node.Table().Targets("letters")[0].Endpoint()
	responses := make(chan *node.Response, 2)
	for range 2 {
		go func() { responses <- entry.peers.Send(context.Background(), target, call) }()
	}
	eventually(t, func() bool { return guard.node.Guard().Busy() == 1 })
	close(release)
	for range 2 {
		resp := <-responses
		must.True(t, resp.Complete())
		must.Eq(t, "re:a", string(resp.Body))
	}
	must.EqOp(t, 1, ran.count("a"))
}

// Guards against a re-attachment after a guard reported a failed connection to its upstream. The
// connection to the guard works, and a re-attachment would get the same response.
func TestResponseOfGuardIsNoConnectionFailure(t *testing.T) {
	lost := node.Refused("c", result.Refuse(result.LostAnswer, "broke"))
	must.True(t, connectionFailed(lost))
	lost.Upstream = "guard"
	must.False(t, connectionFailed(lost))
}

// Guards against a call that runs twice, because its sender re-attaches after the guard forgot the
// call, while the response waits unread in the first connection.
func TestReattachAfterTheGuardForgotTheCall(t *testing.T) {
	f := &connFault{releaseReads: make(chan struct{})}
	c, entry, guard := newFaultyCluster(t, f, nil)
	entry.peers.peer(guard.innerAddr()).responseTime = responseTimeEstimator{} // waits for the maximum
	var ran runCounter
	c.startUpstream(guard, "letters", 4, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	replies := make(chan reply, 1)
	go func() {
		replies <- c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	}()
	eventually(t, func() bool { return ran.count("a") == 1 && guard.node.Guard().Busy() == 0 })
	guard.node.Guard().Tick(time.Now().Add(time.Hour))
	eventually(t, func() bool { return f.dials.Load() == 2 })
	close(f.releaseReads)
	got := <-replies
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, 1, ran.count("a"))
}

// jumpingClock is the real clock, moved by jump.
type jumpingClock struct{ jump atomic.Int64 }

func (c *jumpingClock) Now() time.Time { return time.Now().Add(time.Duration(c.jump.Load())) }

// Guards against re-attachments of all calls under way, and new connections for them, when a process
// continues after a pause.
func TestOverdueTimerDoesNotReattach(t *testing.T) {
	clock := &jumpingClock{}
	n := node.New(node.Config{Identity: node.Identity{Node: "n", Incarnation: 1}, Clock: clock})
	peers := NewPeers(nil)
	peers.Bind(n)
	c := &peerCall{peers: peers, peer: peers.peer("127.0.0.1:1"), call: &node.Call{}}
	c.ctx.Start(context.Background(), time.Time{})
	defer c.ctx.Cancel()
	c.scheduleReattach()
	clock.jump.Store(int64(4 * time.Second))
	c.onReattachTimer()
	c.mu.Lock()
	defer c.mu.Unlock()
	must.Nil(t, c.reattachResp)
	must.True(t, c.reattachAt.After(clock.Now()))
	must.True(t, c.reattachTimer.Stop())
}

// Guards against numbers of calls that are lost between nodes, and against headers of other senders
// that are taken for one.
func TestOriginOfACall(t *testing.T) {
	origin := dedup.Origin{Sender: dedup.Sender{Node: "n", Incarnation: 1 << 60}, Number: 77}
	must.Eq(t, origin, decodeOrigin("n", encodeOrigin(origin)))
	for _, text := range []string{"", "x 1", "1", "1 0", "1 -2", "1 2 3"} {
		must.Eq(t, dedup.Origin{Sender: dedup.Sender{Node: "n"}}, decodeOrigin("n", text))
	}
}
