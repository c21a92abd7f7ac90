package h1

import "fmt"

// Stage is the step at which an exchange failed.
type Stage int

const (
	// StageConnect: no connection was established, and nothing was sent.
	StageConnect Stage = iota
	// StageSend: part of the request was sent. The server may have run it.
	StageSend
	// StageHead: the request was sent, and no response header was received.
	StageHead
	// StageBody: the response body ended early.
	StageBody
	// StageTooLarge: the header or the body of the response exceeds its size limit.
	StageTooLarge
	// StageMismatch: only responses to other requests were received.
	StageMismatch
	// StageMalformed: what was received is not a response in HTTP/1.
	StageMalformed
)

var stageNames = [...]string{"connect", "send", "read head", "read body", "response too large", "answer of another request", "malformed response"}

// String returns the name of the step that failed.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "unknown"
}

// Error describes a failed exchange.
type Error struct {
	Stage Stage
	Cause error
	// NewConnection reports that the connection carried no request before this one. A reused
	// connection may have been closed by its server while the request was sent.
	NewConnection bool
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
