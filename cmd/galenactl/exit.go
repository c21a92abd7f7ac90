package main

import (
	"context"
	"fmt"
	"net"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
)

// Exit codes that scripts rely on. docs/operations/cli.md lists them.
const (
	exitOK          = 0
	exitFailure     = 1
	exitUsage       = 2
	exitConflict    = 3
	exitAuth        = 4
	exitUnreachable = 5
	exitUndecided   = 6
	exitNotFound    = 7
	exitUnavailable = 8
	exitNotInForce  = 9
	exitDifferences = 10
)

// usageError is an error in the command line or in a file that it names.
type usageError struct{ error }

// exitError is an error with a specific exit code.
type exitError struct {
	code int
	text string
}

// Error implements error.
func (e *exitError) Error() string { return e.text }

// changeError is the error of a call that publishes a change, which may have taken effect all the same.
type changeError struct {
	error
	changeID string
}

// Unwrap returns the error of the call.
func (e *changeError) Unwrap() error { return e.error }

// exitCode returns the exit code of the process for err.
func exitCode(err error) int {
	var usage usageError
	var coded *exitError
	switch {
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &coded):
		return coded.code
	case isUndecided(err):
		return exitUndecided
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return exitFailure
	}
	return connectExitCode(ce)
}

// connectExitCode returns the exit code for the error of a call. If the node sent CodeUnavailable,
// the platform is unavailable; if the client created it, the node is unreachable.
func connectExitCode(ce *connect.Error) int {
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

// isUndecided reports whether a change may have taken effect although its call failed: the node
// reported that, the connection broke, or the response was lost after the request was sent. A script
// that treats such a change as failed publishes it again under a new ID, and may overwrite changes that
// were published in between.
func isUndecided(err error) bool {
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

// dialFailed reports whether err means that no connection was established, so that no request was sent.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// errorText returns the message for the operator: the error and what to do about it.
func errorText(err error, address string) string {
	var change *changeError
	if isUndecided(err) && errors.As(err, &change) {
		return fmt.Sprintf("the change was sent and may have been published (%v); repeat the command with --change-id %s: it is published at most once",
			change.error, change.changeID)
	}
	var ce *connect.Error
	if !errors.As(err, &ce) {
		return err.Error()
	}
	switch connectExitCode(ce) {
	case exitAuth:
		return ce.Message() + " (set --token or GALENACTL_TOKEN to a token of that workspace and role)"
	case exitUnreachable:
		return fmt.Sprintf("no response from %s: %s (any other node's admin address can be used)", address, ce.Message())
	case exitUnavailable:
		return ce.Message() + " (the node was reached; nothing was changed)"
	}
	if errors.Is(err, context.Canceled) {
		return "interrupted"
	}
	return ce.Message()
}
