package h1

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// connHandler serves one accepted connection.
type connHandler func(c net.Conn, r *bufio.Reader)

// serve accepts connections at addr and counts them. The n-th connection is served by the n-th
// handler, later ones by the last handler.
func serve(t *testing.T, handlers ...connHandler) (addr string, accepted *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	accepted = new(atomic.Int64)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			n := accepted.Add(1)
			handle := handlers[min(int(n), len(handlers))-1]
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String(), accepted
}

func newTestPool(t *testing.T, addr string) *Pool {
	p := NewPool(addr, Config{Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Idle: time.Minute, MaxIdleConns: 4, MaxBody: 1 << 20})
	t.Cleanup(p.Close)
	return p
}

func newRequest(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Classify: func(_ int, h http.Header, _ bool) Verdict {
			if h.Get("Id") == id {
				return Accept
			}
			return Skip
		},
	}
}

// Guards against connections that expire during low load and are all dialed again at the next peak.
// Without RoundRobin, requests at a low rate use the same connection, and all others expire.
func TestRoundRobinKeepsConnectionsInUse(t *testing.T) {
	for _, roundRobin := range []bool{true, false} {
		addr, _ := serve(t, echo)
		const maxConns, idle = 8, time.Second
		dialled := 0
		dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialled++
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		}
		p := NewPool(addr, Config{Dial: dial, Idle: idle, MaxIdleConns: maxConns, MaxBody: 1 << 20, RoundRobin: roundRobin})
		t.Cleanup(p.Close)
		useAllConns := func() {
			var conns []*conn
			for range maxConns {
				c, err := p.acquire(t.Context())
				must.NoError(t, err)
				conns = append(conns, c)
			}
			for _, c := range conns {
				p.release(c)
			}
		}
		useAllConns()
		for start := time.Now(); time.Since(start) < 3*idle/2; time.Sleep(idle / (8 * maxConns)) {
			_, err := p.Do(t.Context(), newRequest("a"))
			must.NoError(t, err)
		}
		useAllConns()
		must.EqOp(t, roundRobin, dialled == maxConns, must.Sprintf("%d dialled", dialled))
	}
}

// readRequestID reads one request and returns its Id header; empty at the end of the connection.
func readRequestID(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

func writeResponse(c net.Conn, id, body, extraHeader string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+extraHeader+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func echo(c net.Conn, r *bufio.Reader) {
	for id := readRequestID(r); id != ""; id = readRequestID(r) {
		writeResponse(c, id, "of "+id, "")
	}
}

// Guards against a new connection for every request.
func TestConnectionIsReused(t *testing.T) {
	addr, accepted := serve(t, echo)
	p := newTestPool(t, addr)
	for _, id := range []string{"a", "b", "c"} {
		got, err := p.Do(context.Background(), newRequest(id))
		must.NoError(t, err)
		must.EqOp(t, "of "+id, string(got.Body))
	}
	must.EqOp(t, 1, accepted.Load())
}

// Guards against a lowered MaxIdleConns that does not apply to existing idle connections. Excess
// ones are closed when the next connection is released; the most recently used one stays.
func TestLowerMaxIdleConnsClosesConnections(t *testing.T) {
	addr, accepted := serve(t, echo)
	p := newTestPool(t, addr)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = p.Do(context.Background(), newRequest(strconv.Itoa(i)))
		}()
	}
	wg.Wait()
	p.SetMaxIdleConns(1)
	for range 3 {
		_, err := p.Do(context.Background(), newRequest("x"))
		must.NoError(t, err)
	}
	p.mu.Lock()
	idle := len(p.idle)
	p.mu.Unlock()
	must.EqOp(t, 1, idle)
	must.LessEq(t, 4, int(accepted.Load()))
}

// Guards against a caller that receives the response to another request. The server responds to the
// first request twice, and the duplicate arrives before the response to the second request.
func TestLateResponseToAnotherRequestIsSkipped(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		first := readRequestID(r)
		writeResponse(c, first, "of "+first, "")
		second := readRequestID(r)
		writeResponse(c, first, "of "+first, "")
		writeResponse(c, second, "of "+second, "")
		_ = readRequestID(r)
	})
	p := newTestPool(t, addr)
	_, err := p.Do(context.Background(), newRequest("a"))
	must.NoError(t, err)
	got, err := p.Do(context.Background(), newRequest("b"))
	must.NoError(t, err)
	must.EqOp(t, "of b", string(got.Body))
}

// Guards against the response to another request being returned as this one's. The server sends
// only that response and closes the connection.
func TestResponseToAnotherRequestIsRejected(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = readRequestID(r)
		writeResponse(c, "z", "of z", "")
	})
	_, err := newTestPool(t, addr).Do(context.Background(), newRequest("a"))
	requireStage(t, StageMismatch, err)
}

// Guards against the reuse of a connection with extra bytes after a complete response. The response
// is valid; the extra bytes belong to no request.
func TestConnectionWithExtraBytesIsNotReused(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		writeResponse(c, id, "of "+id, "")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nfoo")
		_ = readRequestID(r)
	}, echo)
	p := newTestPool(t, addr)
	for _, id := range []string{"a", "b"} {
		got, err := p.Do(context.Background(), newRequest(id))
		must.NoError(t, err)
		must.EqOp(t, "of "+id, string(got.Body))
		time.Sleep(20 * time.Millisecond) // the extra bytes are in the socket now
	}
	must.EqOp(t, 2, accepted.Load())
}

// Guards against a request on an idle connection that the upstream has closed. A request that may
// run only once would be lost there.
func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		id := readRequestID(r)
		writeResponse(c, id, "of "+id, "")
	}, echo)
	p := newTestPool(t, addr)
	_, err := p.Do(context.Background(), newRequest("a"))
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // the close has arrived
	_, err = p.Do(context.Background(), newRequest("b"))
	must.NoError(t, err)
	must.EqOp(t, 2, accepted.Load())
}

// Guards against a truncated response that is returned as complete. A response without
// Content-Length ends with its connection; after a reset of the connection it is incomplete.
func TestResponseWithoutContentLength(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = readRequestID(r)
		_, _ = io.WriteString(c, head+"whole")
	}, func(c net.Conn, r *bufio.Reader) {
		_ = readRequestID(r)
		_, _ = io.WriteString(c, head+"cut")
		time.Sleep(20 * time.Millisecond) // the bytes are read before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p := newTestPool(t, addr)
	got, err := p.Do(context.Background(), newRequest("a"))
	must.NoError(t, err)
	must.EqOp(t, "whole", string(got.Body))
	_, err = p.Do(context.Background(), newRequest("a"))
	requireStage(t, StageBody, err)
}

// Guards against a truncated response that is returned as complete. The server closes the connection
// before the end of the body.
func TestResponseShorterThanContentLength(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = readRequestID(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc")
	})
	_, err := newTestPool(t, addr).Do(context.Background(), newRequest("a"))
	requireStage(t, StageBody, err)
}

// Guards against a server that reads a request as the rest of an earlier body. The server responds
// before it has read the body, and the connection is then reused.
func TestEarlyResponseToLongRequestBody(t *testing.T) {
	var secondRequestRead atomic.Bool
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		writeResponse(c, req.Header.Get("Id"), "early", "")
		time.Sleep(4 * bodyGrace)
		_, _ = io.Copy(io.Discard, req.Body)
		secondRequestRead.Store(readRequestID(r) != "")
	}, echo)
	p := newTestPool(t, addr)
	r := newRequest("a")
	r.Method = http.MethodPost
	r.Body = []byte(strings.Repeat("x", 16<<20))
	got, err := p.Do(context.Background(), r)
	must.NoError(t, err)
	must.EqOp(t, "early", string(got.Body))
	_, err = p.Do(context.Background(), newRequest("b"))
	must.NoError(t, err)
	must.EqOp(t, 2, accepted.Load())
	must.False(t, secondRequestRead.Load())
}

// Guards against an upstream that continues to work for a caller that left. Closing the connection
// at once notifies the upstream.
func TestCanceledContextClosesConnection(t *testing.T) {
	closed := make(chan struct{})
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = readRequestID(r)
		_ = readRequestID(r)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newTestPool(t, addr).Do(ctx, newRequest("a"))
	requireStage(t, StageHead, err)
	<-closed
}

// Guards against a request that is sent for a caller that has left.
func TestNothingIsSentForACanceledContext(t *testing.T) {
	var requests atomic.Int64
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			requests.Add(1)
			writeResponse(c, id, "of "+id, "")
		}
	})
	p := newTestPool(t, addr)
	_, err := p.Do(context.Background(), newRequest("a")) // its connection is idle from now on
	must.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for range 50 {
		_, err = p.Do(ctx, newRequest("b"))
		requireStage(t, StageConnect, err)
	}
	_, err = p.Do(context.Background(), newRequest("c"))
	must.NoError(t, err)
	must.EqOp(t, 2, requests.Load())
}

// Guards against a request that is reported as sent although no connection was established.
func TestRefusedConnectionFailsAtConnect(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().String()
	must.NoError(t, l.Close())
	_, err = newTestPool(t, addr).Do(context.Background(), newRequest("a"))
	requireStage(t, StageConnect, err)
}

// Guards against the reuse of a connection while the server closes it. The server states an idle
// timeout of 0 in Keep-Alive.
func TestKeepAliveTimeoutOfServerIsUsed(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := readRequestID(r); id != ""; id = readRequestID(r) {
			writeResponse(c, id, "of "+id, "Keep-Alive: max=5, timeout=0\r\n")
		}
	})
	p := newTestPool(t, addr)
	for _, id := range []string{"a", "b"} {
		_, err := p.Do(context.Background(), newRequest(id))
		must.NoError(t, err)
	}
	must.EqOp(t, 2, accepted.Load())
}

// Guards against waiting for the body of a response to HEAD. Such a response states a Content-Length
// but has no body.
func TestHeadResponseHasNoBody(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		for readRequestID(r) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n")
		}
	})
	r := newRequest("a")
	r.Method = http.MethodHead
	got, err := newTestPool(t, addr).Do(context.Background(), r)
	must.NoError(t, err)
	must.SliceEmpty(t, got.Body)
}

func requireStage(t *testing.T, want Stage, err error) {
	t.Helper()
	var exchangeErr *Error
	must.True(t, errors.As(err, &exchangeErr), must.Sprintf("got %v", err))
	must.EqOp(t, want, exchangeErr.Stage)
}
