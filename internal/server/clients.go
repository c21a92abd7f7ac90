package server

import (
	"net/http"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/httphead"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
	"github.com/galenagrade/galenagrade/internal/proxy"
)

const (
	// idleClientTimeout is how long a client may be unused before its connection is closed. A node
	// probes six peers in turn, one a second, so it keeps the connections to these peers.
	idleClientTimeout = 15 * time.Second
)

// controlClients keeps one client for each peer address. Control messages use cleartext
// HTTP/2, or HTTP/1.1 where nodes use TLS. HTTP/2 compresses repeated headers, and a probe can
// share the connection of a held request, that is, an exchange request that the peer has not
// answered yet because it waits for updates.
type controlClients struct {
	peers *proxy.Peers

	mu     sync.Mutex
	byAddr map[string]*controlClient
	// retired contains the dropped clients, which may still have messages in flight. Until the node
	// stops, only sweepLocked closes their connections, once these messages have ended.
	retired []*controlClient
}

// controlClient is the client for one peer address.
type controlClient struct {
	innerpbconnect.ControlClient
	transport *http.Transport
	lastUsed  time.Time
	// lastResponse is when an exchange over this client last got a response.
	lastResponse time.Time
}

func newControlClients(peers *proxy.Peers) *controlClients {
	return &controlClients{peers: peers, byAddr: make(map[string]*controlClient)}
}

// client returns the client for an address and creates it when there is none.
func (c *controlClients) client(addr string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweepLocked(now)
	if client, ok := c.byAddr[addr]; ok {
		client.lastUsed = now
		return client
	}
	// The idle timeout of http.Transport counts from the creation of an HTTP/2 connection. After
	// that time, every message would dial a connection and close it again. It is off here, and
	// sweepLocked closes idle connections.
	t := c.peers.HTTPTransport()
	t.IdleConnTimeout = 0
	client := &http.Client{Transport: httphead.NewTransport(t)}
	if c.peers.Scheme() == "http" {
		t.Protocols = new(http.Protocols)
		t.Protocols.SetUnencryptedHTTP2(true)
		client.Transport = t
	}
	base := c.peers.Scheme() + "://" + addr
	created := &controlClient{ControlClient: inner.NewControlClient(client, base), transport: t, lastUsed: now}
	c.byAddr[addr] = created
	return created
}

// sweepLocked closes the idle connections of clients that were unused for longer than
// idleClientTimeout, and of retired clients. A client is not in use by a held request at that
// time: its peer responds after at most maxHold, which is far shorter than idleClientTimeout.
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

// drop drops the client for an address after a request failed. Its connection may stay
// unresponsive although a new one works.
func (c *controlClients) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if client, ok := c.byAddr[addr]; ok {
		c.retireLocked(addr, client)
	}
}

// dropUnresponsive drops every client that got no response since the given time. A device on
// the path that loses the state of one connection usually loses that of other connections too.
func (c *controlClients) dropUnresponsive(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, got := range c.byAddr {
		if got.lastResponse.Before(since) {
			c.retireLocked(addr, got)
		}
	}
}

// recordResponse records that the connection to an address works.
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
