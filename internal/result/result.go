// Package result defines the result codes of calls and the problem document sent to a caller
// with a refusal. The codes are part of the public interface: a test compares them with
// docs/RESULT_CODES.md.
package result

import (
	"fmt"
	"time"
)

// Ran reports whether a call took effect at an upstream.
type Ran string

const (
	// RanNo guarantees that the call took effect nowhere, so that it is safe to send again.
	RanNo Ran = "no"
	// RanUnknown means that an upstream may have run the call.
	RanUnknown Ran = "unknown"
	// RanYes means that an upstream ran the call and responded.
	RanYes Ran = "yes"
)

// Code is the numeric result of a call. 1xxx: answered; 2xxx: refused because of load or state,
// not run; 3xxx: outcome unknown; 4xxx: the request is invalid, not run; 5xxx: an upstream ran
// the call and failed.
type Code int

const (
	// OK means that an upstream returned a complete response.
	OK Code = 1000
	// Replayed means that the stored response of an earlier attempt with the same key was
	// returned.
	Replayed Code = 1001

	// Shed means that the guard was at its limit and shed the call's level or caller.
	Shed Code = 2001
	// DeadlineTooNear means that too little time was left to run the call.
	DeadlineTooNear Code = 2002
	// QueueExpired means that the call waited in the queue longer than its limit.
	QueueExpired Code = 2003
	// Draining means that the upstream is shutting down and accepts no new calls.
	Draining Code = 2004
	// NoUpstream means that no live upstream of the service is known.
	NoUpstream Code = 2005
	// Quarantined means that the request is suspected of crashing upstreams.
	Quarantined Code = 2006
	// OwnedElsewhere means that another guard owns the idempotency key.
	OwnedElsewhere Code = 2007
	// NoAuthority means that at-most-once execution could not be guaranteed: the owner of the
	// key has no recent proof of its authority, or the log did not accept a claim.
	NoAuthority Code = 2008
	// Unreachable means that no connection to the chosen upstream could be opened.
	Unreachable Code = 2010
	// Starting means that the node has not received its configuration yet.
	Starting Code = 2011
	// ParentGone means that the parent call, which made this one, is no longer running.
	ParentGone Code = 2012
	// Cancelled means that the caller cancelled the call before it was run.
	Cancelled Code = 2013
	// ShedEarly means that every candidate upstream is known to shed the call's level or
	// caller.
	ShedEarly Code = 2014
	// RetryBudgetExhausted means that the guard has used up its retry budget for the service.
	RetryBudgetExhausted Code = 2015
	// QuotaExceeded means that the workspace exceeds its quota.
	QuotaExceeded Code = 2016
	// QuotaUnknown means that none of the nodes that hold a part of the workspace's quota
	// responded.
	QuotaUnknown Code = 2017
	// HandedBack means that the guard returned a waiting call to its sender, because another
	// upstream has a free slot.
	HandedBack Code = 2018

	// LostAnswer means that the call was sent and no complete response was received.
	LostAnswer Code = 3001
	// DeadlinePassed means that the deadline passed while the call ran.
	DeadlinePassed Code = 3002
	// OutcomeUnknown means that an earlier owner of the key may have run the call.
	OutcomeUnknown Code = 3003
	// AnswerMismatch means that the response received belongs to another call.
	AnswerMismatch Code = 3004
	// AnswerCut means that the response ended before its announced length.
	AnswerCut Code = 3005
	// CancelledRunning means that the caller cancelled the call while it ran.
	CancelledRunning Code = 3006

	// BadContext means that a header of the request could not be decoded.
	BadContext Code = 4001
	// UnknownService means that the workspace has no instance for the service.
	UnknownService Code = 4002
	// KeyReused means that the key was used before with a different body.
	KeyReused Code = 4003
	// BodyTooLarge means that a body exceeds the maximum size in bytes that a node accepts for a call.
	BodyTooLarge Code = 4004
	// KeyRequired means that the template requires an idempotency key.
	KeyRequired Code = 4005
	// TooDeep means that the call chain exceeds its depth bound.
	TooDeep Code = 4006
	// Unauthorized means that the token is missing or unknown, has the wrong role, or grants no
	// access to the workspace.
	Unauthorized Code = 4007
	// UnknownRoute means that no route matches the host and path.
	UnknownRoute Code = 4008
	// HeaderTooLarge means that a header exceeds what the routes allow.
	HeaderTooLarge Code = 4009
	// UnknownKey means that the caller's API key belongs to no workspace.
	UnknownKey Code = 4010

	// UpstreamFailed means that the upstream responded with a server error.
	UpstreamFailed Code = 5001
	// UpstreamShed means that the upstream itself refused the call as overloaded. The contract
	// with upstreams says that they do not run such a call.
	UpstreamShed Code = 5002
)

// info describes a code.
type info struct {
	name   string
	ran    Ran
	status int
	help   string
}

var codeInfo = map[Code]info{
	OK:                   {"ok", RanYes, 200, "complete response from an upstream"},
	Replayed:             {"replayed", RanYes, 200, "stored response of an earlier attempt with the same key"},
	Shed:                 {"shed", RanNo, 503, "guard is at its limit and sheds low levels first, then all calls of some callers"},
	DeadlineTooNear:      {"deadline_too_near", RanNo, 504, "time until the deadline is too short to run the call"},
	QueueExpired:         {"queue_expired", RanNo, 503, "waited in the guard's queue longer than the maximum wait"},
	Draining:             {"draining", RanNo, 503, "upstream is draining and accepts no new calls"},
	NoUpstream:           {"no_upstream", RanNo, 503, "no live upstream of the service is known"},
	Quarantined:          {"quarantined", RanNo, 503, "request is suspected of crashing upstreams"},
	OwnedElsewhere:       {"owned_elsewhere", RanNo, 503, "another guard owns the key"},
	NoAuthority:          {"no_authority", RanNo, 503, "at-most-once execution cannot be guaranteed now"},
	Unreachable:          {"unreachable", RanNo, 503, "no connection to the chosen upstream"},
	Starting:             {"starting", RanNo, 503, "node has not received its configuration yet"},
	ParentGone:           {"parent_gone", RanNo, 503, "the call that made this one is no longer running"},
	Cancelled:            {"cancelled", RanNo, 499, "caller cancelled the call before it was run"},
	ShedEarly:            {"shed_early", RanNo, 503, "every candidate upstream is known to shed the call's level or caller"},
	RetryBudgetExhausted: {"repeats_spent", RanNo, 503, "guard has used up its retry budget for the service"},
	QuotaExceeded:        {"quota_spent", RanNo, 429, "workspace exceeds its quota"},
	QuotaUnknown:         {"quota_unknown", RanNo, 503, "no node with a part of the workspace's quota responded"},
	HandedBack:           {"handed_back", RanNo, 503, "waited at a guard while another upstream had a free slot, and was given back"},
	LostAnswer:           {"lost_answer", RanUnknown, 502, "call was sent and no complete response was received"},
	DeadlinePassed:       {"deadline_passed", RanUnknown, 504, "deadline passed while the call ran"},
	OutcomeUnknown:       {"outcome_unknown", RanUnknown, 503, "an earlier owner of the key may have run the call"},
	AnswerMismatch:       {"answer_mismatch", RanUnknown, 502, "response received belongs to another call"},
	AnswerCut:            {"answer_cut", RanUnknown, 502, "response ended before its announced length"},
	CancelledRunning:     {"cancelled_running", RanUnknown, 499, "caller cancelled the call while it ran"},
	BadContext:           {"bad_context", RanNo, 400, "a header of the request cannot be decoded"},
	UnknownService:       {"unknown_service", RanNo, 404, "workspace has no instance for the service"},
	KeyReused:            {"key_reused", RanNo, 422, "key was used before with a different body"},
	BodyTooLarge:         {"body_too_large", RanNo, 413, "body exceeds the maximum size of a call"},
	KeyRequired:          {"key_required", RanNo, 400, "template requires an Idempotency-Key header"},
	TooDeep:              {"too_deep", RanNo, 508, "call chain exceeds its depth bound"},
	Unauthorized:         {"unauthorized", RanNo, 403, "token is missing or unknown, has the wrong role or grants no access to the workspace"},
	UnknownRoute:         {"unknown_route", RanNo, 404, "no route matches the host and path"},
	HeaderTooLarge:       {"header_too_large", RanNo, 431, "header exceeds the limit of the routes"},
	UnknownKey:           {"unknown_key", RanNo, 401, "API key belongs to no workspace"},
	UpstreamFailed:       {"upstream_failed", RanYes, 502, "upstream ran the call and failed"},
	UpstreamShed:         {"upstream_shed", RanNo, 503, "upstream itself refused the call as overloaded"},
}

// Codes returns all declared codes in ascending order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeInfo))
	for c := range codeInfo {
		codes = append(codes, c)
	}
	sortCodes(codes)
	return codes
}

// String returns the code's name, or its number when it is not declared.
func (c Code) String() string {
	if i, ok := codeInfo[c]; ok {
		return i.name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Ran reports whether a call with this code took effect. An undeclared code returns RanUnknown,
// because it guarantees nothing.
func (c Code) Ran() Ran {
	if i, ok := codeInfo[c]; ok {
		return i.ran
	}
	return RanUnknown
}

// HTTPStatus returns the HTTP status sent to a caller with this code; 500 for an undeclared
// one.
func (c Code) HTTPStatus() int {
	if i, ok := codeInfo[c]; ok {
		return i.status
	}
	return 500
}

// Help returns a one-line description for operators; empty for an undeclared code.
func (c Code) Help() string { return codeInfo[c].help }

// Refusal is the error of a call that ends without a complete response. It is immutable once
// made.
type Refusal struct {
	Code Code
	// Detail states the reason, with the limit and the value that was compared with it.
	Detail string
	// RetryAfter is the delay after which a retry is useful; 0 when unknown.
	RetryAfter time.Duration
	// AllFull means that the sender knows of no upstream that would accept the call; trying
	// another one is useless.
	AllFull bool
	// Owner is the inner address of the key's owner; set with OwnedElsewhere.
	Owner string
}

// Refuse returns a refusal with a formatted detail.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of r with RetryAfter set to d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", int(r.Code), r.Code, r.Code.Ran(), r.Detail)
}
