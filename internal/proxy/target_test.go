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

// Guards against a malicious request target that makes the node send the request to another host.
func TestTargetCannotNameAnotherHost(t *testing.T) {
	var received atomic.Int32
	otherHost := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer otherHost.Close()
	c := newCluster(t)
	entry, guard := c.startNode(nil, nil), c.startNode(nil, nil)
	var ran runCounter
	c.startUpstream(guard, "letters", 2, ran.echo)
	c.configure(map[*testNode]string{guard: "letters"})
	host := otherHost.Listener.Addr().String()
	for _, target := range []string{"x:@" + host + "/", "x:" + host, "*", "x:.evil/", "http://" + host + "/a"} {
		for _, n := range []*testNode{entry, guard} {
			conn, err := net.Dial("tcp", n.callers.Listener.Addr().String())
			must.NoError(t, err)
			_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: n\r\n%s: %s\r\n%s: letters\r\nConnection: close\r\n\r\n",
				target, callctx.HeaderWorkspace, testWorkspace, callctx.HeaderService)
			must.NoError(t, err)
			resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
			must.NoError(t, err)
			if target != "http://"+host+"/a" { // the path is sent to the upstream, the host is ignored
				must.EqOp(t, http.StatusBadRequest, resp.StatusCode, must.Sprint(target))
			}
			_ = resp.Body.Close()
			_ = conn.Close()
		}
	}
	must.EqOp(t, 0, received.Load())
}
