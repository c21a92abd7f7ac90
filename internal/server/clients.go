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
	// maxControlClients bounds the clients kept; the least is lost by making
	// all anew, since those in use are few.
	maxControlClients = 64
)

// controlClients keeps a client for each address. Control messages go over
// cleartext HTTP/2: its compressed headers make a message cost less than half
// of what it costs over HTTP/1.1, and a held question and a probe share a
// connection.
type controlClients struct {
	dial proxy.DialFunc

	mu   sync.Mutex
	byID map[string]*controlClient
}

type controlClient struct {
	innerpbconnect.ControlClient
	transport *http.Transport
}

func newControlClients(dial proxy.DialFunc) *controlClients {
	return &controlClients{dial: dial, byID: make(map[string]*controlClient)}
}

func (c *controlClients) client(addr string) *controlClient {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.byID[addr]; ok {
		return got
	}
	if len(c.byID) >= maxControlClients {
		c.closeLocked()
	}
	var protocols http.Protocols
	protocols.SetUnencryptedHTTP2(true)
	t := &http.Transport{
		DialContext:        c.dial,
		Protocols:          &protocols,
		IdleConnTimeout:    controlIdle,
		DisableCompression: true,
	}
	got := &controlClient{ControlClient: inner.NewControlClient(&http.Client{Transport: t}, "http://"+addr), transport: t}
	c.byID[addr] = got
	return got
}

// drop forgets the connection to an address on which an answer failed to come:
// it may have gone silent for good while a new one works.
func (c *controlClients) drop(addr string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if got, ok := c.byID[addr]; ok {
		got.transport.CloseIdleConnections()
		delete(c.byID, addr)
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
	clear(c.byID)
}
