package history

import (
	"github.com/galenagrade/galenagrade/internal/result"
)

// Send is one sending of a request by a caller, and its end as the caller saw
// it.
type Send struct {
	// Request names the logical request; all its sendings share it.
	Request string `json:"request"`
	// Attempt names this sending, once in a history.
	Attempt string `json:"attempt"`
	Service string `json:"service"`
	// Code is the numbered result; 0 when no answer of the system arrived.
	Code result.Code `json:"code"`
	// Success says that the caller took the answer for a good one: a good
	// status, and a body that ended where it was announced to.
	Success bool `json:"success,omitempty"`
	// Whole says that the body of a success was complete in itself.
	Whole bool `json:"whole,omitempty"`
	// AnswerTo and AnswerFrom are the request and the service that the body of
	// a success names.
	AnswerTo   string `json:"answer_to,omitempty"`
	AnswerFrom string `json:"answer_from,omitempty"`
	// Err is what ended a sending without a success.
	Err string `json:"err,omitempty"`
}

// Run is one execution that an upstream began, by its own ledger.
type Run struct {
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	Path     string `json:"path"`
	Request  string `json:"request"`
	// Attempt is the caller's sending on whose behalf it ran.
	Attempt string `json:"attempt"`
	// Key is the idempotency key; empty when running twice does no harm.
	Key string `json:"key,omitempty"`
	// Killed says that the upstream died by it.
	Killed bool `json:"killed,omitempty"`
	// Done says that it ran to its end.
	Done bool `json:"done,omitempty"`
}

// Unbounded as the allowance of a root means that nothing bounds its retries.
const Unbounded = -1

// Retries counts the retries that were made for one root request over its
// whole tree.
type Retries struct {
	Root      string `json:"root"`
	Count     int    `json:"count"`
	Allowance int    `json:"allowance"`
}

// Version is the configuration version that a node had in force, in the order
// in which it was seen there. Version 0 is a node that has none yet.
type Version struct {
	Node    string `json:"node"`
	Version int64  `json:"version"`
}

// History is all that was recorded of one run.
type History struct {
	Sends    []Send
	Runs     []Run
	Retries  []Retries
	Versions []Version
}

// Property is one promise.
type Property string

// The promises that are checked.
const (
	// AtMostOnce: an operation under a key runs at most once.
	AtMostOnce Property = "at_most_once"
	// TrueRefusal: a sending that was answered `ran: no` ran nowhere.
	TrueRefusal Property = "true_refusal"
	// RightAnswer: every success is whole and answers its own request.
	RightAnswer Property = "right_answer"
	// BoundedRetries: the retries of a root stay within its allowance.
	BoundedRetries Property = "bounded_retries"
	// BoundedDeaths: one request kills at most MaxDeaths upstreams.
	BoundedDeaths Property = "bounded_deaths"
	// RisingVersions: the configuration in force at a node never goes back.
	RisingVersions Property = "rising_versions"
)

// MaxDeaths is how many upstreams one request may kill: after the second death
// it is quarantined.
const MaxDeaths = 2

// Properties returns all properties in the order in which they are checked.
func Properties() []Property {
	return []Property{AtMostOnce, TrueRefusal, RightAnswer, BoundedRetries, BoundedDeaths, RisingVersions}
}

// Violation is one break of a promise.
type Violation struct {
	Property Property `json:"property"`
	// Subject is the request, sending, root or node concerned.
	Subject string `json:"subject"`
	Detail  string `json:"detail"`
}

// Error implements error.
func (v Violation) Error() string {
	return string(v.Property) + ": " + v.Subject + ": " + v.Detail
}
