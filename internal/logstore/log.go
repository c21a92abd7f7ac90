// Package logstore is the client of the platform's append-only log service, the only durable
// storage. It contains the Log interface and its HTTP client, the Appender, which batches the
// records of a node into few appends, and Dedup, with which a fold applies a record only once
// when the log holds several copies of it.
package logstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Kind is the type of a record and selects the fold that applies it. A fold ignores unknown
// kinds, so that nodes of two releases can read the same log.
type Kind string

const (
	// KindTemplate is the publication of a template revision.
	KindTemplate Kind = "template"
	// KindInstance is the publication of an instance.
	KindInstance Kind = "instance"
	// KindSnapshot is a copy of the accepted configuration, written before its records expire.
	KindSnapshot Kind = "snapshot"
	// KindJoin adds a node incarnation to the members.
	KindJoin Kind = "join"
	// KindLeave removes a node incarnation; the node itself writes it at a planned stop.
	KindLeave Kind = "leave"
	// KindEvict removes a node incarnation; another node writes it after the failure detector
	// reports the node dead.
	KindEvict Kind = "evict"
	// KindClaim claims an idempotency key before its call runs.
	KindClaim Kind = "claim"
	// KindTakeover moves a slot of the key space to another owner.
	KindTakeover Kind = "takeover"
	// KindDrain requests that an upstream take no new work.
	KindDrain Kind = "drain"
)

// Record is one record as a writer appends it.
type Record struct {
	// ID is unique to the record. A writer that cannot tell whether an append took effect
	// retries it with the same ID; folds apply only the first copy.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// At is the time of the writer's clock. A fold must not base a decision on it.
	At   time.Time       `json:"at"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Entry is a record with its offset in the log.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Page is the result of one read.
type Page struct {
	Entries []Entry `json:"entries"`
	// Next is the offset at which the next read continues.
	Next int64 `json:"next"`
	// Head is the offset that the next append gets.
	Head int64 `json:"head"`
	// Oldest is the first offset that has not expired.
	Oldest int64 `json:"oldest"`
}

// Log is the log service. A read returns every append that was acknowledged before the read
// was sent; docs/design names the parts that depend on this guarantee.
type Log interface {
	// Append adds the records atomically at contiguous offsets and returns the offset of the
	// first. If the error matches ErrUncertain, the append may have taken effect. If it matches
	// ErrOverloaded or ErrUnavailable but not ErrUncertain, the append had no effect.
	Append(ctx context.Context, records []Record) (first int64, err error)
	// Read returns at most max entries, beginning at offset from. If there are none, it waits
	// up to wait for an entry, then returns an empty page. It fails with ErrTruncated (as
	// *TruncatedError) if from has expired.
	Read(ctx context.Context, from int64, max int, wait time.Duration) (Page, error)
	// Head returns the offset that the next append gets.
	Head(ctx context.Context) (int64, error)
}

var (
	// ErrTruncated matches a read from an offset that has expired.
	ErrTruncated = errors.New("log offset has expired")
	// ErrUnavailable matches a request that did not reach the log or failed during an outage.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrOverloaded matches an append that the log rejected because its rate limit is exceeded.
	ErrOverloaded = errors.New("log is overloaded")
	// ErrUncertain matches an append that may or may not have taken effect.
	ErrUncertain = errors.New("append may have taken effect")
	// ErrBadRequest matches a request that the client or the log rejected as invalid. It had no
	// effect, and every retry of it fails as well.
	ErrBadRequest = errors.New("invalid log request")
)

// TruncatedError is the error of a read from an offset that has expired. From is the requested
// offset, Oldest the first one that has not expired.
type TruncatedError struct {
	From   int64
	Oldest int64
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%v: requested offset %d, oldest retained offset is %d", ErrTruncated, e.From, e.Oldest)
}

// Is reports whether target is ErrTruncated.
func (e *TruncatedError) Is(target error) bool { return target == ErrTruncated }

// OverloadedError is the error of an append that the log rejected because its rate limit is
// exceeded.
type OverloadedError struct {
	// RetryAfter is the delay that the log requests before a retry; 0 if it sent none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOverloaded, e.RetryAfter)
}

// Is reports whether target is ErrOverloaded.
func (e *OverloadedError) Is(target error) bool { return target == ErrOverloaded }

// UnavailableError is the error of one request to an unavailable log, with the underlying
// error in Cause.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("%v: %v", ErrUnavailable, e.Cause) }

// Is reports whether target is ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError is the error of an append that may have taken effect, because no usable
// response was received.
type UncertainError struct{ Cause error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("%v: %v", ErrUncertain, e.Cause) }

// Is reports whether target is ErrUncertain.
func (e *UncertainError) Is(target error) bool { return target == ErrUncertain }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
