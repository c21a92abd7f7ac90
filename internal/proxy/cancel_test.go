package proxy

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// Guards against another attempt for a caller that canceled its request between two attempts, whether its
// call was refused or handed back.
func TestNoAttemptAfterCallerCancels(t *testing.T) {
	for _, first := range []result.Code{result.Shed, result.HandedBack} {
		t.Run(first.String(), func(t *testing.T) { testNoAttemptAfter(t, first) })
	}
}

func testNoAttemptAfter(t *testing.T, first result.Code) {
	ctx, cancel := context.WithCancel(context.Background())
	var attempts atomic.Int32
	c := newCluster(t)
	entry := c.startNode(nil, nil)
	services := map[*testNode]string{}
	for range 2 {
		guard := c.startNode(nil, func(http.Handler) http.Handler {
			return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				h := &innerpb.AnswerHeader{CallId: callID(t, r), Code: uint32(first), UnusedAllowance: 2}
				rw.Header().Set(inner.HeaderAnswer, inner.EncodeAnswer(h))
			})
		})
		services[guard] = "letters"
	}
	c.configure(services)
	call := newCall()
	dispatch := node.NewDispatch(entry.node, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(4))
	p := New(entry.node, entry.peers, entry.upstream)
	action := dispatch.Next(time.Now())
	dispatch.Observe(time.Now(), p.send(ctx, action))
	cancel()
	resp := p.runActions(ctx, call, dispatch)
	must.EqOp(t, result.Cancelled, resp.Code)
	must.EqOp(t, 1, attempts.Load())
}

// Guards against a run, which could not be ended, for a sender that left before the guard read its call.
func TestGuardRunsNothingForASenderThatLeftBefore(t *testing.T) {
	left, leave := context.WithCancel(context.Background())
	leave()
	c := newCluster(t)
	entry := c.startNode(nil, nil)
	guard := c.startNode(nil, func(h http.Handler) http.Handler {
		return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { h.ServeHTTP(rw, r.WithContext(left)) })
	})
	var ran runCounter
	c.startUpstream(guard, "letters", 4, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	got := c.do(context.Background(), request{to: entry.callers.URL, method: http.MethodPost, service: "letters", body: "a"})
	must.EqOp(t, result.Cancelled, got.code)
	time.Sleep(100 * time.Millisecond)
	must.EqOp(t, 0, ran.count("a"))
}

// Guards against a run, which could not be ended, for a caller that left before the guard had a connection to
// its upstream.
func TestCallIsNotSentAfterItsCallerLeft(t *testing.T) {
	c := newCluster(t)
	entry, guard := c.startNode(nil, nil), c.startNode(nil, nil)
	started, release := make(chan struct{}), make(chan struct{})
	guard.upstream.BeforeRun = func(context.Context) error { close(started); <-release; return nil }
	var ran runCounter
	c.startUpstream(guard, "letters", 4, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	ctx, leave := context.WithCancel(context.Background())
	go func() { <-started; leave() }()
	got := c.do(ctx, request{to: entry.callers.URL, method: http.MethodPost, service: "letters", body: "a"})
	must.ErrorIs(t, got.err, context.Canceled)
	time.Sleep(100 * time.Millisecond) // the departure reaches the guard
	close(release)
	time.Sleep(100 * time.Millisecond)
	must.EqOp(t, 0, ran.count("a"))
}

// Guards against a caller that leaves while its body waits for memory, and keeps its place among the others.
func TestCallerThatLeavesWhileItsBodyWaitsIsNoticed(t *testing.T) {
	const size = 100 << 10
	c := newCluster(t)
	n := c.startNode(nil, nil)
	c.configure(map[*testNode]string{n: "letters"})
	p := New(n.node, n.peers, n.upstream)
	p.SetBodyBudget(membudget.New(2*size, 2*size))
	must.True(t, p.bodies.TakeForRequest(context.Background(), 0, size, 0))
	ended := make(chan struct{})
	departures := conns.NewDepartures(func() {})
	srv := &http.Server{ConnContext: conns.ConnContext, Handler: departures.Handler(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		defer close(ended)
		p.CallerHandler().ServeHTTP(rw, r)
	}))}
	t.Cleanup(func() { _ = srv.Close() })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	go func() { _ = srv.Serve(departures.Listener(l)) }()
	caller, err := net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	_, err = fmt.Fprintf(caller, "POST /x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n%s: letters\r\n%s: 30000\r\nContent-Length: %d\r\n\r\nstart",
		callctx.HeaderWorkspace, testWorkspace, callctx.HeaderService, callctx.HeaderTimeout, size)
	must.NoError(t, err)
	select {
	case <-ended:
		t.Fatal("the body did not wait")
	case <-time.After(200 * time.Millisecond):
	}
	must.NoError(t, caller.Close())
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the body still waits")
	}
}

func newCall() *node.Call {
	call := &node.Call{Method: "POST", Target: "/path", Body: []byte("a")}
	call.Ctx.CallID, call.Ctx.RequestID = "letter", "letter"
	call.Ctx.Workspace, call.Ctx.Service = testWorkspace, "letters"
	call.Ctx.Deadline = time.Now().Add(testTimeout)
	return call
}
