package conns

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against a connection that is subtracted twice from the number of open connections, so
// that a node exceeds its connection limit. A transport closes a broken connection twice.
func TestRepeatedCloseIsCountedOnce(t *testing.T) {
	conn, peer := net.Pipe()
	defer peer.Close()
	open := 1
	c := OnClose(conn, func() { open-- })
	must.NoError(t, c.Close())
	_ = c.Close()
	must.Eq(t, 0, open)
	_, err := conn.Write([]byte("x"))
	must.ErrorContains(t, err, "closed")
}
