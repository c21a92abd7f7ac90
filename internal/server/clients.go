package server

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
	"github.com/galenagrade/galenagrade/internal/proxy"
)

const (
	// idleClientTimeout bounds the age of an idle connection for control: a node
	// probes six peers in turn, one a second, and keeps theirs open.
	idleClientTimeout = 15 * time.Second
)

// controlClients keeps a client for each address. Control messages go over
// cleartext HTTP/2, or HTTP/1.1 where nodes speak TLS. HTTP/2 keeps the headers
// that repeat in a table, and a held question and a probe share a connection.
type controlClients struct {
	peers *proxy.Peers

	mu     sync.Mutex
	byAddr map[string]*controlClient
	// retired still had messages under way when they were dropped. They are
	// closed once these have ended; nothing else would ever do so.
	retired []*controlClient
}

type controlClient struct {
	innerpbconnect.ControlClient
	transport *http.Transport
	lastUsed  time.Time
	// lastResponse is when an exchange over it last brought an answer.
	lastResponse time.Time
}

func newControlClients(peers *proxy.Peers) *controlClients {
	return &controlClients{peers: peers, byAddr: make(map[string]*controlClient)}
}

func (c *controlClients) client(addr string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweepLocked(now)
	if client, ok := c.byAddr[addr]; ok {
		client.lastUsed = now
		return client
	}
	// The transport's own IdleConnTimeout counts from the making of an HTTP/2
	// connection: past it every message would dial one that it then closes.
	t := c.peers.ControlTransport()
	t.IdleConnTimeout = 0
	if c.peers.Scheme() == "http" {
		t.Protocols = new(http.Protocols)
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	base := c.peers.Scheme() + "://" + addr
	created := &controlClient{ControlClient: inner.NewControlClient(&http.Client{Transport: t}, base), transport: t, lastUsed: now}
	c.byAddr[addr] = created
	return created
}

// sweepLocked closes connections that were not used for a while; a question
// that is held ends long before.
func (c *controlClients) sweepLocked(now time.Time) {
	for addr, got := range c.byAddr {
		if now.Sub(got.lastUsed) > idleClientTimeout {
			c.retireLocked(addr, got)
		}
	}
	remaining := c.retired[:0]
	for _, got := range c.retired {
		got.transport.CloseIdleConnections()
		if now.Sub(got.lastUsed) <= 2*idleClientTimeout {
			remaining = append(remaining, got)
		}
	}
	clear(c.retired[len(remaining):])
	c.retired = remaining
}

func (c *controlClients) retireLocked(addr string, client *controlClient) {
	client.transport.CloseIdleConnections()
	delete(c.byAddr, addr)
	c.retired = append(c.retired, client)
}

// drop forgets the connection to an address on which an answer failed to come:
// it may have gone silent for good while a new one works.
func (c *controlClients) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddr[addr]; ok {
		c.retireLocked(addr, client)
	}
}

// dropUnresponsive forgets every connection that brought no answer since a moment. One
// that goes silent is rarely alone: what lost track of it, lost track of others.
func (c *controlClients) dropUnresponsive(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, got := range c.byAddr {
		if got.lastResponse.Before(since) {
			c.retireLocked(addr, got)
		}
	}
}

// recordResponse notes that a connection works.
func (c *controlClients) recordResponse(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddr[addr]; ok {
		client.lastResponse = time.Now()
	}
}

// close closes every idle connection.
func (c *controlClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *controlClients) closeLocked() {
	for _, got := range c.byAddr {
		got.transport.CloseIdleConnections()
	}
	for _, got := range c.retired {
		got.transport.CloseIdleConnections()
	}
	clear(c.byAddr)
	c.retired = nil
}
