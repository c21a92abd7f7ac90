package proxy

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/testraw"
)

// callThroughPeer sends a call from an entry node to a guard that responds with serveInner, and returns
// the reply to the caller.
func callThroughPeer(t *testing.T, serveInner func(http.ResponseWriter, *http.Request)) reply {
	c := newCluster(t)
	entry := c.startNode(nil, nil)
	guard := c.startNode(nil, func(http.Handler) http.Handler { return http.HandlerFunc(serveInner) })
	c.configure(map[*testNode]string{guard: "letters"})
	return c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
}

func callID(t *testing.T, r *http.Request) string {
	h, err := inner.DecodeCall(r.Header.Get(inner.HeaderCall))
	must.NoError(t, err)
	return h.GetCallId()
}

func answerHeader(callID string) string {
	return inner.EncodeAnswer(&innerpb.AnswerHeader{CallId: callID, Code: uint32(result.OK), Whole: true})
}

// truncateResponse sends fewer bytes than its Content-Length and closes the connection.
func truncateResponse(rw http.ResponseWriter) {
	rw.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(rw, "half of it")
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}

// Guards against a truncated response that is given to the caller. The guard's VM fails while it
// sends the response.
func TestTruncatedResponseBetweenNodes(t *testing.T) {
	got := callThroughPeer(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(inner.HeaderAnswer, answerHeader(callID(t, r)))
		truncateResponse(rw)
	})
	must.EqOp(t, result.AnswerCut, got.code)
	must.EqOp(t, http.StatusBadGateway, got.status)
}

// Guards against a caller that receives the response to another call, because a guard mixes up two
// connections.
func TestResponseToAnotherCallBetweenNodes(t *testing.T) {
	got := callThroughPeer(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(inner.HeaderAnswer, answerHeader("another"))
		_, _ = io.WriteString(rw, "secret")
	})
	must.EqOp(t, result.AnswerMismatch, got.code)
	must.StrNotContains(t, got.body, "secret")
}

// Guards against a response that does not come from the guard. A device between the nodes responds
// with a success status and without a valid header of the inner protocol.
func TestResponseWithoutInnerHeader(t *testing.T) {
	for _, header := range []string{"", "not base64 \x01", "AAAA"} {
		got := callThroughPeer(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header()[inner.HeaderAnswer] = []string{header}
			_, _ = io.WriteString(rw, "welcome")
		})
		must.EqOp(t, result.RanUnknown, got.code.Ran())
		must.StrNotContains(t, got.body, "welcome")
	}
}

// callUpstream sends a call to the upstream of the same node and returns the reply to the caller.
func callUpstream(t *testing.T, handler http.HandlerFunc) reply {
	c := newCluster(t)
	n := c.startNode(nil, nil)
	c.startUpstream(n, "letters", 4, handler)
	c.configure(map[*testNode]string{n: "letters"})
	return c.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "a"})
}

// Guards against a truncated response that is given to the caller. The upstream's process ends
// while it sends the response.
func TestTruncatedResponseOfUpstream(t *testing.T) {
	got := callUpstream(t, func(rw http.ResponseWriter, _ *http.Request) { truncateResponse(rw) })
	must.EqOp(t, result.AnswerCut, got.code)
}

// Guards against a caller that receives the response to another call. The upstream responds late, on a
// connection that carries another call by then, and closes it before it responds to that call.
func TestUpstreamResponseToAnotherCall(t *testing.T) {
	got := callUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Connection", "close")
		rw.Header().Set(callctx.HeaderContext, "another")
		_, _ = io.WriteString(rw, "secret")
	})
	must.EqOp(t, result.AnswerMismatch, got.code)
	must.StrNotContains(t, got.body, "secret")
}

// Guards against a failed call that is reported as not run. Only a response with the promise that the
// call did not run is a refusal.
func TestUpstreamSheds(t *testing.T) {
	got := callUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(headerRan, "no")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	must.EqOp(t, result.RanNo, got.code.Ran())
	got = callUpstream(t, func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
	must.EqOp(t, result.UpstreamFailed, got.code)
}

// Guards against responses that are mixed up between calls. 10 calls are in flight, and their
// responses arrive in reverse order.
func TestResponsesOutOfOrder(t *testing.T) {
	const calls = 10
	c := newCluster(t)
	entry, guard := c.startNode(nil, nil), c.startNode(nil, nil)
	released := make([]chan struct{}, calls+1)
	for i := range released {
		released[i] = make(chan struct{})
	}
	stop := make(chan struct{})
	c.startUpstream(guard, "letters", calls, func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		i := int(body[0] - '0')
		select {
		case <-released[i+1]:
		case <-stop:
			return
		}
		_, _ = rw.Write(body)
		close(released[i])
	})
	t.Cleanup(func() { close(stop) }) // before the upstream is closed, which waits for its requests
	c.configure(map[*testNode]string{guard: "letters"})
	got := make(chan [2]string, calls)
	for i := range calls {
		go func() {
			sent := string(rune('0' + i))
			r := c.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: sent})
			got <- [2]string{sent, r.body}
		}()
	}
	eventually(t, func() bool {
		if len(got) > 0 {
			t.Fatalf("a call ended before the upstream responded: %q", <-got)
		}
		return guard.node.Guard().Busy() == calls
	})
	close(released[calls])
	for range calls {
		pair := <-got
		must.EqOp(t, pair[0], pair[1])
	}
}

// Guards against a broken response of an upstream that reaches a caller, or counts as not run.
func TestBrokenResponseOfUpstream(t *testing.T) {
	for name := range testraw.BrokenResponses("", "") {
		got := callUpstream(t, func(rw http.ResponseWriter, r *http.Request) {
			fields := fmt.Sprintf("%s: %s\r\n%s: no\r\n", callctx.HeaderContext, r.Header.Get(callctx.HeaderContext), headerRan)
			writeRaw(t, rw, testraw.BrokenResponses(fields, "secret")[name])
		})
		must.EqOp(t, http.StatusBadGateway, got.status, must.Sprint(name))
		must.EqOp(t, result.LostAnswer, got.code, must.Sprint(name))
		must.StrNotContains(t, got.body, "secret", must.Sprint(name))
	}
}

// Guards against a broken response of another node that reaches a caller.
func TestBrokenResponseBetweenNodes(t *testing.T) {
	for name := range testraw.BrokenResponses("", "") {
		got := callThroughPeer(t, func(rw http.ResponseWriter, r *http.Request) {
			fields := inner.HeaderAnswer + ": " + answerHeader(callID(t, r)) + "\r\n"
			writeRaw(t, rw, testraw.BrokenResponses(fields, "secret")[name])
		})
		must.EqOp(t, http.StatusBadGateway, got.status, must.Sprint(name))
		must.EqOp(t, result.AnswerCut, got.code, must.Sprint(name))
		must.StrNotContains(t, got.body, "secret", must.Sprint(name))
	}
}

// writeRaw writes a response of a test's own on the connection of a request, and leaves it open.
func writeRaw(t *testing.T, rw http.ResponseWriter, response string) {
	conn, _, err := http.NewResponseController(rw).Hijack()
	must.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, _ = io.WriteString(conn, response)
}

// Guards against a broken response of another node to a control request that is believed.
func TestBrokenResponseToAControlRequest(t *testing.T) {
	for name, response := range testraw.BrokenResponses("", "secret") {
		addr, _ := testraw.Serve(t, func(*http.Request) string { return response })
		control := NewPeers(nil).ControlTransport()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+addr, nil)
		must.NoError(t, err)
		_, err = control.RoundTrip(req)
		must.Error(t, err, must.Sprint(name))
	}
}
