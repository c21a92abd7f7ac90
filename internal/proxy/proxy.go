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
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// Proxy serves one node's calls. Safe for concurrent use.
type Proxy struct {
	node     *node.Node
	peers    *Peers
	upstream *Upstream
	rngs     sync.Pool
	// answering counts the calls of other nodes whose answers are not written.
	answering atomic.Int64
}

// New joins a node's decisions to its data path.
func New(n *node.Node, peers *Peers, upstream *Upstream) *Proxy {
	p := &Proxy{node: n, peers: peers, upstream: upstream}
	p.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return p
}

// Answering returns how many calls of other nodes have not got their whole
// answer yet.
func (p *Proxy) Answering() int { return int(p.answering.Load()) }

// CallerHandler serves callers: every request is a new root, whatever context
// it claims to belong to.
func (p *Proxy) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, refusal := callctx.Decode(r.Header)
		if refusal != nil {
			refusal.Write(w, "")
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
			refusal.Write(w, "")
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
		refusal.Write(w, "")
		return
	}
	p.serve(w, r, r.Context(), call, retry.NewAccount(allowance))
}

func (p *Proxy) serveChild(w http.ResponseWriter, r *http.Request, raw callctx.Raw) {
	call, account, refusal := p.node.Child(p.node.Now(), raw, r.Method)
	if refusal != nil {
		refusal.Write(w, "")
		return
	}
	ctx, stop := p.upstream.whileRunning(r.Context(), raw.Parent)
	defer stop()
	p.serve(w, r, ctx, call, account)
}

func (p *Proxy) serve(w http.ResponseWriter, r *http.Request, ctx context.Context, call *node.Call, account *retry.Account) {
	body, refusal := readBody(w, r, p.node.MaxBody(call))
	if refusal != nil {
		refusal.Write(w, call.Ctx.RequestID)
		return
	}
	call.Method = r.Method
	call.Target = r.URL.RequestURI()
	call.Header = callctx.Forwardable(r.Header)
	call.Body = body
	call.BodyHash = node.HashBody(body)
	ctx, cancel := context.WithDeadline(ctx, call.Ctx.Deadline)
	defer cancel()
	answer := p.run(ctx, call, account)
	writeAnswer(w, call, answer)
}

// run follows the orders of a Dispatch until the call has its answer.
func (p *Proxy) run(ctx context.Context, call *node.Call, account *retry.Account) *node.Answer {
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	d := node.NewDispatch(p.node, rng, call, account)
	for {
		order := d.Next(p.node.Now())
		switch order.Kind {
		case node.OrderDone:
			p.node.Answered(call, order.Answer, d)
			return order.Answer
		case node.OrderPause:
			pause(ctx, order.Pause)
		case node.OrderSend:
			d.Observe(p.node.Now(), p.send(ctx, order))
		}
	}
}

func (p *Proxy) send(ctx context.Context, order node.Order) *node.Answer {
	to := order.Target.Endpoint()
	if to.Node == p.node.ID() {
		return p.upstream.Serve(ctx, order.Attempt)
	}
	return p.peers.Send(ctx, to, order.Attempt)
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
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

func writeAnswer(w http.ResponseWriter, call *node.Call, a *node.Answer) {
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
