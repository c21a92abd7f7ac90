package proxy

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Guards against upstreams of the product's own interface whose rate limit or leave has no effect.
func TestUpstreamNoticeTakesEffect(t *testing.T) {
	for name, c := range map[string]struct {
		header, value string
		most          int64
	}{
		"rate limit": {callctx.HeaderRateLimit, "1", 3},
		"leaving":    {callctx.HeaderLeaving, "true", 1},
	} {
		t.Run(name, func(t *testing.T) {
			var runs atomic.Int64
			cl := newCluster(t)
			n := cl.startNode(nil, nil)
			cl.startUpstream(n, "archive", 8, func(w http.ResponseWriter, _ *http.Request) {
				runs.Add(1)
				w.Header().Set(c.header, c.value)
			})
			cl.configure(map[*testNode]string{n: "archive"})
			var last result.Code
			for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); {
				last = cl.do(context.Background(), request{to: n.callers.URL, method: "GET", service: "archive", timeout: 100 * time.Millisecond}).code
			}
			must.LessEq(t, c.most, runs.Load())
			must.NotEq(t, result.OK, last)
		})
	}
}
