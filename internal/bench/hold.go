package bench

import (
	"context"
	"net"
	"sync"
)

// gate holds what passes through a process while it is paused. Nothing is
// lost: it goes on where it was, as after a pause of a VM.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	close(g.open)
	return g
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case <-g.open:
	default:
		close(g.open)
	}
}

// passing is closed while the process runs.
func (g *gate) passing() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open
}

func (g *gate) paused() bool {
	select {
	case <-g.passing():
		return false
	default:
		return true
	}
}

// wait returns once the process runs, or with the error of ctx.
func (g *gate) wait(ctx context.Context) error {
	select {
	case <-g.passing():
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

type dialFunc = func(ctx context.Context, network, addr string) (net.Conn, error)

// holding makes connections that stand still while either end is paused; own
// is nil for a process that never is.
func (w *World) holding(dial dialFunc, own *gate) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &heldConn{Conn: raw, closed: make(chan struct{})}
		if own != nil {
			c.ends = append(c.ends, own)
		}
		if far, ok := w.gates.Load(addr); ok {
			c.ends = append(c.ends, far.(*gate))
		}
		return c, nil
	}
}

type heldConn struct {
	net.Conn
	ends   []*gate
	once   sync.Once
	closed chan struct{}
}

// hold reports false when the connection was closed meanwhile.
func (c *heldConn) hold() bool {
	for _, g := range c.ends {
		select {
		case <-g.passing():
		case <-c.closed:
			return false
		}
	}
	return true
}

// Read implements net.Conn.
func (c *heldConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.hold() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements net.Conn.
func (c *heldConn) Write(b []byte) (int, error) {
	if !c.hold() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *heldConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}
