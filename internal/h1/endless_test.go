package h1

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/membudget"
)

// maxServerBytes is what a server can write before it learns of the close: the largest body that the test
// allows, and the buffers of the sockets.
const maxServerBytes = 32 << 20

// endlessServer sends start and then repeats more until its client closes the connection.
type endlessServer struct {
	start, more string
	written     atomic.Int64
	closed      chan struct{}
}

func (s *endlessServer) serve(c net.Conn, r *bufio.Reader) {
	defer close(s.closed)
	if _, err := http.ReadRequest(r); err != nil {
		return
	}
	_, _ = io.WriteString(c, s.start)
	block := []byte(strings.Repeat(s.more, 1+(16<<10)/len(s.more)))
	for {
		n, err := c.Write(block)
		if s.written.Add(int64(n)); err != nil {
			return
		}
	}
}

var endlessResponses = map[string]struct{ start, more string }{
	"status line":             {"", "x"},
	"header field":            {"HTTP/1.1 200 OK\r\nId: ", "a"},
	"header fields":           {"HTTP/1.1 200 OK\r\n", "Field: value\r\n"},
	"informational responses": {"", "HTTP/1.1 100 Continue\r\n\r\n"},
	"body to the end":         {"HTTP/1.1 200 OK\r\nId: a\r\nConnection: close\r\n\r\n", "x"},
	"announced body":          {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 7000000\r\n\r\n", "x"},
	"huge announced body":     {"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 999999999999\r\n\r\n", "x"},
	"chunks":                  {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nwiki\r\n"},
	"chunk size line":         {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
	"trailer":                 {"HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nwiki\r\n0\r\n", "Field: value\r\n"},
	"other responses":         {"", "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 1\r\n\r\nx"},
}

// Guards against bytes without end, in any part of a response, that fill the memory of a node or keep a
// call until its deadline.
func TestEndlessResponsesEnd(t *testing.T) {
	for name, x := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			server := &endlessServer{start: x.start, more: x.more, closed: make(chan struct{})}
			addr, _ := serve(t, server.serve)
			p := newTestPool(t, addr)
			p.cfg.Budget, p.cfg.MaxBody = membudget.New(8<<20, 0), 64<<20
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			_, err := p.Do(ctx, newRequest("a"))
			must.Error(t, err)
			must.NoError(t, ctx.Err())
			var exchangeErr *Error
			must.True(t, errors.As(err, &exchangeErr))
			must.True(t, exchangeErr.Stage >= StageHead)
			<-server.closed
			must.Less(t, maxServerBytes, server.written.Load())
			must.EqOp(t, 0, p.cfg.Budget.Used())
		})
	}
}

// Guards against complete responses that are cut, as if they had no end, for the size of their chunks.
func TestResponsesOfAnyChunkSizeAreWhole(t *testing.T) {
	const size = 4 << 20
	for _, chunk := range []int{1, 100, 64 << 10, size} {
		t.Run(strconv.Itoa(chunk), func(t *testing.T) {
			addr, _ := serve(t, func(c net.Conn, reader *bufio.Reader) {
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				out := bufio.NewWriter(c)
				_, _ = out.WriteString("HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n")
				for sent := 0; sent < size; sent += chunk {
					n := min(chunk, size-sent)
					_, _ = fmt.Fprintf(out, "%x\r\n%s\r\n", n, strings.Repeat("c", n))
				}
				_, _ = out.WriteString("0\r\n\r\n")
				_ = out.Flush()
			})
			p := newTestPool(t, addr)
			p.cfg.MaxBody = 64 << 20
			resp, err := p.Do(t.Context(), newRequest("a"))
			must.NoError(t, err)
			must.EqOp(t, size, len(resp.Body))
		})
	}
}

// Guards against good responses that fail while others without end are read.
func TestEndlessBodiesLeaveRoomForOthers(t *testing.T) {
	const endless, budget = 8, 4 << 20
	var mostUsed atomic.Int64
	addr, _ := serve(t, func(c net.Conn, reader *bufio.Reader) {
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			if id := req.Header.Get("Id"); strings.HasPrefix(id, "good") {
				body := strings.Repeat("g", 200<<10)
				if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
					return
				}
				continue
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: endless\r\n\r\n")
			for err == nil {
				_, err = c.Write(make([]byte, 4<<10))
				time.Sleep(time.Millisecond)
			}
			return
		}
	})
	p := newTestPool(t, addr)
	p.cfg.Budget, p.cfg.MaxBody = membudget.New(budget, 0), 64<<20
	var ended sync.WaitGroup
	for range endless {
		ended.Go(func() {
			_, err := p.Do(context.Background(), newRequest("endless"))
			must.Error(t, err)
		})
	}
	for i := range 40 {
		resp, err := p.Do(context.Background(), newRequest(fmt.Sprintf("good-%d", i)))
		must.NoError(t, err)
		must.EqOp(t, 200<<10, len(resp.Body))
		mostUsed.Store(max(mostUsed.Load(), p.cfg.Budget.Used()))
		time.Sleep(10 * time.Millisecond)
	}
	ended.Wait()
	must.LessEq(t, int64(budget), mostUsed.Load())
	for end := time.Now().Add(5 * time.Second); p.cfg.Budget.Used() > 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
		runtime.GC() // the bodies of the responses are garbage
	}
	must.EqOp(t, 0, p.cfg.Budget.Used())
}
