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
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// maxReattaches bounds the second connections that are out to one peer at a time,
// so that a slow peer isn't met with a burst of them.
const maxReattaches = 16

// Connections says how connections to other nodes are made and kept.
type Connections struct {
	// Connect bounds making one without its TLS handshake; a new connection
	// takes about 1 ms. A dial function given to NewPeers has its own bound.
	Connect time.Duration
	// Idle bounds how long one is kept without use: something between the two
	// ends may have forgotten it, and nothing on it would ever say so.
	Idle time.Duration
	// MaxIdleConns bounds the idle ones to one node. Those that carry calls have no
	// bound of their own: a call that waited for one would look like a slow
	// peer.
	MaxIdleConns int
	// Silence is how long the path of a connection may be silent before the
	// connection fails; 0 leaves that to the re-attachment.
	Silence time.Duration
	// Reattach bounds the wait for an answer after which a second connection is
	// tried; 0 stands for the default bounds.
	Reattach WaitBounds
}

// DefaultConnections are those of the settings' defaults.
func DefaultConnections() Connections {
	return Connections{Connect: 250 * time.Millisecond, Idle: 5 * time.Second, MaxIdleConns: 256}
}

// Peers carries attempts to the guards of other nodes. Safe for concurrent use.
type Peers struct {
	node        *node.Node
	dial        DialFunc
	plain       bool // dial was not given
	connections Connections

	open atomic.Int64
	// dialTLS replaces dial where nodes speak TLS with each other.
	dialTLS DialFunc

	// versions is told of the versions of routes; nil where there are none.
	versions Versions

	mu    sync.Mutex
	peers map[string]*peer
}

// Versions compares the node's routes with those of others.
type Versions interface {
	// Version returns the version in force; 0 when there is none.
	Version() int64
	// ObserveVersion says that the node at an inner address has that version in force;
	// the address is empty when it isn't known. It must not block.
	ObserveVersion(addr string, version int64)
}

// SetVersions sets who compares versions; call it before the first sending.
func (p *Peers) SetVersions(v Versions) { p.versions = v }

func (p *Peers) configVersion() int64 {
	if p == nil || p.versions == nil {
		return 0
	}
	return p.versions.Version()
}

func (p *Peers) heardVersion(addr, text string) {
	if p == nil || p.versions == nil || text == "" {
		return
	}
	if version, err := strconv.ParseInt(text, 10, 64); err == nil {
		p.versions.ObserveVersion(addr, version)
	}
}

// NewPeers makes the sender of a node with DefaultConnections; dial may be nil
// for plain TCP.
func NewPeers(dial DialFunc) *Peers {
	p := &Peers{peers: make(map[string]*peer), plain: dial == nil}
	p.dial = p.counting(dial)
	p.SetConnections(DefaultConnections())
	return p
}

// SetConnections replaces the defaults. Call it before Secure and before the
// first sending.
func (p *Peers) SetConnections(c Connections) {
	p.connections = c
	if p.plain {
		dialer := &net.Dialer{Timeout: c.Connect}
		if c.Silence > 0 {
			dialer = conns.DetectSilence(dialer, c.Silence)
		}
		p.dial = p.counting(dialer.DialContext)
	}
	if p.connections.Reattach == (WaitBounds{}) {
		p.connections.Reattach = WaitBounds{Min: minReattachWait, Max: maxReattachWait}
	}
}

// SetMaxIdleConns bounds the idle connections to each node from now on.
func (p *Peers) SetMaxIdleConns(kept int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connections.MaxIdleConns = kept
	for _, to := range p.peers {
		to.pool.SetMaxIdleConns(kept)
	}
}

// Open returns how many connections to other nodes are open.
func (p *Peers) Open() int64 { return p.open.Load() }

func (p *Peers) counting(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		p.open.Add(1)
		return conns.OnClose(c, func() { p.open.Add(-1) }), nil
	}
}

// Secure makes every connection to other nodes one of TLS; wrap adds the
// handshake. Call it before the first sending.
func (p *Peers) Secure(wrap func(DialFunc) DialFunc) { p.dialTLS = wrap(p.dial) }

// Scheme is that of other nodes' inner addresses.
func (p *Peers) Scheme() string {
	if p.dialTLS != nil {
		return "https"
	}
	return "http"
}

// ControlTransport returns a transport to other nodes apart from that of data
// calls, so that an operator's questions never wait behind calls.
func (p *Peers) ControlTransport() *http.Transport { return p.newTransport() }

// Query sends a short question to another node on the connections of data calls: it is
// part of a request that waits for it.
func (p *Peers) Query(ctx context.Context, addr, target string) (*h1.Response, error) {
	return p.peer(addr).pool.Do(ctx, &h1.Request{Method: http.MethodPost, Target: target, Host: addr})
}

// Bind sets the node on whose behalf attempts are sent.
func (p *Peers) Bind(n *node.Node) { p.node = n }

// peer is one guard's address: a pool of kept connections, and a way to make
// fresh ones that never come from the pool.
type peer struct {
	pool       *h1.Pool
	fresh      *h1.Pool
	wait       waitEstimator
	reattaches chan struct{}
}

func (p *Peers) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	got, ok := p.peers[addr]
	if !ok {
		got = &peer{
			pool:       p.newPool(addr, p.connections.Idle),
			fresh:      p.newPool(addr, 0),
			reattaches: make(chan struct{}, maxReattaches),
		}
		p.peers[addr] = got
	}
	return got
}

// Retain closes what leads to addresses that are no longer members.
func (p *Peers) Retain(addrs map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, gone := range p.peers {
		if !addrs[addr] {
			gone.pool.Close()
			delete(p.peers, addr)
		}
	}
}

// Close closes every idle connection.
func (p *Peers) Close() { p.Retain(nil) }

// Send takes an attempt to its guard and returns its answer.
//
// A connection can go silent for good while new ones work. The first sending
// would then wait for its deadline. After several times the usual wait the
// same call ID is sent over a fresh connection: the guard either knows the
// call, and the second sending joins it, or never saw it, and runs it now; it
// can't run twice, because a guard runs a call ID once.
func (p *Peers) Send(ctx context.Context, to routing.Endpoint, attempt *node.Call) *node.Response {
	peer := p.peer(to.Addr)
	started := p.node.Now()
	s := &sending{peers: p, peer: peer, to: to, attempt: attempt, fresh: make(chan *node.Response, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	timer := time.AfterFunc(peer.wait.bound(p.connections.Reattach), s.reattachIfSilent)
	answer := s.roundTrip(s.ctx, peer.pool, attempt)
	timer.Stop()
	answer = s.settle(answer)
	if answer.Whole() {
		peer.wait.observe(p.node.Now().Sub(started))
	}
	return answer
}

// sending is one attempt on its way, over one or two connections.
type sending struct {
	peers   *Peers
	peer    *peer
	to      routing.Endpoint
	attempt *node.Call
	ctx     context.Context
	cancel  context.CancelFunc
	fresh   chan *node.Response

	mu         sync.Mutex
	reattached bool // a re-attachment is out and will put an answer into fresh
	ended      bool // the first sending came back
}

// reattachIfSilent is called when the first connection was silent for long.
func (s *sending) reattachIfSilent() {
	select {
	case s.peer.reattaches <- struct{}{}:
		defer func() { <-s.peer.reattaches }()
	default:
		return
	}
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.reattached = true
	s.mu.Unlock()

	answer := s.reattach()
	s.fresh <- answer
	if answer.Code != result.Unreachable {
		s.cancel()
		s.peer.pool.Reset()
	}
}

// settle chooses between the two sendings. A whole answer of the first one
// counts at once; otherwise the second one's does. When the first one's
// connection broke before a second was out, the call is attached to again now.
//
// A refusal of the first that says "not run" is true of the first only: the
// guard may take the second, should its upstream come or a slot become free in
// between. It shows when the refusal is late, as after a lost packet: the caller
// was told that nothing ran while the call ran. So the second is waited for.
func (s *sending) settle(first *node.Response) *node.Response {
	s.mu.Lock()
	s.ended = true
	reattached := s.reattached
	s.mu.Unlock()
	var second *node.Response
	switch {
	case reattached && superseded(first):
		second = <-s.fresh
	case !reattached && broken(first) && s.ctx.Err() == nil:
		second = s.reattach()
	default:
		return first
	}
	if second.Code == result.Unreachable {
		return first
	}
	return second
}

// broken reports whether the connection of a sending failed. An answer that names
// its node came over a sound one: what broke lies behind it, and to ask again
// would bring the same answer.
func broken(first *node.Response) bool {
	if first.Upstream != "" {
		return false
	}
	return first.Code == result.LostAnswer || first.Code == result.AnswerCut
}

// superseded reports whether the answer of a first sending leaves open what a
// second one brings.
func superseded(first *node.Response) bool {
	if first.Whole() {
		return false
	}
	return broken(first) || first.Code == result.CancelledRunning || first.Code.Ran() == result.RanNo
}

// reattach sends the call ID again over a fresh connection.
func (s *sending) reattach() *node.Response {
	again := *s.attempt
	again.Reattach = true
	answer := s.roundTrip(s.ctx, s.peer.fresh, &again)
	if answer.Code != result.Unreachable {
		s.peers.node.Reattached(s.attempt, s.to.Node, answer)
	}
	return answer
}

// newPool makes the connections to one address; those of idle 0 carry one call.
func (p *Peers) newPool(addr string, idle time.Duration) *h1.Pool {
	dial := p.dial
	if p.dialTLS != nil {
		dial = p.dialTLS
	}
	return h1.NewPool(addr, h1.Config{Dial: h1.DialFunc(dial), Idle: idle, MaxIdleConns: p.connections.MaxIdleConns, MaxBody: maxAnswerBody})
}

func (p *Peers) newTransport() *http.Transport {
	return &http.Transport{
		DialContext:         p.dial,
		DialTLSContext:      p.dialTLS,
		MaxIdleConnsPerHost: p.connections.MaxIdleConns,
		IdleConnTimeout:     p.connections.Idle,
		DisableCompression:  true,
	}
}
