package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a slow upstream that looks fast because its calls are timed wrongly.
func TestLatencyOfATargetCoversTheCall(t *testing.T) {
	const takes = 60 * time.Millisecond
	w := newWorld(t)
	a, b := w.start(nil, nil), w.start(nil, nil)
	w.serve(b, "letters", 4, func(rw http.ResponseWriter, _ *http.Request) { time.Sleep(takes) })
	w.connect(map[*testNode]string{b: "letters"})
	got := w.do(t.Context(), request{to: a.callers.URL, method: http.MethodGet, service: "letters"})
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	target := a.node.Table().ByNode(b.name)
	must.GreaterEq(t, takes, target.Stats().Latency)
}
