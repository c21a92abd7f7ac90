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

// script serves each accepted connection by the function at its turn; the last
// one serves all later connections.
type script func(c net.Conn, r *bufio.Reader)

func serve(t *testing.T, scripts ...script) (addr string, accepted *atomic.Int64) {
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
			s := scripts[min(int(n), len(scripts))-1]
			go func() {
				defer c.Close()
				s(c, bufio.NewReader(c))
			}()
		}
	}()
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().String(), accepted
}

func pool(t *testing.T, addr string) *Pool {
	p := NewPool(addr, Config{Dial: (&net.Dialer{Timeout: time.Second}).DialContext, Idle: time.Minute, MaxIdleConns: 4, MaxBody: 1 << 20})
	t.Cleanup(p.Close)
	return p
}

func request(id string) *Request {
	return &Request{
		Method: http.MethodGet, Target: "/x", Host: "h", Header: http.Header{"Id": {id}},
		Matches: func(h http.Header) bool { return h.Get("Id") == id },
	}
}

// Guards against connections that expire in a low load and are all opened anew at the next rise.
func TestConnectionsRoundRobinOutlastALowLoad(t *testing.T) {
	for _, roundRobin := range []bool{true, false} {
		addr, _ := serve(t, echo)
		const most, idle = 8, time.Second
		dialled := 0
		dial := func(ctx context.Context, network, addr string) (net.Conn, error) {
			dialled++
			return (&net.Dialer{Timeout: time.Second}).DialContext(ctx, network, addr)
		}
		p := NewPool(addr, Config{Dial: dial, Idle: idle, MaxIdleConns: most, MaxBody: 1 << 20, RoundRobin: roundRobin})
		t.Cleanup(p.Close)
		peak := func() {
			var conns []*conn
			for range most {
				c, err := p.take(t.Context())
				must.NoError(t, err)
				conns = append(conns, c)
			}
			for _, c := range conns {
				p.put(c)
			}
		}
		peak()
		for begun := time.Now(); time.Since(begun) < 3*idle/2; time.Sleep(idle / (8 * most)) {
			_, err := p.Do(t.Context(), request("a"))
			must.NoError(t, err)
		}
		peak()
		must.EqOp(t, roundRobin, dialled == most, must.Sprintf("%d dialled", dialled))
	}
}

// take reads one request and returns its ID; empty at the end.
func take(r *bufio.Reader) string {
	req, err := http.ReadRequest(r)
	if err != nil {
		return ""
	}
	_, _ = io.Copy(io.Discard, req.Body)
	return req.Header.Get("Id")
}

func reply(c net.Conn, id, body, extra string) {
	_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: "+id+"\r\n"+extra+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
}

func echo(c net.Conn, r *bufio.Reader) {
	for id := take(r); id != ""; id = take(r) {
		reply(c, id, "of "+id, "")
	}
}

func TestConnectionIsKept(t *testing.T) {
	addr, accepted := serve(t, echo)
	p := pool(t, addr)
	for _, id := range []string{"a", "b", "c"} {
		got, err := p.Do(context.Background(), request(id))
		must.NoError(t, err)
		must.EqOp(t, "of "+id, string(got.Body))
	}
	must.EqOp(t, 1, accepted.Load())
}

// Another bound comes into force while connections are kept: those above it are
// closed with the next one that is kept, the one used last stays.
func TestFewerConnectionsAreKept(t *testing.T) {
	addr, accepted := serve(t, echo)
	p := pool(t, addr)
	var all sync.WaitGroup
	for i := range 4 {
		all.Add(1)
		go func() {
			defer all.Done()
			_, _ = p.Do(context.Background(), request(strconv.Itoa(i)))
		}()
	}
	all.Wait()
	p.SetMaxIdleConns(1)
	for range 3 {
		_, err := p.Do(context.Background(), request("x"))
		must.NoError(t, err)
	}
	p.mu.Lock()
	kept := len(p.idle)
	p.mu.Unlock()
	must.EqOp(t, 1, kept)
	must.LessEq(t, 4, int(accepted.Load()))
}

// Guards against a caller getting the repeated answer of another request.
func TestLateAnswerOfAnotherRequestIsSkipped(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		first := take(r)
		reply(c, first, "of "+first, "")
		second := take(r)
		reply(c, first, "of "+first, "")
		reply(c, second, "of "+second, "")
		_ = take(r)
	})
	p := pool(t, addr)
	_, err := p.Do(context.Background(), request("a"))
	must.NoError(t, err)
	got, err := p.Do(context.Background(), request("b"))
	must.NoError(t, err)
	must.EqOp(t, "of b", string(got.Body))
}

// Only the answer of another request comes, and then the connection ends. No
// answer may be made up from it.
func TestForeignAnswerAlone(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = take(r)
		reply(c, "z", "of z", "")
	})
	_, err := pool(t, addr).Do(context.Background(), request("a"))
	stage(t, StageMismatch, err)
}

// Bytes follow a whole answer at once. The answer is good, and the connection
// is not used again: the bytes belong to nobody.
func TestExtraBytesEndTheConnection(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		id := take(r)
		reply(c, id, "of "+id, "")
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nfoo")
		_ = take(r)
	}, echo)
	p := pool(t, addr)
	for _, id := range []string{"a", "b"} {
		got, err := p.Do(context.Background(), request(id))
		must.NoError(t, err)
		must.EqOp(t, "of "+id, string(got.Body))
		time.Sleep(20 * time.Millisecond) // the extra bytes are in the socket now
	}
	must.EqOp(t, 2, accepted.Load())
}

// An upstream closes a connection while it is idle. The next request must not go
// into it: one that may run once only would be lost there.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		id := take(r)
		reply(c, id, "of "+id, "")
	}, echo)
	p := pool(t, addr)
	_, err := p.Do(context.Background(), request("a"))
	must.NoError(t, err)
	time.Sleep(20 * time.Millisecond) // the close has arrived
	_, err = p.Do(context.Background(), request("b"))
	must.NoError(t, err)
	must.EqOp(t, 2, accepted.Load())
}

// An answer without a length ends with its connection. One whose connection is
// reset on the way is cut and must not pass for whole.
func TestUnframedAnswer(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nId: a\r\n\r\n"
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = take(r)
		_, _ = io.WriteString(c, head+"whole")
	}, func(c net.Conn, r *bufio.Reader) {
		_ = take(r)
		_, _ = io.WriteString(c, head+"cut")
		time.Sleep(20 * time.Millisecond) // the bytes are read before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	p := pool(t, addr)
	got, err := p.Do(context.Background(), request("a"))
	must.NoError(t, err)
	must.EqOp(t, "whole", string(got.Body))
	_, err = p.Do(context.Background(), request("a"))
	stage(t, StageBody, err)
}

func TestAnswerShorterThanAnnounced(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = take(r)
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\nabc")
	})
	_, err := pool(t, addr).Do(context.Background(), request("a"))
	stage(t, StageBody, err)
}

// Guards against a request whose bytes are taken for the rest of an earlier body.
func TestEarlyAnswerBeforeALongBody(t *testing.T) {
	var second atomic.Bool
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		reply(c, req.Header.Get("Id"), "early", "")
		time.Sleep(4 * bodyGrace)
		_, _ = io.Copy(io.Discard, req.Body)
		second.Store(take(r) != "")
	}, echo)
	p := pool(t, addr)
	r := request("a")
	r.Method = http.MethodPost
	r.Body = []byte(strings.Repeat("x", 16<<20))
	got, err := p.Do(context.Background(), r)
	must.NoError(t, err)
	must.EqOp(t, "early", string(got.Body))
	_, err = p.Do(context.Background(), request("b"))
	must.NoError(t, err)
	must.EqOp(t, 2, accepted.Load())
	must.False(t, second.Load())
}

// A caller leaves while its request runs. The connection is closed at once, by
// which the upstream learns that nobody waits.
func TestEndOfContextClosesTheConnection(t *testing.T) {
	closed := make(chan struct{})
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		_ = take(r)
		_ = take(r)
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := pool(t, addr).Do(ctx, request("a"))
	stage(t, StageHead, err)
	<-closed
}

func TestRefusedConnectionSentNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	addr := l.Addr().String()
	must.NoError(t, l.Close())
	_, err = pool(t, addr).Do(context.Background(), request("a"))
	stage(t, StageConnect, err)
}

// A server states that it keeps idle connections for no time at all; using one
// again would cross its close.
func TestStatedIdleTime(t *testing.T) {
	addr, accepted := serve(t, func(c net.Conn, r *bufio.Reader) {
		for id := take(r); id != ""; id = take(r) {
			reply(c, id, "of "+id, "Keep-Alive: max=5, timeout=0\r\n")
		}
	})
	p := pool(t, addr)
	for _, id := range []string{"a", "b"} {
		_, err := p.Do(context.Background(), request(id))
		must.NoError(t, err)
	}
	must.EqOp(t, 2, accepted.Load())
}

func TestHeadAnswerHasNoBody(t *testing.T) {
	addr, _ := serve(t, func(c net.Conn, r *bufio.Reader) {
		for take(r) != "" {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 10\r\n\r\n")
		}
	})
	r := request("a")
	r.Method = http.MethodHead
	got, err := pool(t, addr).Do(context.Background(), r)
	must.NoError(t, err)
	must.SliceEmpty(t, got.Body)
}

func stage(t *testing.T, want Stage, err error) {
	t.Helper()
	var failed *Error
	must.True(t, errors.As(err, &failed), must.Sprintf("got %v", err))
	must.EqOp(t, want, failed.Stage)
}
