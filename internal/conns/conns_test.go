package conns

import (
	"net"
	"testing"

	"github.com/shoenig/test/must"
)

// A transport closes a broken connection twice. Were both counted, a node would
// take fewer connections for open than there are, and go beyond its bound.
func TestCloseIsCountedOnce(t *testing.T) {
	near, far := net.Pipe()
	defer far.Close()
	open := 1
	c := OnClose(near, func() { open-- })
	must.NoError(t, c.Close())
	_ = c.Close()
	must.Eq(t, 0, open)
	_, err := near.Write([]byte("x"))
	must.ErrorContains(t, err, "closed")
}
