// Package conns has what the listeners and dialers of the other packages share.
package conns

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// OnClose returns c so that its first Close calls done before c is closed.
// Close may be called from several goroutines, and more than once.
func OnClose(c net.Conn, done func()) net.Conn {
	return &closing{Conn: c, done: sync.OnceFunc(done)}
}

type closing struct {
	net.Conn
	done func()
}

// Close implements net.Conn.
func (c *closing) Close() error {
	c.done()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn where the wrapped connection does, so that
// a look at the socket still finds what its other end did.
func (c *closing) SyscallConn() (syscall.RawConn, error) {
	if sc, ok := c.Conn.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
