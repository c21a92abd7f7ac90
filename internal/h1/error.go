package h1

import "fmt"

// Stage is how far an exchange came before it failed.
type Stage int

const (
	// StageConnect: no connection was made, and nothing was sent.
	StageConnect Stage = iota
	// StageSend: part of the request was sent; it may have run.
	StageSend
	// StageHead: the request was sent, and no head of an answer came.
	StageHead
	// StageBody: the answer ended before its announced end.
	StageBody
	// StageTooLarge: the answer exceeds the bound of its body.
	StageTooLarge
	// StageMismatch: the answers that came belong to other requests.
	StageMismatch
)

var stageNames = [...]string{"connect", "send", "read head", "read body", "body too large", "answer of another request"}

// String returns what was done when it failed.
func (s Stage) String() string {
	if int(s) < len(stageNames) {
		return stageNames[s]
	}
	return "unknown"
}

// Error is a failed exchange.
type Error struct {
	Stage Stage
	Cause error
	// Fresh says that the connection carried no request before this one. A
	// kept one may have been closed by its server at that very moment.
	Fresh bool
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %v", e.Stage, e.Cause) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
