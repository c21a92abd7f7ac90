package history

import (
	"github.com/galenagrade/galenagrade/internal/result"
)

// Send is one attempt of a caller to send a request, and its outcome as seen by the caller.
type Send struct {
	// Request is the ID of the logical request, which all its attempts share.
	Request string `json:"request"`
	// Attempt is the ID of this attempt, unique within a history.
	Attempt string `json:"attempt"`
	// Service is the name of the requested service.
	Service string `json:"service"`
	// Code is the result code, or 0 if no response of the system arrived.
	Code result.Code `json:"code"`
	// Success reports whether the caller accepted the response: a successful status, and a body of
	// the announced length.
	Success bool `json:"success,omitempty"`
	// BodyComplete reports whether the content of a successful response's body was complete.
	BodyComplete bool `json:"whole,omitempty"`
	// ResponseRequest and ResponseService are the request ID and the service contained in the body
	// of a successful response.
	ResponseRequest string `json:"answer_to,omitempty"`
	ResponseService string `json:"answer_from,omitempty"`
	// Err is the error of an unsuccessful attempt.
	Err string `json:"err,omitempty"`
}

// Run is one execution started by an upstream, as recorded by the upstream.
type Run struct {
	// Upstream is the ID of the upstream, and Service the service that it provides.
	Upstream string `json:"upstream"`
	Service  string `json:"service"`
	// Path is the path of the executed request.
	Path string `json:"path"`
	// Request is the ID of the logical request.
	Request string `json:"request"`
	// Attempt is the ID of the caller's attempt that caused the execution.
	Attempt string `json:"attempt"`
	// Key is the idempotency key. It is empty if the operation is idempotent.
	Key string `json:"key,omitempty"`
	// Killed reports whether the execution crashed the upstream.
	Killed bool `json:"killed,omitempty"`
	// Done reports whether the execution completed.
	Done bool `json:"done,omitempty"`
}

// Unbounded is the allowance of a root request whose number of retries is unlimited.
const Unbounded = -1

// Retries is a number of retries in the call tree of one root request. A history may contain several
// records per root request; Check compares the sum of their counts with the allowance.
type Retries struct {
	// Root is the ID of the root request.
	Root string `json:"root"`
	// Count is the number of retries that this record adds.
	Count int `json:"count"`
	// Allowance is the maximum number of retries in the whole call tree, or Unbounded.
	Allowance int `json:"allowance"`
}

// Version is an observation of the configuration version in force at a node. The observations of a
// node are in chronological order. Version 0 means that the node has no configuration yet.
type Version struct {
	Node    string `json:"node"`
	Version int64  `json:"version"`
}

// History contains all records of one test run.
type History struct {
	Sends    []Send
	Runs     []Run
	Retries  []Retries
	Versions []Version
}

// Property is the name of a guarantee of the system.
type Property string

// The properties that Check verifies.
const (
	// AtMostOnce requires that an operation with an idempotency key runs at most once.
	AtMostOnce Property = "at_most_once"
	// TrueRefusal requires that an attempt whose response says `ran: no` was not executed by any
	// upstream.
	TrueRefusal Property = "true_refusal"
	// RightAnswer requires that every successful response is complete and belongs to its request.
	RightAnswer Property = "right_answer"
	// BoundedRetries requires that the retries of a root request do not exceed its allowance.
	BoundedRetries Property = "bounded_retries"
	// BoundedDeaths requires that one request crashes at most MaxCrashes upstreams.
	BoundedDeaths Property = "bounded_deaths"
	// RisingVersions requires that the configuration version in force at a node never decreases.
	RisingVersions Property = "rising_versions"
)

// MaxCrashes is the maximum number of upstreams that one request may crash. The request is
// quarantined after the second crash.
const MaxCrashes = 2

// Properties returns all properties in the order in which Check verifies them.
func Properties() []Property {
	return []Property{AtMostOnce, TrueRefusal, RightAnswer, BoundedRetries, BoundedDeaths, RisingVersions}
}

// Violation is a violation of a property.
type Violation struct {
	Property Property `json:"property"`
	// Subject is the ID of the request, attempt, root request or node that violates the property.
	Subject string `json:"subject"`
	// Detail describes the violation for a reader.
	Detail string `json:"detail"`
}

// Error implements error.
func (v Violation) Error() string {
	return string(v.Property) + ": " + v.Subject + ": " + v.Detail
}
