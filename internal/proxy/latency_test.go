package proxy

import (
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a slow upstream that appears fast, because the end time of a call is read before the
// call is sent.
func TestLatencyOfATargetCoversTheCall(t *testing.T) {
	const serviceTime = 60 * time.Millisecond
	c := newCluster(t)
	a, b := c.startNode(nil, nil), c.startNode(nil, nil)
	c.startUpstream(b, "letters", 4, func(rw http.ResponseWriter, _ *http.Request) { time.Sleep(serviceTime) })
	c.configure(map[*testNode]string{b: "letters"})
	got := c.do(t.Context(), request{to: a.callers.URL, method: http.MethodGet, service: "letters"})
	must.EqOp(t, http.StatusOK, got.status, must.Sprint(got.body))
	target := a.node.Table().ByNode(b.name)
	must.GreaterEq(t, serviceTime, target.Stats().Latency)
}
