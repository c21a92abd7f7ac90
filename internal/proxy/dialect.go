package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Dialect is how an upstream is spoken to. It is called concurrently.
type Dialect interface {
	// Prepare sets the headers of a request right before it is sent; remaining
	// is the time left to its deadline.
	Prepare(h http.Header, call *node.Call, remaining time.Duration)
	// Matches reports whether an answer with these headers belongs to the call.
	Matches(h http.Header, call *node.Call) bool
	// NotRun returns a refusal when the answer promises that the upstream did
	// not run the call; nil otherwise.
	NotRun(status int, h http.Header) *result.Refusal
}

// headerRan set to "no" by an upstream on a 429 or 503 promises that the request
// had no effect. Without it a failure is never taken for a refusal.
const headerRan = "Galena-Ran"

// ownDialect is the product's own.
type ownDialect struct{}

// Prepare implements Dialect.
func (ownDialect) Prepare(h http.Header, call *node.Call, remaining time.Duration) {
	h.Set(callctx.HeaderContext, call.Ctx.CallID)
	h.Set(callctx.HeaderWorkspace, call.Ctx.Workspace)
	h.Set(callctx.HeaderPriority, call.Ctx.Level.String())
	h.Set(callctx.HeaderTimeout, remaining.String())
}

// Matches implements Dialect.
func (ownDialect) Matches(h http.Header, call *node.Call) bool {
	got := h.Get(callctx.HeaderContext)
	return got == "" || got == call.Ctx.CallID
}

// NotRun implements Dialect.
func (ownDialect) NotRun(status int, h http.Header) *result.Refusal {
	shed := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if shed && strings.EqualFold(h.Get(headerRan), string(result.RanNo)) {
		return result.Refuse(result.UpstreamShed, "the upstream shed the call with status %d", status)
	}
	return nil
}
