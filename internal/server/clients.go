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
	// controlIdle bounds the age of an idle connection for control: a node
	// probes six peers in turn, one a second, and keeps theirs open.
	controlIdle = 15 * time.Second
)

// controlClients keeps a client for each address. Control messages go over
// cleartext HTTP/2, or HTTP/1.1 where nodes speak TLS. HTTP/2 keeps the headers
// that repeat in a table, and a held question and a probe share a connection.
type controlClients struct {
	peers *proxy.Peers

	mu   sync.Mutex
	byID map[string]*controlClient
	// retired still had messages under way when they were dropped. They are
	// closed once these have ended; nothing else would ever do so.
	retired []*controlClient
}

type controlClient struct {
	innerpbconnect.ControlClient
	transport *http.Transport
	used      time.Time
}

func newControlClients(peers *proxy.Peers) *controlClients {
	return &controlClients{peers: peers, byID: make(map[string]*controlClient)}
}

func (c *controlClients) client(addr string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	c.sweepLocked(now)
	if got, ok := c.byID[addr]; ok {
		got.used = now
		return got
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
	got := &controlClient{ControlClient: inner.NewControlClient(&http.Client{Transport: t}, base), transport: t, used: now}
	c.byID[addr] = got
	return got
}

// sweepLocked closes connections that were not used for a while; a question
// that is held ends long before.
func (c *controlClients) sweepLocked(now time.Time) {
	for addr, got := range c.byID {
		if now.Sub(got.used) > controlIdle {
			c.retireLocked(addr, got)
		}
	}
	kept := c.retired[:0]
	for _, got := range c.retired {
		got.transport.CloseIdleConnections()
		if now.Sub(got.used) <= 2*controlIdle {
			kept = append(kept, got)
		}
	}
	clear(c.retired[len(kept):])
	c.retired = kept
}

func (c *controlClients) retireLocked(addr string, got *controlClient) {
	got.transport.CloseIdleConnections()
	delete(c.byID, addr)
	c.retired = append(c.retired, got)
}

// drop forgets the connection to an address on which an answer failed to come:
// it may have gone silent for good while a new one works.
func (c *controlClients) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.byID[addr]; ok {
		c.retireLocked(addr, got)
	}
}

// close closes every idle connection.
func (c *controlClients) close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeLocked()
}

func (c *controlClients) closeLocked() {
	for _, got := range c.byID {
		got.transport.CloseIdleConnections()
	}
	for _, got := range c.retired {
		got.transport.CloseIdleConnections()
	}
	clear(c.byID)
	c.retired = nil
}
