package node

import (
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Call is one attempt of a request, as it is sent to a guard. It is immutable once sent.
type Call struct {
	Ctx callctx.Context
	// Method and Target (path and query) are those of the caller's request.
	Method, Target string
	// Host is the Host header of the caller's request; when empty, the upstream's address is
	// used.
	Host string
	// Routed means that the request was matched by a route and not by a template.
	Routed bool
	// IsRetry means that an earlier attempt may have reached an upstream, or that the call was
	// made by a run that was itself a retry.
	IsRetry bool
	// HasPriorWork means that earlier calls of the same root, or of the run that makes this
	// call, were already served.
	HasPriorWork bool
	// Reattach means that an earlier transmission of the same call ID got no response.
	Reattach bool
	// Origin is the sender of the call and its number there, by which a guard recognises a second
	// transmission of a call that it has forgotten. Idempotent calls have none.
	Origin dedup.Origin
	// Sampled means that the call's events are recorded, because it was sampled, or was refused
	// or retried on the way.
	Sampled bool
	// Room marks a call of a tree for which a guard promised room.
	Room RoomGrant
	// Header holds only the headers that are sent on to the upstream.
	Header   http.Header
	Body     []byte
	BodyHash uint64
	// Allowance is the share of the retry allowance that is sent with the call.
	Allowance int
	// KnownNotice is what the upstream at the guard said about itself to the sender of the call; nil if the
	// sender knows nothing.
	KnownNotice *routing.ProcessNotice
	// CrashRecords are the records of upstreams that crashed while running this request.
	CrashRecords []quarantine.CrashRecord
	// HandBacks is how many times the call may be handed back while it waits; 0 if its sender does
	// not take it back.
	HandBacks int
	// FinishBy is when the upstream has to respond because the node that took the request stops; zero if
	// that is not before the deadline.
	FinishBy time.Time
	// Spare is what the sender knows of free slots at the upstreams of the service; sent only with HandBacks.
	Spare handback.SpareSlots
}

// EndsBy returns the time after which the response of the upstream is of no use.
func (c *Call) EndsBy() time.Time {
	if !c.FinishBy.IsZero() && c.FinishBy.Before(c.Ctx.Deadline) {
		return c.FinishBy
	}
	return c.Ctx.Deadline
}

// Remaining returns the time until EndsBy; 0 after it.
func (c *Call) Remaining(now time.Time) time.Duration { return max(0, c.EndsBy().Sub(now)) }

// HashBody returns the hash by which two bodies sent with the same key are compared.
func HashBody(body []byte) uint64 { return xxhash.Sum64(body) }

// Fingerprint identifies requests that are expected to crash an upstream in the same way: same
// service, method, path and body, regardless of caller, key and call ID.
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

// Keyed reports whether the call must run at most once under its idempotency key.
func (c *Call) Keyed() bool { return !c.Ctx.Idempotent && c.Ctx.Key != "" }

// IdempotencyKey returns the key under which a keyed call runs at most once.
func (c *Call) IdempotencyKey() idempotency.Key {
	return idempotency.Key{Workspace: c.Ctx.Workspace, Service: c.Ctx.Service, Key: c.Ctx.Key}
}

// Response is the outcome of one attempt: a complete response or a refusal.
type Response struct {
	CallID string
	Code   result.Code
	// Status, Header and Body are set when Refusal is nil.
	Status int
	Header http.Header
	Body   []byte
	// Refusal is set when the response is not complete.
	Refusal *result.Refusal
	// ShedThreshold is the lowest threshold of the deeper services that this call reached. Such a
	// service sheds calls whose admission.Rank is not below its threshold; routing.NoThreshold
	// when none sheds calls.
	ShedThreshold uint32
	// SheddingService is the deeper service with that threshold; empty when none sheds calls.
	SheddingService string
	// Cause is the root cause of a failure when a call that the upstream made for this one failed;
	// nil when none did.
	Cause *result.Cause
	// UnusedAllowance is the part of the call's allowance that was not spent and is returned to the
	// sender.
	UnusedAllowance int
	// Load is the load report of the guard; nil when the response carried none.
	Load *routing.LoadReport
	// Notice is what the local upstream said about itself in its response to this call; nil when it
	// did not respond or its notice is invalid. It is not sent to other nodes.
	Notice *routing.UpstreamNotice
	// Upstream is the node that produced the response; empty when none did.
	Upstream string
	// Crashed is the incarnation of the upstream that crashed while it ran the call; 0 when
	// none did.
	Crashed uint64
}

// Refused returns the response of a call that ends with a refusal.
func Refused(callID string, r *result.Refusal) *Response {
	return &Response{CallID: callID, Code: r.Code, Refusal: r, ShedThreshold: routing.NoThreshold}
}

// Succeeded reports whether the upstream responded with success or the response is replayed.
func (a *Response) Succeeded() bool { return a.Code == result.OK || a.Code == result.Replayed }

// Complete reports whether the response is complete and may be passed to the caller unchanged.
func (a *Response) Complete() bool { return a.Refusal == nil }
