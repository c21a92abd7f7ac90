// Package conns provides connection wrappers and dialer options that several packages share.
package conns

import (
	"errors"
	"net"
	"sync"
	"syscall"
)

// OnClose returns a connection that wraps c. Its first Close calls onClose before it closes c.
// Close is safe for concurrent use and may be called more than once.
func OnClose(c net.Conn, onClose func()) net.Conn {
	return &closeHookConn{Conn: c, onClose: sync.OnceFunc(onClose)}
}

// closeHookConn is a net.Conn that calls onClose when it is closed.
type closeHookConn struct {
	net.Conn
	onClose func()
}

// Close implements net.Conn.
func (c *closeHookConn) Close() error {
	c.onClose()
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn if the wrapped connection does; otherwise it returns
// errors.ErrUnsupported. Callers use it to inspect the socket, for example for a close by the peer.
func (c *closeHookConn) SyscallConn() (syscall.RawConn, error) { return rawConn(c.Conn) }

func rawConn(c net.Conn) (syscall.RawConn, error) {
	if sc, ok := c.(syscall.Conn); ok {
		return sc.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}
