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

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// fault is what is wrong with the first connection to a node; later ones work.
type fault struct {
	loseWrites bool
	// holdReads holds what arrives until it is closed; nil lets it through.
	holdReads chan struct{}
	// holdDials holds further connections until it is closed; may be nil.
	holdDials chan struct{}
	dials     atomic.Int32
}

func (f *fault) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	first := f.dials.Add(1) == 1
	if !first && f.holdDials != nil {
		<-f.holdDials
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil || !first {
		return conn, err
	}
	return &faultyConn{Conn: conn, fault: f, closed: make(chan struct{})}, nil
}

type faultyConn struct {
	net.Conn
	fault  *fault
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
	if c.fault.holdReads != nil {
		select {
		case <-c.fault.holdReads:
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

// faultyPair makes an entry whose first connection to the guard is faulty, and
// that is used to quick answers, so that it tries a second one soon.
func faultyPair(t *testing.T, f *fault, wrap func(http.Handler) http.Handler) (w *world, entry, guard *testNode) {
	w = newWorld(t)
	entry = w.start(f.dial, nil)
	guard = w.start(nil, wrap)
	entry.peers.peer(guard.innerAddr()).wait.observe(time.Millisecond)
	return w, entry, guard
}

// Guards against a request lost for good on a silent connection.
func TestSilentConnectionLosesTheRequest(t *testing.T) {
	w, entry, guard := faultyPair(t, &fault{loseWrites: true}, nil)
	var ran ledger
	w.serve(guard, "letters", 4, ran.echo)
	w.connect(map[*testNode]string{guard: "letters"})
	got := w.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, result.OK, got.code)
	must.EqOp(t, 1, ran.count("a"))
}

// The letter is sent, and its answer lies in a connection that went silent.
// The re-attachment finds the finished call and takes its answer.
func TestSilentConnectionLosesTheAnswer(t *testing.T) {
	w, entry, guard := faultyPair(t, &fault{holdReads: make(chan struct{})}, nil)
	var ran ledger
	w.serve(guard, "letters", 4, ran.echo)
	w.connect(map[*testNode]string{guard: "letters"})
	got := w.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, 1, ran.count("a"))
}

// Guards against a late refusal reported as `ran: no` while the second sending runs.
func TestLateRefusalOfACallThatRuns(t *testing.T) {
	f := &fault{holdReads: make(chan struct{}), holdDials: make(chan struct{})}
	refused := make(chan struct{})
	var once sync.Once
	w, entry, guard := faultyPair(t, f, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			h.ServeHTTP(rw, r)
			once.Do(func() { close(refused) })
		})
	})
	w.connect(map[*testNode]string{guard: "letters"})
	answered := make(chan reply, 1)
	go func() {
		answered <- w.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
	}()
	<-refused
	started, finish := make(chan struct{}), make(chan struct{})
	w.serve(guard, "letters", 4, func(rw http.ResponseWriter, _ *http.Request) {
		close(started)
		<-finish
		_, _ = io.WriteString(rw, "signed")
	})
	close(f.holdDials)
	<-started
	close(f.holdReads)
	// The upstream goes on until the entry has taken the late refusal in; a
	// refusal given to the caller shows before that.
	var got reply
	select {
	case got = <-answered:
		close(finish)
	case <-time.After(100 * time.Millisecond):
		close(finish)
		got = <-answered
	}
	must.EqOp(t, "signed", got.body)
	must.EqOp(t, result.OK, got.code)
}

// A call ID comes twice over two connections at the same time, as after a
// silent one. It runs once and both get its answer.
func TestDuplicateCallIDs(t *testing.T) {
	w := newWorld(t)
	entry, guard := w.start(nil, nil), w.start(nil, nil)
	var ran ledger
	release := make(chan struct{})
	w.serve(guard, "letters", 4, func(rw http.ResponseWriter, r *http.Request) {
		<-release
		ran.echo(rw, r)
	})
	w.connect(map[*testNode]string{guard: "letters"})
	call := &node.Call{Method: "POST", Target: "/path", Body: []byte("a")}
	call.Ctx.CallID, call.Ctx.RequestID = "same", "root"
	call.Ctx.Workspace, call.Ctx.Service = workspace, "letters"
	call.Ctx.Deadline = time.Now().Add(giveUp)
	target := entry.node.Table().Targets("letters")[0].Endpoint()
	answers := make(chan *node.Response, 2)
	for range 2 {
		go func() { answers <- entry.peers.Send(context.Background(), target, call) }()
	}
	eventually(t, func() bool { return guard.node.Guard().Busy() == 1 })
	close(release)
	for range 2 {
		a := <-answers
		must.True(t, a.Whole())
		must.Eq(t, "re:a", string(a.Body))
	}
	must.EqOp(t, 1, ran.count("a"))
}

// A guard answers that its upstream's connection broke. The answer came over a
// sound connection; asking again over another one would bring the same.
func TestAnswerOfTheGuardIsNoBrokenConnection(t *testing.T) {
	lost := node.Refused("c", result.Refuse(result.LostAnswer, "broke"))
	must.True(t, broken(lost))
	lost.Upstream = "guard"
	must.False(t, broken(lost))
}
