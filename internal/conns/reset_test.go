package conns

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// dialed returns both ends of a connection: of a dial function that reports resets, and of the listener.
func dialed(t *testing.T) (c, peer net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	defer l.Close()
	c, err = ReportResets((&net.Dialer{}).DialContext)(t.Context(), "tcp", l.Addr().String())
	must.NoError(t, err)
	peer, err = l.Accept()
	must.NoError(t, err)
	t.Cleanup(func() { _, _ = c.Close(), peer.Close() })
	return c, peer
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// writeUntilError writes to a connection until that fails.
func writeUntilError(c net.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against data that a reset cut and that looks complete, since a write took the error. Its writer may close
// the connection then.
func TestResetIsReportedToTheReaderToo(t *testing.T) {
	for _, closes := range []bool{false, true} {
		for range 1000 {
			c, peer := dialed(t)
			written := make(chan error)
			go func() {
				err := writeUntilError(c)
				if closes {
					_ = c.Close()
				}
				written <- err
			}()
			_, err := io.WriteString(peer, "part")
			must.NoError(t, err)
			reset(peer)
			_, err = io.ReadAll(c)
			must.Error(t, err)
			must.Error(t, <-written)
			_ = c.Close()
		}
	}
}

// Guards against complete data that counts as cut, since a later write failed.
func TestEndOfDataBeforeAResetIsNoFailure(t *testing.T) {
	for range 50 {
		c, peer := dialed(t)
		_, err := io.WriteString(peer, "whole")
		must.NoError(t, err)
		must.NoError(t, peer.(*net.TCPConn).CloseWrite())
		time.Sleep(time.Millisecond)
		reset(peer)
		must.Error(t, writeUntilError(c))
		data, err := io.ReadAll(c)
		must.NoError(t, err)
		must.EqOp(t, "whole", string(data))
	}
}

// Guards against complete data that is held back while its peer does not read.
func TestEndOfDataDoesNotWaitForAWrite(t *testing.T) {
	c, peer := dialed(t)
	written := make(chan error)
	go func() { written <- writeUntilError(c) }()
	_, err := io.WriteString(peer, "whole")
	must.NoError(t, err)
	must.NoError(t, peer.(*net.TCPConn).CloseWrite())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	defer context.AfterFunc(ctx, func() { _ = c.Close() })()
	data, err := io.ReadAll(c)
	must.NoError(t, err)
	must.EqOp(t, "whole", string(data))
	must.NoError(t, ctx.Err())
	_ = c.Close()
	must.Error(t, <-written)
}
