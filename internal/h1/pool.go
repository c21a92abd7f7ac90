package h1

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/conns"
	"github.com/galenagrade/galenagrade/internal/membudget"
)

// Config contains the options of a Pool.
type Config struct {
	// Dial establishes connections. It enforces its own timeout.
	Dial conns.DialFunc
	// Idle is how long an unused connection stays open. A shorter time stated by the server in
	// Keep-Alive takes precedence. 0 disables reuse.
	Idle time.Duration
	// MaxIdleConns is the maximum number of idle connections.
	MaxIdleConns int
	// RoundRobin selects the connection that has been idle longest, so that all connections stay in
	// use. Otherwise the most recently used connection is selected, and connections that a low load
	// does not need are closed after Idle.
	RoundRobin bool
	// MaxBody is the maximum size of a response body in bytes for requests that set none.
	MaxBody int64
	// Budget bounds the memory of bodies; nil does not.
	Budget *membudget.Budget
}

// Pool sends requests to one address over reused connections. It is safe for concurrent use.
type Pool struct {
	cfg  Config
	addr string

	mu     sync.Mutex
	idle   []*conn // sorted by idle time, longest first
	closed bool
	// generation counts the calls of Reset. A connection of an earlier generation is not reused.
	generation uint64
}

// NewPool returns a pool without connections.
func NewPool(addr string, cfg Config) *Pool { return &Pool{cfg: cfg, addr: addr} }

// Addr returns the address of the server.
func (p *Pool) Addr() string { return p.addr }

// Response is a complete HTTP response.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
}

// Field is one field of a request's header.
type Field struct{ Name, Value string }

// Request is an HTTP request for Pool.Do.
type Request struct {
	// Method, Target (path and query) and Host are written to the request line and the Host header.
	Method, Target, Host string
	Header               http.Header
	// Fields are sent in addition to Header and replace its fields of the same names. Names are in
	// canonical form.
	Fields []Field
	Body   []byte
	// MaxBody is the maximum size of the response body in bytes; 0 uses Config.MaxBody.
	MaxBody int64
	// Classify decides on a response to the request; nil accepts every response. At most
	// maxSkippedResponses responses are skipped. reused is whether the connection carried a request or a
	// response before.
	Classify func(status int, h http.Header, reused bool) Verdict
	// StillWanted is asked once there is a connection, before the request is sent; nil means yes. It is sent
	// only if the answer is yes.
	StillWanted func() bool
}

// Verdict is the decision on a response that arrived for a request.
type Verdict int

const (
	// Accept: the response belongs to the request.
	Accept Verdict = iota
	// Skip: the response belongs to no request, and the one to this request may follow.
	Skip
	// Reject: the response can't be used, and the connection is closed.
	Reject
	// Unidentified: the response alone doesn't tell. Classify of a Request must not return it.
	Unidentified
)

// Do sends a request and reads the complete response. If ctx ends first, the connection is closed,
// which notifies the server. With a canceled ctx nothing is sent, nor if the request is not wanted any more.
// Every error is an *Error.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	if ctx.Err() == context.Canceled {
		return nil, &Error{Stage: StageConnect, Cause: context.Canceled}
	}
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &Error{Stage: StageConnect, Cause: err}
	}
	if r.StillWanted != nil && !r.StillWanted() {
		p.release(c)
		return nil, &Error{Stage: StageConnect, Cause: context.Canceled}
	}
	maxBody := p.cfg.MaxBody
	if r.MaxBody > 0 {
		maxBody = r.MaxBody
	}
	resp, reusable, err := c.exchange(ctx, r, maxBody)
	if err != nil || !reusable {
		c.close()
		return resp, err
	}
	p.release(c)
	return resp, nil
}

// Prepare opens a connection unless an idle one exists, so that the next request doesn't wait for it.
func (p *Pool) Prepare(ctx context.Context) error {
	p.mu.Lock()
	hasIdle := len(p.idle) > 0
	p.mu.Unlock()
	if hasIdle {
		return nil
	}
	c, err := p.dial(ctx)
	if err != nil {
		return &Error{Stage: StageConnect, Cause: err}
	}
	p.release(c)
	return nil
}

// acquire returns an idle connection that is usable, or a new one.
func (p *Pool) acquire(ctx context.Context) (*conn, error) {
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
	return newConn(raw, generation, p.cfg.Budget)
}

// SetMaxIdleConns changes the maximum number of idle connections. Excess connections are closed
// when the next connection is released.
func (p *Pool) SetMaxIdleConns(limit int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cfg.MaxIdleConns = limit
}

// release adds a connection to the idle ones and closes the expired and excess ones, which are at
// the front of the list.
func (p *Pool) release(c *conn) {
	now := time.Now()
	c.expires = now.Add(min(p.cfg.Idle, c.keepAlive))
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

// Reset closes the idle connections and prevents the reuse of those in use. It is called after one
// connection became unresponsive: a device on the path that dropped the state of one connection may
// have dropped the state of the others as well.
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

// Close closes the idle connections. Connections in use are closed after their response.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.Reset()
}
