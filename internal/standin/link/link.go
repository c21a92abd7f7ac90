// Package link emulates the network between VMs. It injects delays, partitions
// and blackholed connections into the connections that a process dials.
package link

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// ErrPartitioned is the cause of a failed dial between partitioned locations. The
// dial fails after a timeout, since a real partition drops the packets.
var ErrPartitioned = errors.New("locations are partitioned")

// partitionDialTimeout is the time after which a dial over a partition fails.
const partitionDialTimeout = 200 * time.Millisecond

// Network holds the location of each address, and the delays and faults between
// locations. Safe for concurrent use.
type Network struct {
	delay func(from, to string) time.Duration

	mu          sync.Mutex
	locations   map[string]string // by address
	partitioned map[[2]string]bool
	conns       map[*conn]struct{}
}

// New returns a network without faults. delay returns the one-way delay between
// two locations.
func New(delay func(from, to string) time.Duration) *Network {
	return &Network{
		delay:       delay,
		locations:   map[string]string{},
		partitioned: map[[2]string]bool{},
		conns:       map[*conn]struct{}{},
	}
}

// SetLocation sets the location of an address.
func (n *Network) SetLocation(addr, location string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.locations[addr] = location
}

// Partition drops all traffic between two locations, in both directions, until
// Heal. Connections that are open between them stay blackholed after Heal too:
// else the bytes that they dropped would be missing in the middle of a stream.
func (n *Network) Partition(a, b string) { n.setPartitioned(a, b, true) }

// Heal ends the partition between two locations for new connections.
func (n *Network) Heal(a, b string) { n.setPartitioned(a, b, false) }

// IsPartitioned reports whether two locations are partitioned.
func (n *Network) IsPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitioned[[2]string{a, b}]
}

func (n *Network) setPartitioned(a, b string, partitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[[2]string{a, b}] = partitioned
	n.partitioned[[2]string{b, a}] = partitioned
	for c := range n.conns {
		if partitioned && (c.from == a && c.to == b || c.from == b && c.to == a) {
			c.blackhole()
		}
	}
}

// Blackhole blackholes every open connection permanently, except those dialled
// from the location exceptFrom. Neither end gets an error. New connections work.
func (n *Network) Blackhole(exceptFrom string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if c.from != exceptFrom {
			c.blackhole()
		}
	}
}

// Dialer returns the dial function of a process at a location. Addresses without
// a location are in the location "".
func (n *Network) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		n.mu.Lock()
		to := n.locations[addr]
		partitioned := n.partitioned[[2]string{from, to}]
		n.mu.Unlock()
		if partitioned {
			return nil, awaitDialTimeout(ctx)
		}
		tcpConn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		c := &conn{Conn: tcpConn, network: n, from: from, to: to, delay: n.delay(from, to), closed: make(chan struct{})}
		n.mu.Lock()
		n.conns[c] = struct{}{}
		n.mu.Unlock()
		return c, nil
	}
}

// awaitDialTimeout blocks until the dial timeout passes or ctx ends, and returns
// the error of a dial over a partition.
func awaitDialTimeout(ctx context.Context) error {
	t := time.NewTimer(partitionDialTimeout)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
	return &net.OpError{Op: "dial", Net: "tcp", Err: ErrPartitioned}
}

// conn delays its traffic and may be blackholed. The delays of both directions are
// applied at the dialling side, to its writes and its reads, so that the accepting
// side needs no wrapper.
type conn struct {
	net.Conn
	network  *Network
	from, to string
	delay    time.Duration

	blackholed atomic.Bool
	closeOnce  sync.Once
	closed     chan struct{}
}

func (c *conn) blackhole() { c.blackholed.Store(true) }

// Write implements net.Conn; a blackholed connection discards the bytes.
func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	if c.delay > 0 {
		time.Sleep(c.delay)
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn; a blackholed connection blocks until it is closed.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.blackholed.Load() {
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
	c.closeOnce.Do(func() {
		close(c.closed)
		c.network.mu.Lock()
		delete(c.network.conns, c)
		c.network.mu.Unlock()
	})
	return c.Conn.Close()
}
