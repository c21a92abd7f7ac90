package proxy

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// RequestMetadata contains the decoded headers of a request, independently of their names.
type RequestMetadata struct {
	// RequestID is the caller's ID of the request.
	RequestID string
	// Parent is the request ID of the request for which this one was made; empty if unknown. An ID
	// that no call running at the local upstream has is ignored.
	Parent string
	// APIKey identifies the workspace of the request; empty if the caller sent none. Header must not
	// contain it, so that it is not forwarded to the upstream.
	APIKey string
	// Timeout is how long the caller waits; 0 if it sent no timeout.
	Timeout time.Duration
	// Header contains the headers that are forwarded to the upstream.
	Header http.Header
}

// Edge decodes the requests of a deployment and writes the responses that the node itself creates.
// Its methods are called concurrently.
type Edge interface {
	// Decode decodes the headers of a request. It may filter r.Header in place: nothing reads it after
	// that.
	Decode(r *http.Request) (RequestMetadata, *result.Refusal)
	// Refuse writes a refusal as the complete response.
	Refuse(w http.ResponseWriter, refusal *result.Refusal)
}

// Quota enforces the request quotas of workspaces. Its methods are called concurrently.
type Quota interface {
	// Take consumes one request of a workspace's quota. It returns a refusal with the reason if it
	// cannot.
	Take(ctx context.Context, workspace string) *result.Refusal
	// Return gives back the quota of a request that did not run.
	Return(workspace string)
}

// routeHandler serves requests that are matched by routes.
type routeHandler struct {
	p     *Proxy
	edge  Edge
	quota Quota
	table atomic.Pointer[routes.Table]
	// treeGates refuse requests at their entry node if a deeper service sheds their calls.
	treeGates treeGates
	// workspaceMetrics counts the requests of workspaces by result.
	workspaceMetrics workspaceMetrics
}

// ServeRoutes makes the proxy serve requests by routes and returns their handler. It must be called
// once, before the first request.
func (p *Proxy) ServeRoutes(edge Edge, quota Quota) http.Handler {
	set := p.node.Metrics()
	p.routeHandler = &routeHandler{p: p, edge: edge, quota: quota, treeGates: treeGates{metrics: set}, workspaceMetrics: workspaceMetrics{metrics: set}}
	return p.routeHandler
}

// SetRoutes replaces the routes in use.
func (p *Proxy) SetRoutes(t *routes.Table) {
	p.routeHandler.table.Store(t)
	p.routeHandler.treeGates.retain(t)
	p.routeHandler.workspaceMetrics.update(t)
}

// Routes returns the routes in use; nil if there are none yet.
func (p *Proxy) Routes() *routes.Table { return p.routeHandler.table.Load() }

// ServeHTTP implements http.Handler.
func (h *routeHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := headerSize(r)
	in, refusal := h.edge.Decode(r)
	if refusal != nil {
		h.reject(w, in.RequestID, refusal)
		return
	}
	table := h.table.Load()
	if table == nil {
		h.reject(w, in.RequestID, result.Refuse(result.Starting, "node has not received routes yet").WithRetryAfter(startingRetryAfter))
		return
	}
	if bound := table.Config().Limits.HeaderBytes; bound > 0 && size > bound {
		h.reject(w, in.RequestID, result.Refuse(result.HeaderTooLarge, "header has %d bytes, limit is %d", size, bound))
		return
	}
	route := table.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		h.reject(w, in.RequestID, result.Refuse(result.UnknownRoute, "no route for host %.64q and path %.128q", r.Host, r.URL.Path))
		return
	}
	call, account, refusal := h.accept(in, table, route)
	if refusal != nil {
		h.reject(w, in.RequestID, refusal)
		return
	}
	call.Header = in.Header
	gate := h.treeGates.forRoute(route.Host, route.Prefix)
	startedAt := h.p.node.Now()
	writer := gatedWriter{routeHandler: h, gate: gate, startedAt: startedAt, divided: h.divide(call)}
	writer.countReceived(call)
	ctx := r.Context()
	if refusal = h.admit(ctx, gate, call, route.Objective); refusal != nil {
		refusal = writer.withShare(startedAt, call, refusal)
		writer.countEnded(call, refusal.Code, 0)
		h.rejectCall(w, call, refusal)
		return
	}
	if call.Ctx.ParentID != "" {
		childCtx, stop := h.p.upstream.runs.bound(ctx, call.Ctx.ParentID)
		defer stop()
		ctx = childCtx
	}
	h.p.serve(ctx, exchange{w: w, r: r, writer: writer, usual: gate.responseTime.usualMax()}, call, account)
}

// admit decides on a call before it is started: by the quota of its workspace, and by the room for the
// calls that its route makes. Room is asked for last, since a promise for a request that the quota
// refuses would be kept from others.
func (h *routeHandler) admit(ctx context.Context, gate *treeGate, call *node.Call, objective time.Duration) *result.Refusal {
	reserving := h.p.reserving.Load()
	if !reserving {
		if refusal := gate.admit(h.p.node.Now(), call, objective); refusal != nil {
			return refusal
		}
	}
	if countsAgainstQuota(call) {
		if refusal := h.quota.Take(ctx, call.Ctx.Workspace); refusal != nil {
			return refusal
		}
	}
	if !reserving {
		return nil
	}
	refusal, decided := gate.reserve(ctx, h.p, call, objective)
	if !decided {
		refusal = gate.admit(h.p.node.Now(), call, objective)
	}
	if refusal != nil {
		h.returnQuota(call)
	}
	return refusal
}

// headerSize returns the size in bytes of the request line and the header as sent by the caller,
// without optional spaces.
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

// startingRetryAfter is the retry delay sent by a node that has no routes yet. Reading the store takes
// milliseconds, restarting the store a second.
const startingRetryAfter = time.Second

// accept creates the call of a request. A request with an API key is a new root whatever its request
// ID is; requests of the local upstream contain no API key.
func (h *routeHandler) accept(in RequestMetadata, table *routes.Table, route *routes.Entry) (*node.Call, *retry.Account, *result.Refusal) {
	request := node.RoutedRequest{
		RequestID:  in.RequestID,
		Workspace:  callctx.NoWorkspace,
		Level:      route.Level,
		Timeout:    route.Timeout,
		Idempotent: route.Idempotent,
		Retries:    route.MaxAttempts - 1,
		Caller:     in.RequestID,
	}
	if in.Timeout > 0 {
		request.Timeout = min(request.Timeout, in.Timeout)
	}
	parentID := ""
	if in.APIKey == "" || !table.NeedsKey(route) {
		parentID = h.p.upstream.runs.callOf(in.Parent)
		if parentID == "" && h.p.upstream.runs.wasCancelled(h.p.node.Now(), in.Parent) {
			h.p.node.Metrics().Inc(metrics.CallsOfCancelled, 1)
			return nil, nil, result.Refuse(result.ParentGone, "request %s was cancelled on this node", in.Parent)
		}
	}
	if parentID == "" && table.NeedsKey(route) {
		workspace := table.WorkspaceByKey(in.APIKey)
		if workspace == nil {
			return nil, nil, unknownKey(in.APIKey, table.Config().Version)
		}
		request.Workspace = workspace.Name
		if workspace.Level != nil {
			request.Level = *workspace.Level
		}
	}
	request.Service = route.Service()
	now := h.p.node.Now()
	if parentID == "" {
		call, account := h.p.node.Accept(now, request)
		return call, account, nil
	}
	if call, account, ok := h.p.node.AcceptChild(now, request, parentID); ok {
		return call, account, nil
	}
	return nil, nil, result.Refuse(result.ParentGone, "parent call %s is no longer running on this node", parentID)
}

func unknownKey(apiKey string, version int64) *result.Refusal {
	if apiKey == "" {
		return result.Refuse(result.UnknownKey, "request contains no API key, but version %d of the routes requires one", version)
	}
	return result.Refuse(result.UnknownKey, "version %d of the routes has no workspace with key %s", version, routes.KeyOf(apiKey))
}

// countsAgainstQuota reports whether a call consumes quota. Calls that an upstream makes belong to a
// request that was counted already.
func countsAgainstQuota(call *node.Call) bool {
	return call.Ctx.Depth == 0 && call.Ctx.Workspace != callctx.NoWorkspace
}

// reject refuses a request for which no call was created.
func (h *routeHandler) reject(w http.ResponseWriter, requestID string, refusal *result.Refusal) {
	h.p.node.RecordRejected("", "", requestID, refusal)
	h.edge.Refuse(w, refusal)
}

// rejectCall refuses a call that was not started.
func (h *routeHandler) rejectCall(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	h.p.node.RecordRejected(call.Ctx.Workspace, call.Ctx.Service, call.Ctx.RequestID, refusal)
	h.edge.Refuse(w, refusal)
}

// writeRefusal implements responseWriter.
func (h *routeHandler) writeRefusal(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	h.returnQuota(call)
	h.rejectCall(w, call, refusal)
}

func (h *routeHandler) returnQuota(call *node.Call) {
	if countsAgainstQuota(call) {
		h.quota.Return(call.Ctx.Workspace)
	}
}

// writeResponse implements responseWriter. The upstream's response is forwarded unchanged.
func (h *routeHandler) writeResponse(w http.ResponseWriter, call *node.Call, resp *node.Response) {
	if resp.Code.Ran() == result.RanNo {
		h.returnQuota(call)
	}
	if !resp.Complete() {
		h.edge.Refuse(w, resp.Refusal)
		return
	}
	header := w.Header()
	for name, values := range resp.Header {
		header[name] = values
	}
	if _, ok := header["Content-Type"]; !ok {
		header["Content-Type"] = nil
	}
	header.Set("Content-Length", strconv.Itoa(len(resp.Body)))
	w.WriteHeader(resp.Status)
	if call.Method != http.MethodHead {
		_, _ = w.Write(resp.Body)
	}
}

// maxBody returns the maximum size of the request body. In a deployment with routes, the routes in use
// set it.
func (p *Proxy) maxBody(call *node.Call) int64 {
	if p.routeHandler == nil {
		return p.node.MaxBody(call)
	}
	if t := p.Routes(); t != nil && t.Config().Limits.BodyBytes > 0 {
		return t.Config().Limits.BodyBytes
	}
	return defaultMaxRoutedBody
}

// defaultMaxRoutedBody is the maximum size of a body in bytes if the routes set none.
const defaultMaxRoutedBody = 16 << 20
