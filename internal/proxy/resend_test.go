package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// startBreakingUpstream starts an upstream that responds to the first request on a connection and
// closes the connection after it has read the second one. The upstream continues to accept
// connections, so that a client could send the request again. It returns the address and the number of
// requests read.
func startBreakingUpstream(t *testing.T) (addr string, read *atomic.Int32) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	read = &atomic.Int32{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serveTwoRequests(conn, read)
		}
	}()
	return l.Addr().String(), read
}

func serveTwoRequests(conn net.Conn, read *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for range 2 {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		read.Add(1)
		if read.Load() == 2 {
			return
		}
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// Guards against an HTTP client that sends a keyed request again after its connection failed.
func TestKeyedRequestIsNotResentToUpstream(t *testing.T) {
	for _, body := range []string{"", "a"} {
		c := newCluster(t)
		n := c.startNode(nil, nil)
		addr, read := startBreakingUpstream(t)
		n.upstream.SetAddr(addr)
		n.node.UpstreamAnnounced(time.Now(), node.Announcement{Service: "letters", Slots: 4})
		c.configure(map[*testNode]string{n: "letters"})
		first := c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k1", body: body})
		must.EqOp(t, result.OK, first.code)
		second := c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k2", body: body})
		must.EqOp(t, result.LostAnswer, second.code)
		must.EqOp(t, 2, read.Load())
	}
}

// blockingUpstream is an upstream whose runs block until release is closed. It records canceled runs.
type blockingUpstream struct {
	runCounter
	release, cancelled chan struct{}
}

func newBlockingUpstream() *blockingUpstream {
	return &blockingUpstream{release: make(chan struct{}), cancelled: make(chan struct{}, 8)}
}

func (b *blockingUpstream) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.add(string(body))
	select {
	case <-b.release:
		_, _ = rw.Write(append([]byte("re:"), body...))
	case <-r.Context().Done():
		b.cancelled <- struct{}{}
	}
}

// Guards against upstreams that continue to work after their caller canceled. The call runs 2 services
// deep; both runs have to be canceled, and their slots released.
func TestCancelPropagatesThroughIdempotentChain(t *testing.T) {
	c := newCluster(t)
	entry, middle, leaf := c.startNode(nil, nil), c.startNode(nil, nil), c.startNode(nil, nil)
	leafUpstream := newBlockingUpstream()
	c.startUpstream(leaf, "tracker", 1, leafUpstream.serve)
	c.startUpstream(middle, "archive", 1, func(_ http.ResponseWriter, r *http.Request) {
		// The connection of the child stays open: only the end of the parent cancels it.
		c.do(context.Background(), request{to: middle.exit.URL, method: "GET", service: "tracker", parent: r.Header.Get(callctx.HeaderContext)})
	})
	c.configure(map[*testNode]string{middle: "archive", leaf: "tracker"})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() {
		done <- c.do(ctx, request{to: entry.callers.URL, method: "GET", service: "archive", timeout: 3 * testTimeout})
	}()
	eventually(t, func() bool { return leafUpstream.count("") == 1 })
	leave()
	must.Error(t, (<-done).err)
	eventually(t, func() bool { return len(leafUpstream.cancelled) == 1 })
	eventually(t, func() bool { return middle.node.Guard().Busy()+leaf.node.Guard().Busy() == 0 })
}

// Guards against a keyed call that runs twice or gets no response after its caller canceled and sent it
// again. The first run continues, and the second request receives its response.
func TestCancelDoesNotStopKeyedCall(t *testing.T) {
	c := newCluster(t)
	entry, guard := c.startNode(nil, nil), c.startNode(nil, nil)
	letters := newBlockingUpstream()
	c.startUpstream(guard, "letters", 2, letters.serve)
	c.configure(map[*testNode]string{guard: "letters"})
	r := request{to: entry.callers.URL, method: "POST", service: "letters", key: "k", body: "a"}
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- c.do(ctx, r) }()
	eventually(t, func() bool { return letters.count("a") == 1 })
	leave()
	<-done
	go func() { done <- c.do(context.Background(), r) }()
	close(letters.release)
	got := <-done
	must.EqOp(t, result.Replayed, got.code)
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, 1, letters.count("a"))
	must.EqOp(t, 0, len(letters.cancelled))
}

// Guards against a keyed call that runs twice, because its caller sends it again to another node while
// the first one still runs. The second call joins the first one at the owner of the key.
func TestResendAtAnotherNodeJoins(t *testing.T) {
	c := newCluster(t)
	one, two, guard, other := c.startNode(nil, nil), c.startNode(nil, nil), c.startNode(nil, nil), c.startNode(nil, nil)
	letters, idle := newBlockingUpstream(), newBlockingUpstream()
	c.startUpstream(guard, "letters", 2, letters.serve)
	c.startUpstream(other, "letters", 2, idle.serve)
	c.owner.addr = guard.innerAddr()
	c.configure(map[*testNode]string{guard: "letters", other: "letters"})
	replies := make(chan reply, 2)
	for _, n := range []*testNode{one, two} {
		go func() {
			replies <- c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k", body: "a"})
		}()
	}
	eventually(t, func() bool { return letters.count("a") == 1 })
	close(letters.release)
	codes := map[result.Code]int{}
	for range 2 {
		got := <-replies
		must.EqOp(t, "re:a", got.body)
		codes[got.code]++
	}
	must.Eq(t, map[result.Code]int{result.OK: 1, result.Replayed: 1}, codes)
	must.EqOp(t, 1, letters.count("a"))
	must.EqOp(t, 0, idle.count("a"))
}

// Guards against a key that is reused with another body: the call has to be refused with 422.
func TestKeyReusedWithAnotherBody(t *testing.T) {
	c := newCluster(t)
	n := c.startNode(nil, nil)
	var ran runCounter
	c.startUpstream(n, "letters", 2, ran.echo)
	c.configure(map[*testNode]string{n: "letters"})
	r := request{to: n.callers.URL, method: "POST", service: "letters", key: "k", body: "a"}
	must.EqOp(t, result.OK, c.do(context.Background(), r).code)
	r.body = "b"
	got := c.do(context.Background(), r)
	must.EqOp(t, http.StatusUnprocessableEntity, got.status)
	must.EqOp(t, 0, ran.count("b"))
}

// Guards against a queued call that runs after its deadline or is not reported as not run.
func TestDeadlinePassesInQueue(t *testing.T) {
	c := newCluster(t)
	n := c.startNode(nil, nil)
	letters := newBlockingUpstream()
	c.startUpstream(n, "letters", 1, letters.serve)
	c.configure(map[*testNode]string{n: "letters"})
	done := make(chan reply, 1)
	go func() {
		done <- c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "a"})
	}()
	eventually(t, func() bool { return letters.count("a") == 1 })
	got := c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "b", timeout: 50 * time.Millisecond})
	must.EqOp(t, result.RanNo, got.code.Ran())
	must.EqOp(t, http.StatusGatewayTimeout, got.status)
	close(letters.release)
	must.EqOp(t, "re:a", (<-done).body)
	must.EqOp(t, 0, letters.count("b"))
}

// Guards against a body that exceeds the limit, with and without Content-Length.
func TestBodyTooLarge(t *testing.T) {
	c := newCluster(t)
	n := c.startNode(nil, nil)
	var ran runCounter
	c.startUpstream(n, "letters", 2, ran.echo)
	c.configure(map[*testNode]string{n: "letters"})
	call := &node.Call{}
	call.Ctx.Workspace, call.Ctx.Service = testWorkspace, "letters"
	large := strings.Repeat("x", int(n.node.MaxBody(call))+1)
	got := c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: large})
	must.EqOp(t, result.BodyTooLarge, got.code)
	req, err := http.NewRequest("POST", n.callers.URL, io.MultiReader(strings.NewReader(large)))
	must.NoError(t, err)
	req.Header.Set(callctx.HeaderWorkspace, testWorkspace)
	req.Header.Set(callctx.HeaderService, "letters")
	resp, err := c.client.Do(req)
	if err == nil {
		must.EqOp(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		_ = resp.Body.Close()
	}
	must.MapEmpty(t, ran.runs)
}
