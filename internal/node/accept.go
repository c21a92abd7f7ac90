package node

import (
	"cmp"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// RoutedRequest holds what a route and the caller's headers specify for a request.
type RoutedRequest struct {
	// RequestID is the request ID sent by the caller; an invalid one is replaced.
	RequestID string
	Service   string
	// Workspace is the workspace that the request belongs to; callctx.NoWorkspace when unknown.
	Workspace string
	Level     callctx.Level
	// Timeout bounds how long the caller waits.
	Timeout    time.Duration
	Idempotent bool
	// Retries is the number of other upstreams that may be tried.
	Retries int
	// Caller identifies the caller. Its hash decides which callers are shed.
	Caller string
}

// Accept builds the call of a request that matched a route, and the account from which its
// retries are paid.
func (n *Node) Accept(now time.Time, r RoutedRequest) (*Call, *retry.Account) {
	id := n.NewID()
	call := &Call{Routed: true, Ctx: callctx.Context{
		RequestID:    r.RequestID,
		CallID:       id,
		Workspace:    r.Workspace,
		Service:      r.Service,
		Level:        r.Level,
		Deadline:     now.Add(r.Timeout),
		RootAdmitted: now,
		CallerHash:   callctx.HashCaller(r.Workspace, r.Caller),
		Idempotent:   r.Idempotent,
	}}
	if !callctx.ValidRequestID(r.RequestID) {
		call.Ctx.RequestID = id
	}
	n.cfg.Metrics.Inc(metrics.CallsReceived, 1)
	call.Sampled = n.Sampled(call.Ctx.RequestID)
	return call, retry.NewAccount(r.Retries)
}

// ChildEnded records the end of a call at the running call that made it: the threshold at which
// deeper services shed calls (see Response.ShedThreshold), and the root cause of a failure. The
// response of the whole tree carries both to the entry node. The log line of the entry node then
// names the root cause, even when the node that refused or failed the call dropped its own log line
// because of its rate limit.
func (n *Node) ChildEnded(now time.Time, call *Call, a *Response) {
	if call.Ctx.ParentID == "" {
		return
	}
	n.guard.noteShedding(call.Ctx.ParentID, a.ShedThreshold, a.SheddingService)
	if threshold, known := n.table.Load().ShedThreshold(now, call.Ctx.Service); known {
		n.guard.noteShedding(call.Ctx.ParentID, threshold, call.Ctx.Service)
	}
	if a.Succeeded() {
		n.guard.noteServed(call.Ctx.ParentID)
		return
	}
	n.guard.noteCause(call.Ctx.ParentID, n.causeOf(call, a))
}

// causeOf returns the root cause of a failed call: the cause that its response carries, or else
// the response itself.
func (n *Node) causeOf(call *Call, a *Response) *result.Cause {
	if a.Cause != nil {
		return a.Cause
	}
	return &result.Cause{Code: a.Code, Service: call.Ctx.Service, Node: cmp.Or(a.Upstream, n.ID())}
}

// AcceptChild builds the call of a request that the local upstream makes while it runs parent.
// The child has the level of its root, ends no later than its parent, and its retries are paid
// from the allowance of the whole tree. AcceptChild returns false when parent does not run on
// this node.
func (n *Node) AcceptChild(now time.Time, r RoutedRequest, parent string) (*Call, *retry.Account, bool) {
	running, account, ok := n.guard.parent(parent)
	if !ok {
		return nil, nil, false
	}
	call, _ := n.Accept(now, r)
	ctx := &call.Ctx
	ctx.ParentID = running.Ctx.CallID
	ctx.Workspace = running.Ctx.Workspace
	ctx.Level = running.Ctx.Level
	ctx.Depth = running.Ctx.Depth + 1
	ctx.RootAdmitted = running.Ctx.RootAdmitted
	ctx.CallerHash = running.Ctx.CallerHash
	if running.Ctx.Deadline.Before(ctx.Deadline) {
		ctx.Deadline = running.Ctx.Deadline
	}
	call.IsRetry = running.IsRetry
	call.HasPriorWork = n.guard.hasPriorWork(parent)
	call.Room = running.Room
	return call, account, true
}
