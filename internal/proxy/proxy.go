package proxy

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// Proxy serves one node's calls. Safe for concurrent use.
type Proxy struct {
	node     *node.Node
	peers    *Peers
	upstream *Upstream
	gate     gate
	rngs     sync.Pool
	// routed is set where requests come by routes; see ServeRoutes.
	routed *routed
	// successorOf is the service whose calls for an earlier process at this address
	// are taken; empty takes none.
	successorOf string
	// answering counts the calls of other nodes whose answers are not written.
	answering atomic.Int64
	// roots counts the requests of callers that are not answered.
	roots atomic.Int64
}

// New joins a node's decisions to its data path.
func New(n *node.Node, peers *Peers, upstream *Upstream) *Proxy {
	p := &Proxy{node: n, peers: peers, upstream: upstream}
	p.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return p
}

// AcceptPredecessorCalls lets the node take calls that are meant for an earlier process at its
// address, if they are for that service. It is for deployments without idempotency
// keys: who ran what is not kept from one process to the next. Call it before
// serving.
func (p *Proxy) AcceptPredecessorCalls(service string) { p.successorOf = service }

// Answering returns how many calls of other nodes have not got their whole
// answer yet.
func (p *Proxy) Answering() int { return int(p.answering.Load()) }

// Roots returns how many requests of callers, other than the local upstream, have not
// got their whole answer yet.
func (p *Proxy) Roots() int { return int(p.roots.Load()) }

// CallerHandler serves callers: every request is a new root, whatever context
// it claims to belong to.
func (p *Proxy) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, refusal := callctx.Decode(r.Header)
		if refusal != nil {
			p.turn(w, raw, "", refusal)
			return
		}
		p.serveRoot(w, r, raw)
	})
}

// ExitHandler serves the calls of the local upstream. Those that carry the
// context of a running call become its children.
func (p *Proxy) ExitHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, refusal := callctx.Decode(r.Header)
		if refusal != nil {
			p.turn(w, raw, "", refusal)
			return
		}
		if raw.Parent == "" {
			p.serveRoot(w, r, raw)
			return
		}
		p.serveChild(w, r, raw)
	})
}

func (p *Proxy) serveRoot(w http.ResponseWriter, r *http.Request, raw callctx.Raw) {
	call, allowance, refusal := p.node.Root(p.node.Now(), raw, r.Method, callerOf(raw, r))
	if refusal != nil {
		p.turn(w, raw, "", refusal)
		return
	}
	p.serve(r.Context(), exchange{w: w, r: r, out: plainWriter{p}}, call, retry.NewAccount(allowance))
}

func (p *Proxy) serveChild(w http.ResponseWriter, r *http.Request, raw callctx.Raw) {
	call, account, refusal := p.node.Child(p.node.Now(), raw, r.Method)
	if refusal != nil {
		p.turn(w, raw, "", refusal)
		return
	}
	ctx, stop := p.upstream.whileRunning(r.Context(), raw.Parent)
	defer stop()
	p.serve(ctx, exchange{w: w, r: r, out: plainWriter{p}}, call, account)
}

// exchange is one request with the way to answer it.
type exchange struct {
	w   http.ResponseWriter
	r   *http.Request
	out answerWriter
}

// answerWriter puts answers into the words of those who asked.
type answerWriter interface {
	// refuse answers a request that did not become a call.
	refuse(w http.ResponseWriter, call *node.Call, refusal *result.Refusal)
	// answer gives the answer of a call.
	answer(w http.ResponseWriter, call *node.Call, a *node.Response)
}

func (p *Proxy) serve(ctx context.Context, x exchange, call *node.Call, account *retry.Account) {
	size := max(0, x.r.ContentLength)
	if refusal := p.gate.enter(size, call.Ctx.Depth == 0); refusal != nil {
		x.out.refuse(x.w, call, refusal)
		return
	}
	defer func() { p.gate.leave(size) }()
	if call.Ctx.Depth == 0 {
		p.roots.Add(1)
		defer p.roots.Add(-1)
	}
	if !isPathTarget(x.r.RequestURI) {
		x.out.refuse(x.w, call, badTarget())
		return
	}
	body, refusal := readBody(x.w, x.r, p.maxBody(call))
	if refusal != nil {
		x.out.refuse(x.w, call, refusal)
		return
	}
	size += p.gate.hold(int64(len(body)) - size)
	call.Method = x.r.Method
	call.Target = x.r.RequestURI
	if call.Routed {
		call.Host = x.r.Host
	}
	if call.Header == nil {
		call.Header = callctx.Forwardable(x.r.Header)
	}
	call.Body = body
	call.BodyHash = node.HashBody(body)
	ctx, cancel := context.WithDeadline(ctx, call.Ctx.Deadline)
	defer cancel()
	answer := p.run(ctx, call, account)
	size += p.gate.hold(int64(len(answer.Body)))
	x.out.answer(x.w, call, answer)
}

// turn refuses a request that did not become a call.
func (p *Proxy) turn(w http.ResponseWriter, raw callctx.Raw, requestID string, refusal *result.Refusal) {
	p.node.RecordRejected(raw.Workspace, raw.Service, requestID, refusal)
	refusal.Write(w, requestID)
}

// plainWriter answers in the product's own words.
type plainWriter struct{ p *Proxy }

func (o plainWriter) refuse(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	c := &call.Ctx
	o.p.turn(w, callctx.Raw{Workspace: c.Workspace, Service: c.Service}, c.RequestID, refusal)
}

func (plainWriter) answer(w http.ResponseWriter, call *node.Call, a *node.Response) {
	writeAnswer(w, call, a)
}

// run follows the orders of a Dispatch until the call has its answer.
func (p *Proxy) run(ctx context.Context, call *node.Call, account *retry.Account) *node.Response {
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	return p.follow(ctx, call, node.NewDispatch(p.node, rng, call, account))
}

func (p *Proxy) follow(ctx context.Context, call *node.Call, d *node.Dispatch) *node.Response {
	for {
		if errors.Is(ctx.Err(), context.Canceled) {
			d.Leave()
		}
		order := d.Next(p.node.Now())
		switch order.Kind {
		case node.ActionDone:
			p.node.Answered(call, order.Response, d)
			return order.Response
		case node.ActionPause:
			wait.For(ctx, order.Pause)
		case node.ActionSend:
			// The time is taken after the answer. As an argument beside the call it is the
			// time before: every latency is microseconds, a slow upstream looks like a quick
			// one, and reports of load are as old as the call.
			answer := p.send(ctx, order)
			d.Observe(p.node.Now(), answer)
		}
	}
}

func (p *Proxy) send(ctx context.Context, order node.Action) *node.Response {
	to := order.Target.Endpoint()
	if to.Node == p.node.ID() {
		p.node.Metrics().Inc(metrics.CallsLocal, 1)
		return p.upstream.Serve(ctx, order.Attempt)
	}
	p.node.Metrics().Inc(metrics.CallsForwarded, 1)
	sent := p.node.Now()
	answer := p.peers.Send(ctx, to, order.Attempt)
	p.node.Metrics().Observe(metrics.InnerTime, p.node.Now().Sub(sent))
	return answer
}

func callerOf(raw callctx.Raw, r *http.Request) string {
	if raw.Caller != "" {
		return raw.Caller
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		return r.RemoteAddr
	}
	return host
}

// readBody takes a whole body of at most limit bytes.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, *result.Refusal) {
	if r.ContentLength > limit {
		return nil, result.Refuse(result.BodyTooLarge, "body of %d bytes, bound %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	body, err := readSized(http.MaxBytesReader(w, r.Body, limit), r.ContentLength)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, result.Refuse(result.BodyTooLarge, "body of more than %d bytes", limit)
	}
	if err != nil {
		return nil, result.Refuse(result.BadContext, "body ended early: %v", err)
	}
	return body, nil
}

// readSized reads to the end; size is the announced length or negative.
func readSized(r io.Reader, size int64) ([]byte, error) {
	if size < 0 {
		return io.ReadAll(r)
	}
	buf := make([]byte, size)
	_, err := io.ReadFull(r, buf)
	return buf, err
}

func writeAnswer(w http.ResponseWriter, call *node.Call, a *node.Response) {
	h := w.Header()
	h.Set(callctx.HeaderRequestID, call.Ctx.RequestID)
	if !a.Whole() {
		a.Refusal.Write(w, call.Ctx.RequestID)
		return
	}
	for name, values := range a.Header {
		h[name] = values
	}
	h.Set(result.HeaderResult, strconv.Itoa(int(a.Code)))
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}
