package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// Intake is what the headers of a request say, whatever their names are.
type Intake struct {
	// RequestID is the caller's name of the request.
	RequestID string
	// Parent is the name of the request for which this one was made, as far as
	// that can be told; empty when it can't. It is a hint.
	Parent string
	// APIKey proves whose request it is; empty when the caller shows none. It must not
	// be in Header.
	APIKey string
	// Timeout is how long the caller will wait; 0 when it doesn't say.
	Timeout time.Duration
	// Header holds what goes on to the upstream.
	Header http.Header
}

// Edge decodes the requests of a deployment and writes the node's own answers.
// It is called concurrently.
type Edge interface {
	// Decode reads the headers of a request.
	Decode(r *http.Request) (Intake, *result.Refusal)
	// Refuse writes a refusal as the whole answer.
	Refuse(w http.ResponseWriter, refusal *result.Refusal)
}

// Quota counts the requests of workspaces. It is called concurrently.
type Quota interface {
	// Take spends one request of a workspace's quota; a refusal says why it can't.
	Take(ctx context.Context, workspace string) *result.Refusal
	// Return gives back what a request took that has not run.
	Return(workspace string)
}

// routed serves requests that come by routes.
type routed struct {
	p     *Proxy
	edge  Edge
	quota Quota
	table atomic.Pointer[routes.Table]
	// gates turn requests away at their entry.
	gates treeGates
	// workspaces counts what became of their requests.
	workspaces workspaceMetrics
}

// ServeRoutes makes the proxy serve requests by routes and returns their
// handler. Call it once, before the first request.
func (p *Proxy) ServeRoutes(edge Edge, quota Quota) http.Handler {
	set := p.node.Metrics()
	p.routed = &routed{p: p, edge: edge, quota: quota, gates: treeGates{metrics: set}, workspaces: workspaceMetrics{metrics: set}}
	return p.routed
}

// SetRoutes puts routes in force.
func (p *Proxy) SetRoutes(t *routes.Table) {
	p.routed.table.Store(t)
	p.routed.gates.retain(t)
	p.routed.workspaces.set(t)
}

// Routes returns the routes in force; nil when there are none yet.
func (p *Proxy) Routes() *routes.Table { return p.routed.table.Load() }

// ServeHTTP implements http.Handler.
func (s *routed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	in, refusal := s.edge.Decode(r)
	if refusal != nil {
		s.turn(w, in.RequestID, refusal)
		return
	}
	table := s.table.Load()
	if table == nil {
		s.turn(w, in.RequestID, result.Refuse(result.Starting, "no routes have reached this node yet").After(startingPause))
		return
	}
	if bound := table.Config().Limits.HeaderBytes; bound > 0 && headerSize(r) > bound {
		s.turn(w, in.RequestID, result.Refuse(result.HeaderTooLarge, "header of %d bytes, bound %d", headerSize(r), bound))
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		s.turn(w, in.RequestID, result.Refuse(result.UnknownRoute, "no route for host %.64q and path %.128q", r.Host, r.URL.Path))
		return
	}
	call, account, refusal := s.accept(in, table, route)
	if refusal != nil {
		s.turn(w, in.RequestID, refusal)
		return
	}
	call.Header = in.Header
	gate := s.gates.of(route.Host, route.Prefix)
	begun := s.p.node.Now()
	out := gatedWriter{s, gate, begun}
	out.offered(call)
	ctx := r.Context()
	refusal = gate.admit(begun, call, route.Objective)
	if refusal == nil && counted(call) {
		refusal = s.quota.Take(ctx, call.Ctx.Workspace)
	}
	if refusal != nil {
		out.ended(call, refusal.Code, 0)
		s.turnCall(w, call, refusal)
		return
	}
	if call.Ctx.ParentID != "" {
		bounded, stop := s.p.upstream.whileRunning(ctx, call.Ctx.ParentID)
		defer stop()
		ctx = bounded
	}
	s.p.serve(ctx, exchange{w: w, r: r, out: out}, call, account)
}

// headerSize returns the bytes of a request's line and header as callers send
// them, but for spaces that they may leave out.
func headerSize(r *http.Request) int {
	const lineEnd, separator = 2, 2
	size := len(r.Method) + len(r.RequestURI) + len(r.Proto) + 2 + lineEnd
	size += len("Host") + separator + len(r.Host) + lineEnd
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + separator + len(value) + lineEnd
		}
	}
	return size + lineEnd
}

// startingPause is when a caller may come back to a node without routes: a read
// of the store takes milliseconds, a restart of it a second.
const startingPause = time.Second

// accept makes the call of a request. One that shows an API key is a caller's, whatever
// its ID looks like; a call that the local upstream makes shows none.
func (s *routed) accept(in Intake, table *routes.Table, route *routes.Entry) (*node.Call, *retry.Account, *result.Refusal) {
	want := node.Routed{
		RequestID:  in.RequestID,
		Workspace:  callctx.NoWorkspace,
		Level:      route.Level,
		Timeout:    route.Timeout,
		Idempotent: route.Idempotent,
		Retries:    route.MaxAttempts - 1,
		Caller:     in.RequestID,
	}
	if in.Timeout > 0 {
		want.Timeout = min(want.Timeout, in.Timeout)
	}
	parent := ""
	if in.APIKey == "" || !table.NeedsKey(route) {
		parent = s.p.upstream.runningAs(in.Parent)
	}
	if parent == "" && table.NeedsKey(route) {
		holder := table.Holder(in.APIKey)
		if holder == nil {
			return nil, nil, unknownKey(in.APIKey, table.Config().Version)
		}
		want.Workspace = holder.Name
		if holder.Level != nil {
			want.Level = *holder.Level
		}
	}
	want.Service = route.Service()
	now := s.p.node.Now()
	if parent == "" {
		call, account := s.p.node.Accept(now, want)
		return call, account, nil
	}
	if call, account, ok := s.p.node.AcceptChild(now, want, parent); ok {
		return call, account, nil
	}
	return nil, nil, result.Refuse(result.ParentGone, "call %s is not running here any more", parent)
}

func unknownKey(apiKey string, version int64) *result.Refusal {
	if apiKey == "" {
		return result.Refuse(result.UnknownKey, "the request shows no API key; version %d of the routes asks for one", version)
	}
	return result.Refuse(result.UnknownKey, "version %d of the routes has no workspace with key %s", version, routes.KeyOf(apiKey))
}

// counted reports whether a call counts against a quota: calls that an upstream makes
// belong to a request that was counted.
func counted(call *node.Call) bool {
	return call.Ctx.Depth == 0 && call.Ctx.Workspace != callctx.NoWorkspace
}

// turn refuses a request that did not become a call.
func (s *routed) turn(w http.ResponseWriter, requestID string, refusal *result.Refusal) {
	s.p.node.RecordRejected("", "", requestID, refusal)
	s.edge.Refuse(w, refusal)
}

// turnCall refuses a call that was not begun.
func (s *routed) turnCall(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	s.p.node.RecordRejected(call.Ctx.Workspace, call.Ctx.Service, call.Ctx.RequestID, refusal)
	s.edge.Refuse(w, refusal)
}

// refuse implements answerWriter.
func (s *routed) refuse(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	s.returnQuota(call)
	s.turnCall(w, call, refusal)
}

func (s *routed) returnQuota(call *node.Call) {
	if counted(call) {
		s.quota.Return(call.Ctx.Workspace)
	}
}

// answer implements answerWriter. The upstream's answer is passed on as it is.
func (s *routed) answer(w http.ResponseWriter, call *node.Call, a *node.Response) {
	if a.Code.Ran() == result.RanNo {
		s.returnQuota(call)
	}
	if !a.Whole() {
		s.edge.Refuse(w, a.Refusal)
		return
	}
	h := w.Header()
	for name, values := range a.Header {
		h[name] = values
	}
	if _, given := h["Content-Type"]; !given {
		h["Content-Type"] = nil
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Body)))
	w.WriteHeader(a.Status)
	if call.Method != http.MethodHead {
		_, _ = w.Write(a.Body)
	}
}

// maxBody is the bound of the routes in force where there are routes.
func (p *Proxy) maxBody(call *node.Call) int64 {
	if p.routed == nil {
		return p.node.MaxBody(call)
	}
	if t := p.Routes(); t != nil && t.Config().Limits.BodyBytes > 0 {
		return t.Config().Limits.BodyBytes
	}
	return defaultRoutedBody
}

// defaultRoutedBody bounds a body where the routes set no bound, in bytes.
const defaultRoutedBody = 16 << 20
