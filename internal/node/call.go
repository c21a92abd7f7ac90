package node

import (
	"net/http"

	"github.com/cespare/xxhash/v2"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Call is one attempt of a request on its way to a guard. It is immutable once
// handed on.
type Call struct {
	Ctx callctx.Context
	// Method and Target (path and query) as the caller sent them.
	Method, Target string
	// Host is the Host of the caller's request; empty leaves the upstream's
	// address.
	Host string
	// Routed says that a route matched the request, and no template.
	Routed bool
	// IsRetry says that an earlier attempt may have reached an upstream, or that
	// the call was made by a run that was itself a repeat.
	IsRetry bool
	// HasPriorWork says that calls were served already that the same root, or the run that
	// makes this call, made before.
	HasPriorWork bool
	// Header holds only what goes on to the upstream.
	Header   http.Header
	Body     []byte
	BodyHash uint64
	// Allowance is the share of the retry allowance that travels along.
	Allowance int
	// CrashRecords are the records of upstreams that died running this request.
	CrashRecords []quarantine.CrashRecord
	// Reattach says that an earlier sending of the same call ID got no answer.
	Reattach bool
	// Sampled says that the call's events are kept, by sample or because it was
	// refused or retried on the way.
	Sampled bool
}

// HashBody returns the hash by which two bodies under one key are compared.
func HashBody(body []byte) uint64 { return xxhash.Sum64(body) }

// Fingerprint identifies requests that would crash an upstream alike: same
// service, method, path and body, whatever their caller, key or call ID.
func (c *Call) Fingerprint() quarantine.Fingerprint {
	d := xxhash.New()
	for _, part := range []string{c.Ctx.Service, c.Method, c.Target} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	var b [8]byte
	for i := range b {
		b[i] = byte(c.BodyHash >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return quarantine.Fingerprint(d.Sum64())
}

// Keyed reports whether the call runs at most once under its key.
func (c *Call) Keyed() bool { return !c.Ctx.Idempotent && c.Ctx.Key != "" }

// IdempotencyKey is the key under which a keyed call runs at most once.
func (c *Call) IdempotencyKey() idempotency.Key {
	return idempotency.Key{Workspace: c.Ctx.Workspace, Service: c.Ctx.Service, Key: c.Ctx.Key}
}

// Response is the end of one attempt: whole, or a refusal.
type Response struct {
	CallID string
	Code   result.Code
	// Status, Header and Body are set when Refusal is nil.
	Status int
	Header http.Header
	Body   []byte
	// Refusal explains every answer that is not whole.
	Refusal *result.Refusal
	// ShedsFrom is the lowest rank from which on the services behind this one
	// shed calls, as far as this call met them; routing.NoThreshold when they shed
	// none.
	ShedsFrom uint32
	// ShedsBy names the service that sheds from there on; empty when none does.
	ShedsBy string
	// Cause is what an answer that isn't good comes down to, where a call made for
	// it failed; nil when none did.
	Cause *result.Cause
	// Unused is the part of the travelled allowance that comes home.
	Unused int
	// Load is what the guard said about itself; nil when it said nothing.
	Load *routing.LoadReport
	// Upstream is the node that produced the answer; empty when none did.
	Upstream string
	// Crashed is the incarnation of the upstream that died while it ran the
	// call; 0 when none did.
	Crashed uint64
}

// Refused makes the answer of a call that ends without a whole one.
func Refused(callID string, r *result.Refusal) *Response {
	return &Response{CallID: callID, Code: r.Code, Refusal: r, ShedsFrom: routing.NoThreshold}
}

// Good reports whether the upstream's answer is no failure.
func (a *Response) Good() bool { return a.Code == result.OK || a.Code == result.Replayed }

// Whole reports whether the answer may be given to the caller as it is.
func (a *Response) Whole() bool { return a.Refusal == nil }
