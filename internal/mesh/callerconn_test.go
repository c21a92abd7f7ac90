package mesh

import (
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/conns"
)

type fixedTimeouts struct{ idle, header time.Duration }

func (b fixedTimeouts) idleTimeout() time.Duration   { return b.idle }
func (b fixedTimeouts) headerTimeout() time.Duration { return b.header }

// connPair returns the node's end and the caller's end of a connection.
func connPair(t *testing.T, timeouts callerTimeouts) (node *callerConn, caller net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	caller, err = net.Dial("tcp", l.Addr().String())
	must.NoError(t, err)
	accepted, err := l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close(); _ = accepted.Close() })
	return &callerConn{CallerConn: conns.NewDepartures(func() {}).Wrap(accepted), timeouts: timeouts}, caller
}

func sentinel(d time.Duration) time.Time { return time.Now().Add(d) }

// Guards against closing a connection that a caller opened in advance while its first request
// arrives. net/http starts the header timeout when the connection opens.
func TestConnectionOpenedInAdvanceIsKept(t *testing.T) {
	node, caller := connPair(t, fixedTimeouts{idle: 10 * time.Second, header: 50 * time.Millisecond})
	must.NoError(t, node.SetReadDeadline(sentinel(headerSentinel)))
	time.AfterFunc(150*time.Millisecond, func() { _, _ = caller.Write([]byte("GET")) })
	buf := make([]byte, 8)
	n, err := node.Read(buf)
	must.NoError(t, err)
	must.EqOp(t, "GET", string(buf[:n]))
	// The header timeout runs from the first byte.
	started := time.Now()
	_, err = node.Read(buf)
	must.True(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint(err))
	must.Less(t, 5*time.Second, time.Since(started))
}

// Guards against applying the header timeout to an idle connection, or the idle timeout to a
// header.
func TestDeadlinesOfAUsedConnection(t *testing.T) {
	const short, long = 50 * time.Millisecond, 20 * time.Second
	for _, x := range []struct {
		timeouts fixedTimeouts
		sentinel time.Duration
	}{
		{fixedTimeouts{idle: short, header: long}, idleSentinel},
		{fixedTimeouts{idle: long, header: short}, headerSentinel},
	} {
		node, caller := connPair(t, x.timeouts)
		must.NoError(t, node.SetReadDeadline(sentinel(headerSentinel)))
		_, err := caller.Write([]byte("x"))
		must.NoError(t, err)
		buf := make([]byte, 8)
		_, err = node.Read(buf)
		must.NoError(t, err)
		must.NoError(t, node.SetReadDeadline(sentinel(x.sentinel)))
		started := time.Now()
		_, err = node.Read(buf)
		must.True(t, errors.Is(err, os.ErrDeadlineExceeded), must.Sprint(err))
		must.Between(t, short*9/10, time.Since(started), long/2)
	}
}
