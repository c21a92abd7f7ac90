// Package link stands in for the network between VMs: delay, partitions and
// connections that go silent, injected where a process dials.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrCut is what dialling over a partition ends with, after a time-out as a
// real one would take.
var ErrCut = errors.New("no route: partition")

// cutTimeout is how long a dial over a partition hangs.
const cutTimeout = 200 * time.Millisecond

// Network knows where addresses are and what is wrong between places. Safe
// for concurrent use.
type Network struct {
	delay func(from, to string) time.Duration

	mu    sync.Mutex
	place map[string]string // address to place
	cut   map[[2]string]bool
	conns map[*conn]struct{}
}

// New makes a network; delay gives the one-way delay between two places.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay: delay,
		place: map[string]string{},
		cut:   map[[2]string]bool{},
		conns: map[*conn]struct{}{},
	}
}

// Place says where an address is.
func (n *Network) Place(addr, place string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.place[addr] = place
}

// Cut stops what travels between two places, in both directions, until Heal.
// Connections open at the cut stay silent for good: what they lost meanwhile
// would otherwise be missing from the middle of a stream.
func (n *Network) Cut(a, b string) { n.setCut(a, b, true) }

// Heal lets new connections through again.
func (n *Network) Heal(a, b string) { n.setCut(a, b, false) }

// IsCut reports whether nothing travels between two places at present.
func (n *Network) IsCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[[2]string{a, b}]
}

func (n *Network) setCut(a, b string, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[[2]string{a, b}] = cut
	n.cut[[2]string{b, a}] = cut
	for c := range n.conns {
		if cut && (c.from == a && c.to == b || c.from == b && c.to == a) {
			c.silence()
		}
	}
}

// Silence makes every present connection silent for good, but for those from
// one place: nothing more arrives over it and nobody is told. New connections
// work.
func (n *Network) Silence(except string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from != except {
			c.silence()
		}
	}
}

// Dialer returns the dial function of a process at a place.
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.place[addr]
		cut := n.cut[[2]string{from, to}]
		n.mu.Unlock()
		if cut {
			return nil, hang(ctx)
		}
		raw, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: raw, network: n, from: from, to: to, delay: n.delay(from, to), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

func hang(ctx context.Context) error {
	t := time.NewTimer(cutTimeout)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: ErrCut}
}

// conn delays what it carries and may go silent. Delay is put on the writes
// of the dialling side and the reads of its answers, so that the other end
// needs no wrapper.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	delay    time.Duration

	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

func (c *conn) silence() { c.silent.Store(true) }

// Write implements net.Conn; a silent connection takes the bytes and loses them.
func (c *conn) Write(b []byte) (int, error) {
	if c.silent.Load() {
		return len(b), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn; a silent connection blocks until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.silent.Load() {
		<-c.closed
		return 0, net.ErrClosed
	}
	if err == nil && c.delay > 0 {
		time.Sleep(c.delay)
	}
	return n, err
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.once.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
