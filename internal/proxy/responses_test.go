package proxy

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/result"
)

// throughPeer makes an entry node and a guard whose inner answers are spoilt,
// and returns what a caller of the entry gets.
func throughPeer(t *testing.T, spoil func(http.ResponseWriter, *http.Request)) reply {
	w := newWorld(t)
	entry := w.start(nil, nil)
	guard := w.start(nil, func(http.Handler) http.Handler { return http.HandlerFunc(spoil) })
	w.connect(map[*testNode]string{guard: "letters"})
	return w.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: "a"})
}

func callID(t *testing.T, r *http.Request) string {
	h, err := inner.DecodeCall(r.Header.Get(inner.HeaderCall))
	must.NoError(t, err)
	return h.GetCallId()
}

func answerHeader(callID string) string {
	return inner.EncodeAnswer(&innerpb.AnswerHeader{CallId: callID, Code: uint32(result.OK), Whole: true})
}

// cut announces more bytes than it sends and breaks the connection.
func cut(rw http.ResponseWriter) {
	rw.Header().Set("Content-Length", "100")
	_, _ = io.WriteString(rw, "half of it")
	_ = http.NewResponseController(rw).Flush()
	panic(http.ErrAbortHandler)
}

// The guard's VM dies while it sends an answer. The caller must get an error,
// not the half that arrived.
func TestAnswerCutBetweenNodes(t *testing.T) {
	got := throughPeer(t, func(rw http.ResponseWriter, r *http.Request) {
		rw.Header().Set(inner.HeaderAnswer, answerHeader(callID(t, r)))
		cut(rw)
	})
	must.EqOp(t, result.AnswerCut, got.code)
	must.EqOp(t, http.StatusBadGateway, got.status)
}

// A guard mixes up two connections and sends the answer to another call. The
// caller must not read somebody else's letter.
func TestAnswerOfAnotherCallBetweenNodes(t *testing.T) {
	got := throughPeer(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(inner.HeaderAnswer, answerHeader("another"))
		_, _ = io.WriteString(rw, "secret")
	})
	must.EqOp(t, result.AnswerMismatch, got.code)
	must.StrNotContains(t, got.body, "secret")
}

// Something between the nodes answers in place of the guard, with a good
// status and no header of the inner protocol.
func TestAnswerWithoutHeaderBetweenNodes(t *testing.T) {
	for _, header := range []string{"", "not base64 \x01", "AAAA"} {
		got := throughPeer(t, func(rw http.ResponseWriter, _ *http.Request) {
			rw.Header()[inner.HeaderAnswer] = []string{header}
			_, _ = io.WriteString(rw, "welcome")
		})
		must.EqOp(t, result.RanUnknown, got.code.Ran())
		must.StrNotContains(t, got.body, "welcome")
	}
}

// throughUpstream returns what a caller gets of an upstream behind its own node.
func throughUpstream(t *testing.T, handler http.HandlerFunc) reply {
	w := newWorld(t)
	n := w.start(nil, nil)
	w.serve(n, "letters", 4, handler)
	w.connect(map[*testNode]string{n: "letters"})
	return w.do(context.Background(), request{to: n.callers.URL, method: "POST", service: "letters", body: "a"})
}

// The upstream's process breaks off in the middle of its answer.
func TestAnswerCutByTheUpstream(t *testing.T) {
	got := throughUpstream(t, func(rw http.ResponseWriter, _ *http.Request) { cut(rw) })
	must.EqOp(t, result.AnswerCut, got.code)
}

// The upstream answers late, on a connection that by then carries another call,
// and closes it before it answers that one.
func TestAnswerOfAnotherCallByTheUpstream(t *testing.T) {
	got := throughUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Connection", "close")
		rw.Header().Set(callctx.HeaderContext, "another")
		_, _ = io.WriteString(rw, "secret")
	})
	must.EqOp(t, result.AnswerMismatch, got.code)
	must.StrNotContains(t, got.body, "secret")
}

// An upstream sheds, with and without the promise that nothing ran. Only with
// it may the caller be told so.
func TestShedByTheUpstream(t *testing.T) {
	got := throughUpstream(t, func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set(headerRan, "no")
		rw.WriteHeader(http.StatusServiceUnavailable)
	})
	must.EqOp(t, result.RanNo, got.code.Ran())
	got = throughUpstream(t, func(rw http.ResponseWriter, _ *http.Request) { rw.WriteHeader(http.StatusServiceUnavailable) })
	must.EqOp(t, result.UpstreamFailed, got.code)
}

// Ten calls are in flight and their answers come in the reverse order. Each
// caller must get its own.
func TestAnswersOutOfOrder(t *testing.T) {
	const calls = 10
	w := newWorld(t)
	entry, guard := w.start(nil, nil), w.start(nil, nil)
	turns := make([]chan struct{}, calls+1)
	for i := range turns {
		turns[i] = make(chan struct{})
	}
	w.serve(guard, "letters", calls, func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		i := int(body[0] - '0')
		<-turns[i+1]
		_, _ = rw.Write(body)
		close(turns[i])
	})
	w.connect(map[*testNode]string{guard: "letters"})
	got := make(chan [2]string, calls)
	for i := range calls {
		go func() {
			sent := string(rune('0' + i))
			r := w.do(context.Background(), request{to: entry.callers.URL, method: "POST", service: "letters", body: sent})
			got <- [2]string{sent, r.body}
		}()
	}
	eventually(t, func() bool { return guard.node.Guard().Busy() == calls })
	close(turns[calls])
	for range calls {
		pair := <-got
		must.EqOp(t, pair[0], pair[1])
	}
}
