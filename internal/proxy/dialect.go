package proxy

import (
	"net/http"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Dialect defines the headers exchanged with an upstream. Its methods are called concurrently.
type Dialect interface {
	// Prepare appends the header fields that are sent with the call, in addition to those in its Header
	// and in place of those of the same names. It is called directly before the call is sent. remaining
	// is the time until the upstream has to respond.
	Prepare(fields []h1.Field, call *node.Call, remaining time.Duration) []h1.Field
	// Classify decides whether a response with this status and these headers belongs to the call;
	// h1.Unidentified if they don't tell.
	Classify(status int, h http.Header, call *node.Call) h1.Verdict
	// NotRun returns a refusal if the response promises that the upstream did not run the call;
	// nil otherwise.
	NotRun(status int, h http.Header) *result.Refusal
	// Notice returns what the upstream says about itself in a response with these headers. It returns
	// an error if a field can't be decoded.
	Notice(h http.Header) (routing.UpstreamNotice, error)
}

// headerRan is a response header. The value "no" on a 429 or 503 promises that the request had no
// effect. Without it a failed call is never reported as refused.
const headerRan = "Galena-Ran"

// defaultDialect is the Dialect of galenagrade's own headers.
type defaultDialect struct{}

// Prepare implements Dialect.
func (defaultDialect) Prepare(fields []h1.Field, call *node.Call, remaining time.Duration) []h1.Field {
	return append(fields,
		h1.Field{Name: callctx.HeaderContext, Value: call.Ctx.CallID},
		h1.Field{Name: callctx.HeaderWorkspace, Value: call.Ctx.Workspace},
		h1.Field{Name: callctx.HeaderPriority, Value: call.Ctx.Level.String()},
		h1.Field{Name: callctx.HeaderTimeout, Value: remaining.String()},
	)
}

// Classify implements Dialect.
func (defaultDialect) Classify(_ int, h http.Header, call *node.Call) h1.Verdict {
	got := h.Get(callctx.HeaderContext)
	if got == "" || got == call.Ctx.CallID {
		return h1.Accept
	}
	return h1.Skip
}

// NotRun implements Dialect.
func (defaultDialect) NotRun(status int, h http.Header) *result.Refusal {
	shed := status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests
	if shed && strings.EqualFold(h.Get(headerRan), string(result.RanNo)) {
		return result.Refuse(result.UpstreamShed, "the upstream shed the call with status %d", status)
	}
	return nil
}

// Notice implements Dialect.
func (defaultDialect) Notice(h http.Header) (routing.UpstreamNotice, error) {
	return routing.ParseNotice(h.Get(callctx.HeaderRateLimit), h.Get(callctx.HeaderLeaving) == "true")
}
