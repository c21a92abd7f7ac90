package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/node"
)

// maxCancelledRuns bounds the cancelled runs that are kept, some 150 bytes each.
const maxCancelledRuns = 4096

// runs are the calls that the local upstream runs, and those that were cancelled before their deadline.
// It is safe for concurrent use.
type runs struct {
	mu sync.Mutex
	// running holds the contexts of the calls by call ID.
	running map[string]*lifetime.Context
	// byRequest maps the request ID of a caller to the running call ID.
	byRequest map[string]string
	// cancelled holds the request IDs of cancelled calls and their deadlines. Until then an upstream that
	// does not stop at once may make calls for them.
	cancelled map[string]time.Time
	// oldest are the request IDs of cancelled, the oldest first. One that ran again may be in it twice.
	oldest []string
}

func newRuns() runs {
	return runs{
		running:   make(map[string]*lifetime.Context),
		byRequest: make(map[string]string),
		cancelled: make(map[string]time.Time),
	}
}

// begin adds a call that runs until ctx ends.
func (r *runs) begin(ctx *lifetime.Context, call *node.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[call.Ctx.CallID] = ctx
	r.byRequest[call.Ctx.RequestID] = call.Ctx.CallID
	delete(r.cancelled, call.Ctx.RequestID)
}

// end removes a call. err is that of its context.
func (r *runs) end(now time.Time, call *node.Call, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.running, call.Ctx.CallID)
	if r.byRequest[call.Ctx.RequestID] != call.Ctx.CallID {
		return
	}
	delete(r.byRequest, call.Ctx.RequestID)
	r.expireLocked(now)
	if err == context.Canceled {
		r.cancelled[call.Ctx.RequestID] = call.Ctx.Deadline
		r.oldest = append(r.oldest, call.Ctx.RequestID)
	}
}

// expireLocked removes cancelled calls whose deadlines have passed, and the oldest of too many.
func (r *runs) expireLocked(now time.Time) {
	for len(r.oldest) > 0 {
		id := r.oldest[0]
		if now.Before(r.cancelled[id]) && len(r.oldest) < maxCancelledRuns {
			return
		}
		delete(r.cancelled, id)
		r.oldest = r.oldest[1:]
	}
}

// callOf returns the ID of the running call for a request ID of a caller; empty if there is none.
func (r *runs) callOf(requestID string) string {
	if requestID == "" {
		return ""
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byRequest[requestID]
}

// wasCancelled reports whether the call for a request ID was cancelled and its deadline has not passed.
func (r *runs) wasCancelled(now time.Time, requestID string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	deadline, ok := r.cancelled[requestID]
	return ok && now.Before(deadline)
}

// bound returns a context for a call that a running call makes. It ends with that call, since the result is
// not needed any more; at once if the call has ended.
func (r *runs) bound(ctx context.Context, parentID string) (context.Context, func()) {
	r.mu.Lock()
	parent, ok := r.running[parentID]
	r.mu.Unlock()
	child := lifetime.WithDeadline(ctx, time.Time{})
	if !ok {
		child.Cancel()
		return child, func() {}
	}
	parent.Attach(child)
	return child, func() { parent.Detach(child); child.Cancel() }
}
