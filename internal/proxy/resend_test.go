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

// dyingUpstream answers the first request on a connection and dies by the
// second, after it has read it: only the connection breaks, so that a client
// would find it listening. It returns its address and the requests it read.
func dyingUpstream(t *testing.T) (addr string, read *atomic.Int32) {
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
			go serveOnce(conn, read)
		}
	}()
	return l.Addr().String(), read
}

func serveOnce(conn net.Conn, read *atomic.Int32) {
	defer func() { _ = conn.Close() }()
	buffered := bufio.NewReader(conn)
	for range 2 {
		req, err := http.ReadRequest(buffered)
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

// Guards against the HTTP library sending a keyed request again on its own.
func TestNoReplayToTheUpstream(t *testing.T) {
	for _, body := range []string{"", "a"} {
		w := newWorld(t)
		n := w.start(nil, nil)
		addr, read := dyingUpstream(t)
		n.upstream.SetAddr(addr)
		n.node.UpstreamAnnounced(time.Now(), node.Announcement{Service: "letters", Slots: 4})
		w.connect(map[*testNode]string{n: "letters"})
		first := w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k1", body: body})
		must.EqOp(t, result.OK, first.code)
		second := w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k2", body: body})
		must.EqOp(t, result.LostAnswer, second.code)
		must.EqOp(t, 2, read.Load())
	}
}

// blocking is an upstream that holds its runs until released and notes which
// of them were cancelled.
type blocking struct {
	ledger
	release, cancelled chan struct{}
}

func newBlocking() *blocking {
	return &blocking{release: make(chan struct{}), cancelled: make(chan struct{}, 8)}
}

func (b *blocking) serve(rw http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	b.add(string(body))
	select {
	case <-b.release:
		_, _ = rw.Write(append([]byte("re:"), body...))
	case <-r.Context().Done():
		b.cancelled <- struct{}{}
	}
}

// A caller leaves while its call runs two services deep. Both upstreams must
// be told to stop, and their slots come back.
func TestCallerLeavesAnIdempotentChain(t *testing.T) {
	w := newWorld(t)
	entry, middle, deep := w.start(nil, nil), w.start(nil, nil), w.start(nil, nil)
	deepest := newBlocking()
	w.serve(deep, "tracker", 1, deepest.serve)
	w.serve(middle, "archive", 1, func(_ http.ResponseWriter, r *http.Request) {
		// The child's own connection stays: only the parent's end stops it.
		w.do(context.Background(), request{to: middle.exit.URL, method: "GET", service: "tracker", parent: r.Header.Get(callctx.HeaderContext)})
	})
	w.connect(map[*testNode]string{middle: "archive", deep: "tracker"})
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() {
		done <- w.do(ctx, request{to: entry.callers.URL, method: "GET", service: "archive", timeout: 3 * giveUp})
	}()
	eventually(t, func() bool { return deepest.count("") == 1 })
	leave()
	must.Error(t, (<-done).err)
	eventually(t, func() bool { return len(deepest.cancelled) == 1 })
	eventually(t, func() bool { return middle.node.Guard().Busy()+deep.node.Guard().Busy() == 0 })
}

// The caller of a letter leaves and sends it again. The first sending goes on,
// and the second gets its answer.
func TestCallerLeavesAKeyedCall(t *testing.T) {
	w := newWorld(t)
	entry, guard := w.start(nil, nil), w.start(nil, nil)
	letters := newBlocking()
	w.serve(guard, "letters", 2, letters.serve)
	w.connect(map[*testNode]string{guard: "letters"})
	r := request{to: entry.callers.URL, method: "POST", service: "letters", key: "k", body: "a"}
	ctx, leave := context.WithCancel(context.Background())
	done := make(chan reply, 1)
	go func() { done <- w.do(ctx, r) }()
	eventually(t, func() bool { return letters.count("a") == 1 })
	leave()
	<-done
	go func() { done <- w.do(context.Background(), r) }()
	close(letters.release)
	got := <-done
	must.EqOp(t, result.Replayed, got.code)
	must.EqOp(t, "re:a", got.body)
	must.EqOp(t, 1, letters.count("a"))
	must.EqOp(t, 0, len(letters.cancelled))
}

// The answer to a letter is slow and its caller sends it again through another
// node. The second sending joins the first at the owner of the key.
func TestResendAtAnotherNodeJoins(t *testing.T) {
	w := newWorld(t)
	one, two, guard, other := w.start(nil, nil), w.start(nil, nil), w.start(nil, nil), w.start(nil, nil)
	letters, idle := newBlocking(), newBlocking()
	w.serve(guard, "letters", 2, letters.serve)
	w.serve(other, "letters", 2, idle.serve)
	w.owner.addr = guard.innerAddr()
	w.connect(map[*testNode]string{guard: "letters", other: "letters"})
	answers := make(chan reply, 2)
	for _, n := range []*testNode{one, two} {
		go func() {
			answers <- w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", key: "k", body: "a"})
		}()
	}
	eventually(t, func() bool { return letters.count("a") == 1 })
	close(letters.release)
	codes := map[result.Code]int{}
	for range 2 {
		got := <-answers
		must.EqOp(t, "re:a", got.body)
		codes[got.code]++
	}
	must.Eq(t, map[result.Code]int{result.OK: 1, result.Replayed: 1}, codes)
	must.EqOp(t, 1, letters.count("a"))
	must.EqOp(t, 0, idle.count("a"))
}

// A caller uses a key again for another letter: refused with 422.
func TestKeyWithAnotherBody(t *testing.T) {
	w := newWorld(t)
	n := w.start(nil, nil)
	var ran ledger
	w.serve(n, "letters", 2, ran.echo)
	w.connect(map[*testNode]string{n: "letters"})
	r := request{to: n.callers.URL, method: "POST", service: "letters", key: "k", body: "a"}
	must.EqOp(t, result.OK, w.do(context.Background(), r).code)
	r.body = "b"
	got := w.do(context.Background(), r)
	must.EqOp(t, http.StatusUnprocessableEntity, got.status)
	must.EqOp(t, 0, ran.count("b"))
}

// A call waits behind another until its deadline. It never ran, and its caller
// must hear so.
func TestDeadlinePassesInTheQueue(t *testing.T) {
	w := newWorld(t)
	n := w.start(nil, nil)
	letters := newBlocking()
	w.serve(n, "letters", 1, letters.serve)
	w.connect(map[*testNode]string{n: "letters"})
	done := make(chan reply, 1)
	go func() {
		done <- w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "a"})
	}()
	eventually(t, func() bool { return letters.count("a") == 1 })
	got := w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "b", timeout: 50 * time.Millisecond})
	must.EqOp(t, result.RanNo, got.code.Ran())
	must.EqOp(t, http.StatusGatewayTimeout, got.status)
	close(letters.release)
	must.EqOp(t, "re:a", (<-done).body)
	must.EqOp(t, 0, letters.count("b"))
}

// A body exceeds what is held for a call, with and without an announced length.
func TestBodyTooLarge(t *testing.T) {
	w := newWorld(t)
	n := w.start(nil, nil)
	var ran ledger
	w.serve(n, "letters", 2, ran.echo)
	w.connect(map[*testNode]string{n: "letters"})
	call := &node.Call{}
	call.Ctx.Workspace, call.Ctx.Service = workspace, "letters"
	large := strings.Repeat("x", int(n.node.MaxBody(call))+1)
	got := w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: large})
	must.EqOp(t, result.BodyTooLarge, got.code)
	req, err := http.NewRequest("POST", n.callers.URL, io.MultiReader(strings.NewReader(large)))
	must.NoError(t, err)
	req.Header.Set(callctx.HeaderWorkspace, workspace)
	req.Header.Set(callctx.HeaderService, "letters")
	resp, err := w.client.Do(req)
	if err == nil {
		must.EqOp(t, http.StatusRequestEntityTooLarge, resp.StatusCode)
		_ = resp.Body.Close()
	}
	must.MapEmpty(t, ran.runs)
}
