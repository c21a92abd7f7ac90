package proxy

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Guards against a hostile request target that leads the node to another host.
func TestTargetCannotNameAnotherHost(t *testing.T) {
	var stolen atomic.Int32
	thief := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { stolen.Add(1) }))
	defer thief.Close()
	w := newWorld(t)
	entry, guard := w.start(nil, nil), w.start(nil, nil)
	var ran ledger
	w.serve(guard, "letters", 2, ran.echo)
	w.connect(map[*testNode]string{guard: "letters"})
	host := thief.Listener.Addr().String()
	for _, target := range []string{"x:@" + host + "/", "x:" + host, "*", "x:.evil/", "http://" + host + "/a"} {
		for _, n := range []*testNode{entry, guard} {
			conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
			must.NoError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: n\r\n%s: %s\r\n%s: letters\r\nConnection: close\r\n\r\n",
				target, callctx.HeaderWorkspace, workspace, callctx.HeaderService)
			must.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			if target != "http://"+host+"/a" { // its path goes to the upstream, its host nowhere
				must.EqOp(t, http.StatusBadRequest, resp.StatusCode, must.Sprint(target))
			}
			_ = resp.Body.Close()
			_ = conn.Close()
		}
	}
	must.EqOp(t, 0, stolen.Load())
}
