package proxy

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// peerIdle bounds the age of an idle connection: something between the two
	// ends may have forgotten it, and nothing on it would ever say so.
	peerIdle = 5 * time.Second
	// connectTimeout bounds making a connection; a new one takes about 1 ms.
	connectTimeout = 250 * time.Millisecond
	// maxRescues bounds the second connections that are out to one peer at a
	// time, so that a slow peer isn't met with a burst of them.
	maxRescues = 16
)

// Peers carries attempts to the guards of other nodes. Safe for concurrent use.
type Peers struct {
	node *node.Node
	dial DialFunc

	mu    sync.Mutex
	peers map[string]*peer
}

// NewPeers makes the sender of a node; dial may be nil for plain TCP.
func NewPeers(dial DialFunc) *Peers {
	return &Peers{dial: dial, peers: make(map[string]*peer)}
}

// Bind sets the node on whose behalf attempts are sent.
func (p *Peers) Bind(n *node.Node) { p.node = n }

// peer is one guard's address: a pool of kept connections, and a way to make
// fresh ones that never come from the pool.
type peer struct {
	pool    *http.Transport
	fresh   *http.Transport
	wait    waitEstimator
	rescues chan struct{}
}

func (p *Peers) peer(addr string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	got, ok := p.peers[addr]
	if !ok {
		got = &peer{
			pool:    newTransport(p.dial, false),
			fresh:   newTransport(p.dial, true),
			rescues: make(chan struct{}, maxRescues),
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
			gone.pool.CloseIdleConnections()
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
func (p *Peers) Send(ctx context.Context, to routing.Endpoint, attempt *node.Call) *node.Answer {
	peer := p.peer(to.Addr)
	started := p.node.Now()
	s := &sending{peers: p, peer: peer, to: to, attempt: attempt, fresh: make(chan *node.Answer, 1)}
	s.ctx, s.cancel = context.WithCancel(ctx)
	defer s.cancel()
	timer := time.AfterFunc(peer.wait.bound(), s.rescue)
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
	fresh   chan *node.Answer

	mu      sync.Mutex
	rescued bool // a rescue is out and will put an answer into fresh
	ended   bool // the first sending came back
}

func (s *sending) rescue() {
	select {
	case s.peer.rescues <- struct{}{}:
		defer func() { <-s.peer.rescues }()
	default:
		return
	}
	s.mu.Lock()
	if s.ended {
		s.mu.Unlock()
		return
	}
	s.rescued = true
	s.mu.Unlock()

	answer := s.reattach()
	s.fresh <- answer
	if answer.Code != result.Unreachable {
		s.cancel()
		s.peer.pool.CloseIdleConnections()
	}
}

// settle chooses between the two sendings. The first one counts if it brought
// an answer; otherwise the second one's answer does. When the first one's
// connection broke before a second was out, the call is attached to again now.
//
// A refusal of the first one, as not run, is not the call's while a second one
// is out: the guard refused that sending only, or its dial failed, and the
// second may have arrived later and run. The refusal would then be false.
func (s *sending) settle(first *node.Answer) *node.Answer {
	s.mu.Lock()
	s.ended = true
	rescued := s.rescued
	s.mu.Unlock()
	broken := first.Code == result.LostAnswer || first.Code == result.AnswerCut
	refused := !first.Whole() && first.Code.Ran() == result.RanNo
	var second *node.Answer
	switch {
	case rescued && (broken || refused || first.Code == result.CancelledRunning):
		second = <-s.fresh
	case broken && s.ctx.Err() == nil:
		second = s.reattach()
	default:
		return first
	}
	if second.Code == result.Unreachable {
		return first
	}
	return second
}

// reattach sends the call ID again over a fresh connection.
func (s *sending) reattach() *node.Answer {
	again := *s.attempt
	again.Reattach = true
	answer := s.roundTrip(s.ctx, s.peer.fresh, &again)
	if answer.Code != result.Unreachable {
		s.peers.node.Reattached(s.attempt, s.to.Node, answer)
	}
	return answer
}

func newTransport(dial DialFunc, single bool) *http.Transport {
	if dial == nil {
		dial = plainDial
	}
	return &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     peerIdle,
		DisableCompression:  true,
		DisableKeepAlives:   single,
	}
}
