// Package logstore is the client of the platform's append-only log service,
// the only place where something lasts. It holds the Log interface, its HTTP
// client, the Appender that groups a node's records into few appends, and the
// Dedup memory that lets a repeated record fold once.
package logstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"
)

// Kind says which fold a record belongs to. A fold ignores kinds that it does
// not know, so that nodes of two releases can read one log.
type Kind string

const (
	// KindTemplate publishes a template revision.
	KindTemplate Kind = "template"
	// KindInstance publishes an instance.
	KindInstance Kind = "instance"
	// KindSnapshot repeats accepted configuration before its records expire.
	KindSnapshot Kind = "snapshot"
	// KindJoin announces a node incarnation.
	KindJoin Kind = "join"
	// KindLeave ends a node incarnation by its own will.
	KindLeave Kind = "leave"
	// KindEvict ends a node incarnation that its peers found dead.
	KindEvict Kind = "evict"
	// KindClaim claims an idempotency key before its call runs.
	KindClaim Kind = "claim"
	// KindTakeover moves a slot of the key space to another owner.
	KindTakeover Kind = "takeover"
	// KindDrain asks an upstream to take no new work.
	KindDrain Kind = "drain"
)

// Record is what a writer appends.
type Record struct {
	// ID is unique to the record. A writer that cannot tell whether an append
	// took effect appends the same ID again; folds count it once.
	ID   string `json:"id"`
	Kind Kind   `json:"kind"`
	// At is the writer's clock; no fold may decide by it.
	At   time.Time       `json:"at"`
	Body json.RawMessage `json:"body,omitempty"`
}

// Entry is a record at its place in the log.
type Entry struct {
	Offset int64  `json:"offset"`
	Record Record `json:"record"`
}

// Page is the answer to a read.
type Page struct {
	Entries []Entry `json:"entries"`
	// Next is the offset to read from after this page.
	Next int64 `json:"next"`
	// Head is the offset that the next append will get.
	Head int64 `json:"head"`
	// Oldest is the first offset that has not expired.
	Oldest int64 `json:"oldest"`
}

// Log is the log service. Reads see every append that was acknowledged before
// the read was sent; what rests on that is named in docs/design.
type Log interface {
	// Append adds the records in one step, contiguously, and returns the
	// offset of the first. An error that matches ErrUncertain may have taken
	// effect; one that matches ErrOverloaded or ErrUnavailable, and not
	// ErrUncertain, has not.
	Append(ctx context.Context, records []Record) (first int64, err error)
	// Read returns at most max entries from offset from on. With none there it
	// waits up to wait for one, then returns an empty page. It fails with
	// ErrTruncated (as *TruncatedError) when from has expired.
	Read(ctx context.Context, from int64, max int, wait time.Duration) (Page, error)
	// Head returns the offset that the next append will get.
	Head(ctx context.Context) (int64, error)
}

var (
	// ErrTruncated matches a read below the oldest offset kept.
	ErrTruncated = errors.New("log offset has expired")
	// ErrUnavailable matches a log that could not be reached or is out.
	ErrUnavailable = errors.New("log is unavailable")
	// ErrOverloaded matches an append above the log's rate.
	ErrOverloaded = errors.New("log is overloaded")
	// ErrUncertain matches an append that may or may not have taken effect.
	ErrUncertain = errors.New("append may have taken effect")
	// ErrBadRequest matches a request that the log will never take; nothing of
	// it took effect and to repeat it is useless.
	ErrBadRequest = errors.New("log refused the request")
)

// TruncatedError is a read below the oldest offset kept.
type TruncatedError struct {
	From   int64
	Oldest int64
}

// Error implements error.
func (e *TruncatedError) Error() string {
	return fmt.Sprintf("%v: asked from %d, oldest is %d", ErrTruncated, e.From, e.Oldest)
}

// Is reports whether target is ErrTruncated.
func (e *TruncatedError) Is(target error) bool { return target == ErrTruncated }

// OverloadedError is an append that the log refused for its rate.
type OverloadedError struct {
	// RetryAfter is the log's hint; 0 when it gave none.
	RetryAfter time.Duration
}

// Error implements error.
func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%v: retry after %v", ErrOverloaded, e.RetryAfter)
}

// Is reports whether target is ErrOverloaded.
func (e *OverloadedError) Is(target error) bool { return target == ErrOverloaded }

// UnavailableError is an outage as one call saw it.
type UnavailableError struct{ Cause error }

// Error implements error.
func (e *UnavailableError) Error() string { return fmt.Sprintf("%v: %v", ErrUnavailable, e.Cause) }

// Is reports whether target is ErrUnavailable.
func (e *UnavailableError) Is(target error) bool { return target == ErrUnavailable }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Cause }

// UncertainError is an append without a usable answer.
type UncertainError struct{ Cause error }

// Error implements error.
func (e *UncertainError) Error() string { return fmt.Sprintf("%v: %v", ErrUncertain, e.Cause) }

// Is reports whether target is ErrUncertain.
func (e *UncertainError) Is(target error) bool { return target == ErrUncertain }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }
