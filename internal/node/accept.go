package node

import (
	"cmp"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// Routed is what a route and the caller's headers say of a request.
type Routed struct {
	// RequestID is the caller's name of the request; one that is no valid name
	// is replaced.
	RequestID string
	Service   string
	// Workspace is whose request it is; callctx.NoWorkspace when that is not known.
	Workspace string
	Level     callctx.Level
	// Timeout is how long the caller may be kept waiting.
	Timeout    time.Duration
	Idempotent bool
	// Retries is how many further upstreams may be tried.
	Retries int
	// Caller spreads callers for shedding.
	Caller string
}

// Accept makes the call of a request that a route matched, and the account that
// pays its retries.
func (n *Node) Accept(now time.Time, r Routed) (*Call, *retry.Account) {
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

// ChildEnded tells the running call that made this one what its end says of the
// services behind, and what it failed for: the answer of the whole tree carries both
// to its entry, whose log line then names the deepest decision although that node's
// own line was one too many for its bound.
func (n *Node) ChildEnded(now time.Time, call *Call, a *Response) {
	if call.Ctx.ParentID == "" {
		return
	}
	n.guard.noteShedding(call.Ctx.ParentID, a.ShedsFrom, a.ShedsBy)
	n.guard.noteShedding(call.Ctx.ParentID, n.table.Load().ShedsFrom(now, call.Ctx.Service), call.Ctx.Service)
	if a.Good() {
		n.guard.noteServed(call.Ctx.ParentID)
		return
	}
	n.guard.noteCause(call.Ctx.ParentID, n.causeOf(call, a))
}

// causeOf is what the failure of call comes down to: what its answer says of the calls
// made for it, or that answer itself.
func (n *Node) causeOf(call *Call, a *Response) *result.Cause {
	if a.Cause != nil {
		return a.Cause
	}
	return &result.Cause{Code: a.Code, Service: call.Ctx.Service, Node: cmp.Or(a.Upstream, n.ID())}
}

// AcceptChild makes the call of a request that the local upstream made while it
// runs parent: the child is as important as its root, its time ends with its
// parent's, and the allowance of the whole tree pays its retries. It returns
// false when parent does not run here.
func (n *Node) AcceptChild(now time.Time, r Routed, parent string) (*Call, *retry.Account, bool) {
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
	call.HasPriorWork = n.guard.continues(parent)
	return call, account, true
}
