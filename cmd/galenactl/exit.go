package main

import (
	"context"
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Exit codes, for scripts. docs/operations/cli.md lists them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitLost        = 3
	exitAuth        = 4
	exitUnreachable = 5
	exitUndecided   = 6
	exitNotFound    = 7
	exitUnavailable = 8
	exitNotInForce  = 9
	exitDifferent   = 10
)

// usageError is a fault of the command line or of a file that it names.
type usageError struct{ error }

// codedError is an outcome with an exit code of its own.
type codedError struct {
	code int
	text string
}

// Error implements error.
func (e *codedError) Error() string { return e.text }

// changeError is a failed call that may have changed something.
type changeError struct {
	error
	changeID string
}

// Unwrap gives errors.As the cause.
func (e *changeError) Unwrap() error { return e.error }

func exitCode(err error) int {
	var usage usageError
	var coded *codedError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &coded):
		return coded.code
	case undecided(err):
		return exitUndecided
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return exitFailure
	}
	return exitOfCode(ce)
}

func exitOfCode(ce *connect.Error) int {
	switch ce.Code() {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied:
		return exitAuth
	case connect.CodeNotFound:
		return exitNotFound
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeUnavailable:
		if connect.IsWireError(ce) {
			return exitUnavailable
		}
		return exitUnreachable
	case connect.CodeDeadlineExceeded:
		return exitUnreachable
	default:
		return exitFailure
	}
}

// undecided reports whether a change may have taken effect although its call
// failed: the node said so, broke off, or its answer was lost after the call
// was sent. A script that took such a change for failed would publish it
// again under a new ID and could undo what came in between.
func undecided(err error) bool {
	var change *changeError
	if !errors.As(err, &change) {
		return false
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return true
	}
	switch ce.Code() {
	case connect.CodeUnauthenticated, connect.CodePermissionDenied, connect.CodeNotFound,
		connect.CodeInvalidArgument, connect.CodeResourceExhausted, connect.CodeUnimplemented:
		return false
	case connect.CodeUnavailable:
		return !connect.IsWireError(ce) && !dialFailed(err)
	default:
		return true
	}
}

// dialFailed reports that no connection was made, so nothing was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// explain makes the line for an operator out of an error.
func explain(err error, address string) string {
	var change *changeError
	if undecided(err) && errors.As(err, &change) {
		return fmt.Sprintf("the change was sent and its fate is open (%v); repeat the command with --change-id %s: it is published at most once",
			change.error, change.changeID)
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err.Error()
	}
	switch exitOfCode(ce) {
	case exitAuth:
		return ce.Message() + " (set --token or GALENACTL_TOKEN to a token of that workspace and role)"
	case exitUnreachable:
		return fmt.Sprintf("no answer from %s: %s (any other node's admin address will do)", address, ce.Message())
	case exitUnavailable:
		return ce.Message() + " (the node was reached; nothing was changed)"
	}
	if errors.Is(err, context.Canceled) {
		return "interrupted"
	}
	return ce.Message()
}
