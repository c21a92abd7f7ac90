package bench

import (
	"context"
	"net"
	"sync"
)

// pauseGate emulates the pause of a VM: it blocks the traffic of a process while the
// process is paused. Nothing is lost; traffic proceeds on resume. Safe for concurrent
// use.
type pauseGate struct {
	mu      sync.Mutex
	resumed chan struct{}
}

func newPauseGate() *pauseGate {
	g := &pauseGate{resumed: make(chan struct{})}
	close(g.resumed)
	return g
}

func (g *pauseGate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.resumed = make(chan struct{})
}

func (g *pauseGate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.resumed:
	default:
		close(g.resumed)
	}
}

// running returns a channel that is closed while the process runs.
func (g *pauseGate) running() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.resumed
}

func (g *pauseGate) paused() bool {
	select {
	case <-g.running():
		return false
	default:
		return true
	}
}

// wait blocks until the process runs, or returns the error of ctx.
func (g *pauseGate) wait(ctx context.Context) error {
	select {
	case <-g.running():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// pausableDial wraps dial so that its connections block while either end is paused.
// own is the gate of the dialling process; nil if that is never paused.
func (w *World) pausableDial(dial dialFunc, own *pauseGate) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &pausableConn{Conn: conn, closed: make(chan struct{})}
		if own != nil {
			c.gates = append(c.gates, own)
		}
		if remote, ok := w.gatesByAddr.Load(addr); ok {
			c.gates = append(c.gates, remote.(*pauseGate))
		}
		return c, nil
	}
}

// pausableConn is a connection whose reads and writes block while one of its ends is
// paused.
type pausableConn struct {
	net.Conn
	gates     []*pauseGate // of both ends, where known
	closeOnce sync.Once
	closed    chan struct{}
}

// waitRunning blocks until both ends run. It returns false when the connection is
// closed before.
func (c *pausableConn) waitRunning() bool {
	for _, g := range c.gates {
		select {
		case <-g.running():
		case <-c.closed:
			return false
		}
	}
	return true
}

// Read implements net.Conn.
func (c *pausableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.waitRunning() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *pausableConn) Write(b []byte) (int, error) {
	if !c.waitRunning() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *pausableConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
