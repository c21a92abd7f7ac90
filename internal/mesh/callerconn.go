package mesh

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/metrics"
)

const (
	// idleSentinel and headerSentinel are placeholder timeouts that net/http is configured with.
	// callerConn recognises them by their length and replaces them by the timeouts of the routes in
	// force, which may change while the server runs.
	idleSentinel   = 1000 * time.Hour
	headerSentinel = 500 * time.Hour
	// defaultIdleTimeout applies where the routes set no idle timeout.
	defaultIdleTimeout = 60 * time.Second
)

// callerListener accepts the connections of callers.
type callerListener struct {
	net.Listener
	mesh       *Mesh
	departures *conns.Departures
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{CallerConn: l.departures.Wrap(c), timeouts: l.mesh}, nil
}

// callerTimeouts provides the timeouts for caller connections that are currently in force.
type callerTimeouts interface {
	idleTimeout() time.Duration
	headerTimeout() time.Duration
}

// callerConn applies the timeouts in force to the connection of a caller.
type callerConn struct {
	*conns.CallerConn
	timeouts callerTimeouts
	// awaitingFirstByte is set on a new connection until its first byte arrives. net/http starts
	// the header timeout of the first request when the connection opens, and so would close
	// connections that callers open in advance.
	awaitingFirstByte atomic.Bool
	firstDeadlineSet  bool
}

// SetReadDeadline implements net.Conn. A deadline about as far away as a sentinel is the one
// that net/http sets for the next request (idle timeout) or for a complete header (header
// timeout).
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
	n, err := c.CallerConn.Read(b)
	if n > 0 && c.awaitingFirstByte.CompareAndSwap(true, false) {
		if err := c.Conn.SetReadDeadline(time.Now().Add(c.timeouts.headerTimeout())); err != nil {
			return n, err
		}
	}
	return n, err
}

func (m *Mesh) countPipelined() { m.metrics.Inc(metrics.CallersPipelined, 1) }

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
