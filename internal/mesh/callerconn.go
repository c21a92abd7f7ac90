package mesh

import (
	"net"
	"sync/atomic"
	"time"
)

const (
	// idleSentinel and headerSentinel are the timeouts that net/http is given;
	// callerConn replaces them by those of the routes in force, which may change
	// while the server runs.
	idleSentinel   = 1000 * time.Hour
	headerSentinel = 500 * time.Hour
	// defaultIdleTimeout holds where the routes set no idle timeout.
	defaultIdleTimeout = 60 * time.Second
)

type callerListener struct {
	net.Listener
	mesh *Mesh
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, timeouts: l.mesh}, nil
}

// callerTimeouts are the times that a caller may take, as they are in force.
type callerTimeouts interface {
	idleTimeout() time.Duration
	headerTimeout() time.Duration
}

type callerConn struct {
	net.Conn
	timeouts callerTimeouts
	// awaitingFirstByte is set while nothing has come on a new connection. net/http counts the
	// time of its first header from the start, and so would close connections that
	// callers open in advance.
	awaitingFirstByte atomic.Bool
	firstDeadlineSet  bool
}

// SetReadDeadline implements net.Conn. A deadline about as far away as a sentinel
// is net/http's wait for the next request or for a whole header.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	remaining := time.Until(t)
	switch {
	case remaining > (idleSentinel+headerSentinel)/2:
		t = time.Now().Add(c.timeouts.idleTimeout())
	case remaining > headerSentinel/2 && !c.firstDeadlineSet:
		c.firstDeadlineSet = true
		c.awaitingFirstByte.Store(true)
		t = time.Now().Add(c.timeouts.idleTimeout())
	case remaining > headerSentinel/2:
		t = time.Now().Add(c.timeouts.headerTimeout())
	}
	return c.Conn.SetReadDeadline(t)
}

// Read implements net.Conn.
func (c *callerConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.awaitingFirstByte.CompareAndSwap(true, false) {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeouts.headerTimeout())); err != nil {
			return n, err
		}
	}
	return n, err
}

func (m *Mesh) idleTimeout() time.Duration {
	if t := m.proxy.Routes(); t != nil && t.Config().Limits.IdleTimeout > 0 {
		return t.Config().Limits.IdleTimeout
	}
	return defaultIdleTimeout
}

func (m *Mesh) headerTimeout() time.Duration {
	if t := m.proxy.Routes(); t != nil && t.Config().Limits.HeaderTimeout > 0 {
		return t.Config().Limits.HeaderTimeout
	}
	return defaultHeaderTimeout
}
