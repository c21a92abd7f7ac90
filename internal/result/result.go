// Package result holds the numbered outcomes of a call and the document that
// explains a refusal to a caller. The numbers are part of the interface:
// docs/RESULT_CODES.md lists them and a test compares the two.
package result

import (
	"fmt"
	"time"
)

// Ran says whether a call took effect at an upstream.
type Ran string

const (
	// RanNo is a promise: nothing of the call took effect anywhere.
	RanNo Ran = "no"
	// RanUnknown means that an upstream may have run the call.
	RanUnknown Ran = "unknown"
	// RanYes means that an upstream ran the call to an answer.
	RanYes Ran = "yes"
)

// Code is a numbered outcome. 1xxx: answered; 2xxx: refused by load or state,
// not run; 3xxx: outcome unknown; 4xxx: the request itself is at fault, not
// run; 5xxx: an upstream ran it and failed.
type Code int

const (
	// OK is a whole answer.
	OK Code = 1000
	// Replayed is the kept answer of an earlier attempt with the same key.
	Replayed Code = 1001

	// Shed means that the guard was full and the class or caller was shed.
	Shed Code = 2001
	// DeadlineTooNear means that too little time was left to run the call.
	DeadlineTooNear Code = 2002
	// QueueExpired means that the call waited in the queue beyond its bound.
	QueueExpired Code = 2003
	// Draining means that the upstream is leaving and takes no new work.
	Draining Code = 2004
	// NoUpstream means that no live upstream of the service is known.
	NoUpstream Code = 2005
	// Quarantined means that the request is suspected of crashing upstreams.
	Quarantined Code = 2006
	// OwnedElsewhere means that another guard owns the idempotency key.
	OwnedElsewhere Code = 2007
	// NoAuthority means that at-most-once could not be assured: the owner of
	// the key lacks a fresh proof, or the log did not take a claim.
	NoAuthority Code = 2008
	// Unreachable means that no connection to a chosen upstream was made.
	Unreachable Code = 2010
	// Starting means that the node does not know its configuration yet.
	Starting Code = 2011
	// ParentGone means that the call that made this one is no longer running.
	ParentGone Code = 2012
	// Cancelled means that the caller left before the call was run.
	Cancelled Code = 2013
	// ShedEarly means that every candidate was known to shed this class.
	ShedEarly Code = 2014
	// RetryBudgetExhausted means that the guard has let through as many repeats as the
	// service may get at present.
	RetryBudgetExhausted Code = 2015
	// QuotaExceeded means that the workspace asks for more than its quota.
	QuotaExceeded Code = 2016
	// QuotaUnknown means that no node answered that holds a part of the workspace's
	// quota.
	QuotaUnknown Code = 2017

	// LostAnswer means that the call was sent and no whole answer came back.
	LostAnswer Code = 3001
	// DeadlinePassed means that the deadline passed while the call ran.
	DeadlinePassed Code = 3002
	// OutcomeUnknown means that an earlier owner of the key may have run it.
	OutcomeUnknown Code = 3003
	// AnswerMismatch means that an answer for another call came back.
	AnswerMismatch Code = 3004
	// AnswerCut means that the answer ended before its announced length.
	AnswerCut Code = 3005
	// CancelledRunning means that the caller left while the call ran.
	CancelledRunning Code = 3006

	// BadContext means that a header of the request could not be decoded.
	BadContext Code = 4001
	// UnknownService means that no instance covers the workspace and service.
	UnknownService Code = 4002
	// KeyReused means that the key came before with a different body.
	KeyReused Code = 4003
	// BodyTooLarge means that a body exceeds what can be held for the call.
	BodyTooLarge Code = 4004
	// KeyRequired means that the template demands an idempotency key.
	KeyRequired Code = 4005
	// TooDeep means that the call chain exceeds its depth bound.
	TooDeep Code = 4006
	// Unauthorized means that the token does not cover the workspace.
	Unauthorized Code = 4007
	// UnknownRoute means that no route covers the host and path.
	UnknownRoute Code = 4008
	// HeaderTooLarge means that a header exceeds what the routes allow.
	HeaderTooLarge Code = 4009
	// UnknownKey means that no workspace holds the caller's API key.
	UnknownKey Code = 4010

	// UpstreamFailed means that the upstream answered with a server error.
	UpstreamFailed Code = 5001
	// UpstreamShed means that the upstream itself refused the call as
	// overloaded. The upstreams' contract is that such a call did not run.
	UpstreamShed Code = 5002
)

// info is the fixed description of a code.
type info struct {
	name   string
	ran    Ran
	status int
	help   string
}

var table = map[Code]info{
	OK:                   {"ok", RanYes, 200, "whole answer from an upstream"},
	Replayed:             {"replayed", RanYes, 200, "kept answer of an earlier attempt with the same key"},
	Shed:                 {"shed", RanNo, 503, "guard is full; lower classes and whole callers are shed first"},
	DeadlineTooNear:      {"deadline_too_near", RanNo, 504, "less time left than the service usually takes"},
	QueueExpired:         {"queue_expired", RanNo, 503, "waited in the guard's queue beyond its bound"},
	Draining:             {"draining", RanNo, 503, "upstream is leaving"},
	NoUpstream:           {"no_upstream", RanNo, 503, "no live upstream of the service is known"},
	Quarantined:          {"quarantined", RanNo, 503, "request is suspected of crashing upstreams"},
	OwnedElsewhere:       {"owned_elsewhere", RanNo, 503, "another guard owns the key"},
	NoAuthority:          {"no_authority", RanNo, 503, "at-most-once cannot be assured at present"},
	Unreachable:          {"unreachable", RanNo, 503, "no connection to the chosen upstream"},
	Starting:             {"starting", RanNo, 503, "node does not know its configuration yet"},
	ParentGone:           {"parent_gone", RanNo, 503, "the call that made this one is no longer running"},
	Cancelled:            {"cancelled", RanNo, 499, "caller left before the call was run"},
	ShedEarly:            {"shed_early", RanNo, 503, "every candidate upstream is known to shed this class"},
	RetryBudgetExhausted: {"repeats_spent", RanNo, 503, "service gets as many repeats as it may"},
	QuotaExceeded:        {"quota_spent", RanNo, 429, "the workspace asks for more than its quota"},
	QuotaUnknown:         {"quota_unknown", RanNo, 503, "no node with a part of the workspace's quota answered"},
	LostAnswer:           {"lost_answer", RanUnknown, 502, "sent, and no whole answer came back"},
	DeadlinePassed:       {"deadline_passed", RanUnknown, 504, "deadline passed while the call ran"},
	OutcomeUnknown:       {"outcome_unknown", RanUnknown, 503, "an earlier owner of the key may have run it"},
	AnswerMismatch:       {"answer_mismatch", RanUnknown, 502, "answer for another call came back"},
	AnswerCut:            {"answer_cut", RanUnknown, 502, "answer ended before its announced length"},
	CancelledRunning:     {"cancelled_running", RanUnknown, 499, "caller left while the call ran"},
	BadContext:           {"bad_context", RanNo, 400, "a header of the request cannot be decoded"},
	UnknownService:       {"unknown_service", RanNo, 404, "no instance covers the workspace and service"},
	KeyReused:            {"key_reused", RanNo, 422, "the key came before with a different body"},
	BodyTooLarge:         {"body_too_large", RanNo, 413, "body exceeds the bound of a held call"},
	KeyRequired:          {"key_required", RanNo, 400, "template demands an Idempotency-Key"},
	TooDeep:              {"too_deep", RanNo, 508, "call chain exceeds its depth bound"},
	Unauthorized:         {"unauthorized", RanNo, 403, "token does not cover the workspace"},
	UnknownRoute:         {"unknown_route", RanNo, 404, "no route covers the host and path"},
	HeaderTooLarge:       {"header_too_large", RanNo, 431, "header exceeds the bound in force"},
	UnknownKey:           {"unknown_key", RanNo, 401, "no workspace holds the API key"},
	UpstreamFailed:       {"upstream_failed", RanYes, 502, "upstream ran the call and failed"},
	UpstreamShed:         {"upstream_shed", RanNo, 503, "upstream itself refused the call as overloaded"},
}

// Codes returns every code in ascending order of its class as declared.
func Codes() []Code {
	codes := make([]Code, 0, len(table))
	for c := range table {
		codes = append(codes, c)
	}
	sortCodes(codes)
	return codes
}

// String returns the code's name, or its number when it is not declared.
func (c Code) String() string {
	if i, ok := table[c]; ok {
		return i.name
	}
	return fmt.Sprintf("code_%d", int(c))
}

// Ran reports what the code says about the call's effect; an undeclared code
// says RanUnknown, since it must never be taken for a promise.
func (c Code) Ran() Ran {
	if i, ok := table[c]; ok {
		return i.ran
	}
	return RanUnknown
}

// HTTPStatus returns the status sent to a caller with this code.
func (c Code) HTTPStatus() int {
	if i, ok := table[c]; ok {
		return i.status
	}
	return 500
}

// Help returns one line for operators.
func (c Code) Help() string { return table[c].help }

// Refusal is the error carried through the node for every call without a whole
// answer. It is immutable once made.
type Refusal struct {
	Code Code
	// Detail names the limit and the figure that decided.
	Detail string
	// RetryAfter is when the caller may usefully come back; 0 when unknown.
	RetryAfter time.Duration
	// AllFull says that the sender knows of no upstream that would take it:
	// trying another one is useless.
	AllFull bool
	// Owner is the inner address to ask instead, with OwnedElsewhere.
	Owner string
}

// Refuse makes a refusal with a formatted detail.
func Refuse(code Code, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Detail: fmt.Sprintf(format, args...)}
}

// After returns a copy of r with the time to come back.
func (r *Refusal) After(d time.Duration) *Refusal {
	c := *r
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%d %s (ran: %s): %s", int(r.Code), r.Code, r.Code.Ran(), r.Detail)
}
