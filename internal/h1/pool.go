package h1

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"
)

// DialFunc makes a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Config says how a pool makes and keeps connections.
type Config struct {
	// Dial makes connections; it bounds its own time.
	Dial DialFunc
	// Idle is how long an unused connection is kept; a shorter time that the
	// server states in Keep-Alive goes first. 0 keeps none.
	Idle time.Duration
	// MaxIdleConns bounds the idle connections.
	MaxIdleConns int
	// RoundRobin uses the connection next that was idle for longest, so that all stay in
	// use. Otherwise the one used last goes first, and what a low load doesn't need is
	// closed after Idle.
	RoundRobin bool
	// MaxBody bounds an answer's body in bytes where the request sets no bound.
	MaxBody int64
}

// Pool sends requests to one address. Safe for concurrent use.
type Pool struct {
	cfg  Config
	addr string

	mu     sync.Mutex
	idle   []*conn // the one idle for longest is first
	closed bool
	// generation counts the calls of Reset: a connection made before the last
	// one isn't kept.
	generation uint64
}

// NewPool makes a pool without connections.
func NewPool(addr string, cfg Config) *Pool { return &Pool{cfg: cfg, addr: addr} }

// Addr returns where the pool sends.
func (p *Pool) Addr() string { return p.addr }

// Response is a complete answer.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Request is what Do sends.
type Request struct {
	// Method, Target (path and query) and Host form the request line and Host.
	Method, Target, Host string
	Header               http.Header
	Body                 []byte
	// MaxBody bounds the answer's body in bytes; 0 leaves it to the pool.
	MaxBody int64
	// Matches reports whether an answer belongs to this request; nil takes every
	// one. Answers that don't belong are skipped, at most maxSkipped.
	Matches func(http.Header) bool
}

// Do sends a request and reads its whole answer. When ctx ends first the
// connection is closed, which tells the server. Every error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.take(ctx)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	maxBody := p.cfg.MaxBody
	if r.MaxBody > 0 {
		maxBody = r.MaxBody
	}
	answer, reusable, err := c.exchange(ctx, r, maxBody)
	if err != nil || !reusable {
		c.close()
		return answer, err
	}
	p.put(c)
	return answer, nil
}

// take returns a kept connection that still looks sound, or a new one.
func (p *Pool) take(ctx context.Context) (*conn, error) {
	for {
		c := p.pop()
		if c == nil {
			return p.dial(ctx)
		}
		if c.usable(time.Now()) {
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	if p.cfg.RoundRobin {
		c := p.idle[0]
		p.idle[0] = nil
		p.idle = p.idle[1:]
		return c
	}
	c := p.idle[n-1]
	p.idle[n-1] = nil
	p.idle = p.idle[:n-1]
	return c
}

func (p *Pool) dial(ctx context.Context) (*conn, error) {
	p.mu.Lock()
	generation := p.generation
	p.mu.Unlock()
	raw, err := p.cfg.Dial(ctx, "tcp", p.addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, generation), nil
}

// SetMaxIdleConns bounds the idle connections from now on; those above it are closed as
// others are kept.
func (p *Pool) SetMaxIdleConns(kept int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxIdleConns = kept
}

// put keeps a connection, and closes those that were idle for too long: the
// oldest lie at the front.
func (p *Pool) put(c *conn) {
	now := time.Now()
	c.expires = now.Add(min(p.cfg.Idle, c.stated))
	p.mu.Lock()
	var stale []*conn
	for len(p.idle) > 0 && (len(p.idle) > p.cfg.MaxIdleConns || !now.Before(p.idle[0].expires)) {
		stale = append(stale, p.idle[0])
		p.idle = p.idle[1:]
	}
	keep := !p.closed && c.generation == p.generation && len(p.idle) < p.cfg.MaxIdleConns && p.cfg.Idle > 0
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.close()
	}
	for _, old := range stale {
		old.close()
	}
}

// Reset closes the idle connections and keeps none of those in use: one of
// them was found silent, and the others may have been forgotten with it.
func (p *Pool) Reset() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.generation++
	p.mu.Unlock()
	for _, c := range idle {
		c.close()
	}
}

// Close closes the idle connections; those in use close after their answer.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}
