package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/membudget"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/share"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// Proxy serves the calls of one node. It is safe for concurrent use.
type Proxy struct {
	node     *node.Node
	peers    *Peers
	upstream *Upstream
	gate     gate
	rngs     sync.Pool
	// routeHandler is set in a deployment with routes; see ServeRoutes.
	routeHandler *routeHandler
	// shares ranks requests by the shares of their workspaces; nil if there are none.
	shares *share.Divider
	// predecessorService is the service for which calls to an earlier process at this address are
	// accepted; empty accepts none.
	predecessorService string
	// incarnation is the node's incarnation as nodes send it.
	incarnation string
	// publishedIncarnation is a further one by which other nodes know this process; nil if there is none.
	publishedIncarnation atomic.Pointer[string]
	// reserving is whether guards are asked for room; see SetReserve.
	reserving atomic.Bool
	// peerCallsPending counts the calls of other nodes whose responses are not yet written.
	peerCallsPending atomic.Int64
	// bodies bounds the memory of request bodies; nil does not.
	bodies *membudget.Budget
	// stopWindow is set while the node stops.
	stopWindow atomic.Pointer[node.StopWindow]
	// rootsPending counts the requests of callers whose responses are not yet written.
	rootsPending atomic.Int64
}

// New returns a Proxy that executes the decisions of n with the given peers and upstream.
func New(n *node.Node, peers *Peers, upstream *Upstream) *Proxy {
	p := &Proxy{node: n, peers: peers, upstream: upstream, incarnation: formatIncarnation(n.Incarnation())}
	p.rngs.New = func() any { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }
	return p
}

// AcceptPredecessorCalls makes the node accept calls to an earlier process at its address if they
// are for the given service. It is for deployments without idempotency keys, since a new process does
// not know which calls ran in the earlier one. It must be called before serving.
func (p *Proxy) AcceptPredecessorCalls(service string) { p.predecessorService = service }

// AcceptIncarnation makes the node accept calls, re-attachments too, for a further incarnation under which
// its record is published.
func (p *Proxy) AcceptIncarnation(incarnation uint64) {
	text := formatIncarnation(incarnation)
	p.publishedIncarnation.Store(&text)
}

// PendingPeerCalls returns the number of calls of other nodes whose responses are not completely
// written.
func (p *Proxy) PendingPeerCalls() int { return int(p.peerCallsPending.Load()) }

// PendingRoots returns the number of callers' requests whose responses are not completely written.
// Requests of the local upstream are not counted.
func (p *Proxy) PendingRoots() int { return int(p.rootsPending.Load()) }

// CallerHandler returns the handler for callers. Every request starts a new call tree; a parent
// context in its headers is ignored.
func (p *Proxy) CallerHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, refusal := callctx.Decode(r.Header)
		if refusal != nil {
			p.reject(w, raw, "", refusal)
			return
		}
		p.serveRoot(w, r, raw)
	})
}

// ExitHandler returns the handler for requests of the local upstream. A request with the context of a
// running call becomes a child of that call.
func (p *Proxy) ExitHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		raw, refusal := callctx.Decode(r.Header)
		if refusal != nil {
			p.reject(w, raw, "", refusal)
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
	call, allowance, refusal := p.node.NewRootCall(p.node.Now(), raw, r.Method, callerOf(raw, r))
	if refusal != nil {
		p.reject(w, raw, "", refusal)
		return
	}
	p.serve(r.Context(), exchange{w: w, r: r, writer: defaultWriter{p}}, call, retry.NewAccount(allowance))
}

func (p *Proxy) serveChild(w http.ResponseWriter, r *http.Request, raw callctx.Raw) {
	call, account, refusal := p.node.NewChildCall(p.node.Now(), raw, r.Method)
	if refusal != nil {
		p.reject(w, raw, "", refusal)
		return
	}
	ctx, stop := p.upstream.runs.bound(r.Context(), raw.Parent)
	defer stop()
	p.serve(ctx, exchange{w: w, r: r, writer: defaultWriter{p}}, call, account)
}

// exchange is a request together with the writer of its response.
type exchange struct {
	w      http.ResponseWriter
	r      *http.Request
	writer responseWriter
	// usual is the time within which nearly all such requests end; 0 if it is not known.
	usual time.Duration
}

// responseWriter writes responses in the format of the requester.
type responseWriter interface {
	// writeRefusal responds to a request that was refused before it became a call.
	writeRefusal(w http.ResponseWriter, call *node.Call, refusal *result.Refusal)
	// writeResponse writes the response of a call.
	writeResponse(w http.ResponseWriter, call *node.Call, resp *node.Response)
}

func (p *Proxy) serve(ctx context.Context, ex exchange, call *node.Call, account *retry.Account) {
	if refusal := p.admitWhileStopping(ex, call); refusal != nil {
		p.refuseUnread(ex, call, refusal)
		return
	}
	size := max(0, ex.r.ContentLength)
	if refusal := p.gate.enter(size, call.Ctx.Depth == 0); refusal != nil {
		p.refuseUnread(ex, call, refusal)
		return
	}
	defer func() { p.gate.leave(size) }()
	if call.Ctx.Depth == 0 {
		p.rootsPending.Add(1)
		defer p.rootsPending.Add(-1)
	}
	if !isPathTarget(ex.r.RequestURI) {
		ex.writer.writeRefusal(ex.w, call, badTargetRefusal())
		return
	}
	body, memory, refusal := p.readCallerBody(ex, call)
	defer memory.release()
	if refusal != nil {
		p.refuseUnread(ex, call, refusal)
		return
	}
	size += p.gate.addBytes(int64(len(body)) - size)
	if refusal := p.admitWhileStopping(ex, call); refusal != nil { // the body may have taken long
		ex.writer.writeRefusal(ex.w, call, refusal)
		return
	}
	call.Method = ex.r.Method
	call.Target = ex.r.RequestURI
	if call.Routed {
		call.Host = ex.r.Host
	}
	if call.Header == nil {
		call.Header = callctx.Forwardable(ex.r.Header)
	}
	call.Body = body
	call.BodyHash = node.HashBody(body)
	life := lifetime.WithDeadline(ctx, call.Ctx.Deadline)
	defer life.Cancel()
	resp := p.run(life, call, account)
	size += p.gate.addBytes(int64(len(resp.Body)))
	ex.writer.writeResponse(ex.w, call, resp)
}

// reject refuses a request before it became a call.
func (p *Proxy) reject(w http.ResponseWriter, raw callctx.Raw, requestID string, refusal *result.Refusal) {
	p.node.RecordRejected(raw.Workspace, raw.Service, requestID, refusal)
	refusal.Write(w, requestID)
}

// defaultWriter writes responses with galenagrade's own headers.
type defaultWriter struct{ p *Proxy }

func (d defaultWriter) writeRefusal(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	c := &call.Ctx
	d.p.reject(w, callctx.Raw{Workspace: c.Workspace, Service: c.Service}, c.RequestID, refusal)
}

func (defaultWriter) writeResponse(w http.ResponseWriter, call *node.Call, resp *node.Response) {
	writeResponse(w, call, resp)
}

// run executes the actions of a Dispatch until the call has a response.
func (p *Proxy) run(ctx context.Context, call *node.Call, account *retry.Account) *node.Response {
	rng := p.rngs.Get().(*rand.Rand)
	defer p.rngs.Put(rng)
	return p.runActions(ctx, call, node.NewDispatch(p.node, rng, call, account))
}

func (p *Proxy) runActions(ctx context.Context, call *node.Call, dispatch *node.Dispatch) *node.Response {
	for {
		if errors.Is(ctx.Err(), context.Canceled) {
			p.callerLeft(call, dispatch)
		}
		action := dispatch.Next(p.node.Now())
		switch action.Kind {
		case node.ActionDone:
			p.node.RecordResponse(call, action.Response, dispatch)
			return action.Response
		case node.ActionPause:
			wait.For(ctx, action.Pause)
		case node.ActionSend:
			// p.send is a statement of its own, so that the time is read after the response. Go evaluates
			// the arguments of Observe(p.node.Now(), p.send(ctx, action)) from left to right and would
			// read the time before the call: every latency would be microseconds, a slow upstream would
			// look fast, and load reports would be as old as the call.
			resp := p.send(ctx, action)
			dispatch.Observe(p.node.Now(), resp)
		}
	}
}

// callerLeft ends a call whose caller has left.
func (p *Proxy) callerLeft(call *node.Call, dispatch *node.Dispatch) {
	if call.Ctx.Depth == 0 {
		p.node.Metrics().Inc(metrics.CallersLeft, 1)
	}
	dispatch.Leave()
}

func (p *Proxy) send(ctx context.Context, action node.Action) *node.Response {
	endpoint := action.Target.Endpoint()
	if endpoint.Node == p.node.ID() {
		p.node.Metrics().Inc(metrics.CallsLocal, 1)
		return p.upstream.Serve(ctx, action.Attempt)
	}
	p.node.Metrics().Inc(metrics.CallsForwarded, 1)
	sent := p.node.Now()
	resp := p.peers.Send(ctx, endpoint, action.Attempt)
	p.node.Metrics().Observe(metrics.InnerTime, p.node.Now().Sub(sent))
	return resp
}

// callerOf returns the caller named in the headers, or else the host of the remote address.
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

// writeResponse writes the response of a call to a caller, with its result code in the header.
func writeResponse(w http.ResponseWriter, call *node.Call, resp *node.Response) {
	h := w.Header()
	h.Set(callctx.HeaderRequestID, call.Ctx.RequestID)
	if !resp.Complete() {
		resp.Refusal.Write(w, call.Ctx.RequestID)
		return
	}
	for name, values := range resp.Header {
		h[name] = values
	}
	h.Set(result.HeaderResult, strconv.Itoa(int(resp.Code)))
	h.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	_, _ = w.Write(resp.Body)
}
