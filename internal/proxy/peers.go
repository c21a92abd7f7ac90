package proxy

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/httphead"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/node"
)

// maxReattaches is the maximum number of concurrent re-attachments (see Peers.Send) to one peer. It
// prevents a burst of new connections to a slow peer.
const maxReattaches = 16

// ConnectionConfig configures the connections to other nodes.
type ConnectionConfig struct {
	// Connect is the timeout for establishing a connection without its TLS handshake. Establishing one
	// usually takes about 1 ms. The timeout does not apply to a dial function given to NewPeers.
	Connect time.Duration
	// Idle is how long an unused connection stays open. A device on the path may have lost the state
	// of an idle connection, and neither end would receive an error.
	Idle time.Duration
	// MaxIdleConns is the maximum number of idle connections per node. Connections in use are not
	// limited: a call that waited for a connection would look like a slow peer.
	MaxIdleConns int
	// PathTimeout is the time without acknowledgements after which a connection fails; 0 disables this
	// check, so that only the re-attachment detects a broken path.
	PathTimeout time.Duration
	// Bodies bounds the memory of response bodies; nil does not.
	Bodies *membudget.Budget
	// Reattach bounds the time to wait for a response before a re-attachment (see Peers.Send); 0 for
	// both uses the default bounds.
	Reattach WaitBounds
}

// DefaultConnections returns the configuration with the default values of the node's settings.
func DefaultConnections() ConnectionConfig {
	return ConnectionConfig{Connect: 250 * time.Millisecond, Idle: 5 * time.Second, MaxIdleConns: 256}
}

// Peers sends attempts to the guards of other nodes. It is safe for concurrent use.
type Peers struct {
	node            *node.Node
	dial            conns.DialFunc
	usesDefaultDial bool // NewPeers was called without a dial function
	connections     ConnectionConfig

	openConns atomic.Int64
	// dialTLS replaces dial if nodes use TLS among each other.
	dialTLS conns.DialFunc

	// versions receives the route versions of other nodes; nil in a deployment without routes.
	versions Versions

	mu    sync.Mutex
	peers map[string]*peer
}

// Versions compares the version of the node's routes with those of other nodes.
type Versions interface {
	// Version returns the version in use; 0 if there is none.
	Version() int64
	// ObserveVersion reports that the node at an inner address uses the given version. addr is empty
	// if the address is unknown. It must not block.
	ObserveVersion(addr string, version int64)
}

// SetVersions sets the receiver of route versions. It must be called before the first Send.
func (p *Peers) SetVersions(v Versions) { p.versions = v }

func (p *Peers) configVersion() int64 {
	if p == nil || p.versions == nil {
		return 0
	}
	return p.versions.Version()
}

func (p *Peers) observeVersion(addr, text string) {
	if p == nil || p.versions == nil || text == "" {
		return
	}
	if version, err := strconv.ParseInt(text, 10, 64); err == nil {
		p.versions.ObserveVersion(addr, version)
	}
}

// NewPeers returns a sender with DefaultConnections. A nil dial uses plain TCP.
func NewPeers(dial conns.DialFunc) *Peers {
	p := &Peers{peers: make(map[string]*peer), usesDefaultDial: dial == nil}
	p.dial = p.countOpen(dial)
	p.SetConnections(DefaultConnections())
	return p
}

// SetConnections replaces the default configuration. It must be called before UseTLS and before the
// first Send.
func (p *Peers) SetConnections(c ConnectionConfig) {
	p.connections = c
	if p.usesDefaultDial {
		dialer := &net.Dialer{Timeout: c.Connect}
		if c.PathTimeout > 0 {
			dialer = conns.DetectDeadPath(dialer, c.PathTimeout)
		}
		p.dial = p.countOpen(dialer.DialContext)
	}
	if p.connections.Reattach == (WaitBounds{}) {
		p.connections.Reattach = WaitBounds{Min: minReattachWait, Max: maxReattachWait}
	}
}

// SetMaxIdleConns changes the maximum number of idle connections per node.
func (p *Peers) SetMaxIdleConns(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.MaxIdleConns = limit
	for _, peer := range p.peers {
		peer.pool.SetMaxIdleConns(limit)
	}
}

// Open returns the number of open connections to other nodes.
func (p *Peers) Open() int64 { return p.openConns.Load() }

// countOpen wraps a dial function so that its open connections are counted and report resets.
func (p *Peers) countOpen(dial conns.DialFunc) conns.DialFunc {
	dial = conns.ReportResets(dial)
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		p.openConns.Add(1)
		return conns.OnClose(c, func() { p.openConns.Add(-1) }), nil
	}
}

// UseTLS enables TLS for all connections to other nodes. wrap adds the handshake to a dial function.
// It must be called before the first Send.
func (p *Peers) UseTLS(wrap func(conns.DialFunc) conns.DialFunc) { p.dialTLS = wrap(p.dial) }

// Scheme returns the URL scheme of the inner addresses of other nodes.
func (p *Peers) Scheme() string {
	if p.dialTLS != nil {
		return "https"
	}
	return "http"
}

// ControlTransport returns a transport to other nodes that does not share connections with data
// calls, so that requests of operators do not wait for calls.
func (p *Peers) ControlTransport() *httphead.Transport {
	return httphead.NewTransport(p.HTTPTransport())
}

// Query sends a short request without a body to another node. It uses the connections of data calls,
// because a call waits for the response.
func (p *Peers) Query(ctx context.Context, addr, target string) (*h1.Response, error) {
	return p.peer(addr).pool.Do(ctx, &h1.Request{Method: http.MethodPost, Target: target, Host: addr})
}

// Prepare opens a connection to another node unless an idle one exists.
func (p *Peers) Prepare(ctx context.Context, addr string) error {
	return p.peer(addr).pool.Prepare(ctx)
}

// Bind sets the node for which attempts are sent.
func (p *Peers) Bind(n *node.Node) { p.node = n }

// peer holds the connections to one guard's address: pool reuses connections, freshPool opens a new
// connection for each call.
type peer struct {
	pool          *h1.Pool
	freshPool     *h1.Pool
	responseTime  responseTimeEstimator
	reattachSlots chan struct{}
}

func (p *Peers) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	entry, ok := p.peers[addr]
	if !ok {
		entry = &peer{
			pool:          p.newPool(addr, p.connections.Idle),
			freshPool:     p.newPool(addr, 0),
			reattachSlots: make(chan struct{}, maxReattaches),
		}
		p.peers[addr] = entry
	}
	return entry
}

// Retain closes the connections to addresses that are not in addrs.
func (p *Peers) Retain(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, entry := range p.peers {
		if !addrs[addr] {
			entry.pool.Close()
			delete(p.peers, addr)
		}
	}
}

// Close closes all idle connections.
func (p *Peers) Close() { p.Retain(nil) }

// newPool returns a connection pool for one address. With idle 0 each connection carries one call.
func (p *Peers) newPool(addr string, idle time.Duration) *h1.Pool {
	dial := p.dial
	if p.dialTLS != nil {
		dial = p.dialTLS
	}
	return h1.NewPool(addr, h1.Config{Dial: dial, Idle: idle, MaxIdleConns: p.connections.MaxIdleConns, MaxBody: maxResponseBody, Budget: p.connections.Bodies})
}

// HTTPTransport returns what ControlTransport uses. By itself it accepts malformed responses of HTTP/1.
func (p *Peers) HTTPTransport() *http.Transport {
	return &http.Transport{
		DialContext:         p.dial,
		DialTLSContext:      p.dialTLS,
		MaxIdleConnsPerHost: p.connections.MaxIdleConns,
		IdleConnTimeout:     p.connections.Idle,
		DisableCompression:  true,
	}
}
