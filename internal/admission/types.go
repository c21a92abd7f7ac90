// Package admission decides which calls an upstream runs now, which wait and
// which are refused. It is a pure state machine: the time comes in as an
// argument and decisions come out as values.
//
// Four parts work together: a concurrency limit that adapts (limit.go), a short
// queue ordered by importance (queue.go), a shed threshold over (level, caller)
// (threshold.go), and low quantiles of the service time by which doomed calls
// are refused at once (latency.go).
package admission

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Request is a call that asks to run.
type Request struct {
	// ID names the call; it must be unique among the calls of the Controller.
	ID    string
	Level callctx.Level
	// CallerHash decides together with Level which callers are shed.
	CallerHash uint32
	// Deadline is the caller's; zero means none.
	Deadline time.Time
	// RootAdmitted is when the root of the call tree entered.
	RootAdmitted time.Time
	// Depth is 0 for a root call.
	Depth int
	// HasPriorWork says that other calls of its tree were served already.
	HasPriorWork bool
}

// Verdict is what becomes of a call.
type Verdict int

const (
	// Run means: run it now, then call Finish.
	Run Verdict = iota + 1
	// Wait means that a later Decision runs or refuses it.
	Wait
	// Refuse means that the call was not run and is forgotten.
	Refuse
)

// String returns the verdict in lower case.
func (v Verdict) String() string {
	switch v {
	case Run:
		return "run"
	case Wait:
		return "wait"
	case Refuse:
		return "refuse"
	}
	return "unknown"
}

// Decision is the verdict on one call. Refusal is set only with Refuse; it is
// shared between calls and must not be changed.
type Decision struct {
	ID      string
	Verdict Verdict
	Refusal *result.Refusal
}

// Outcome is how a running call ended.
type Outcome int

const (
	// Answered is a whole answer.
	Answered Outcome = iota + 1
	// Failed is a server error or a broken answer.
	Failed
	// UpstreamShed is the upstream's own refusal as overloaded.
	UpstreamShed
	// Cancelled means that the caller left.
	Cancelled
	// TimedOut means that the deadline passed while the call ran.
	TimedOut
)

// Load is a reading of a Controller, to be put on answers and metrics.
type Load struct {
	InFlight, Queued, Limit int
	// Threshold is the rank from which on calls are shed; MaxUint32: none.
	Threshold            uint32
	Overloaded, Draining bool
}

const (
	// nothingShed is the threshold above every rank.
	nothingShed = math.MaxUint32
	// levelShift puts the level into the two top bits of a rank.
	levelShift = 30
)

// Rank orders calls by importance, lower first: the level in the top bits, the
// caller's hash below. It is always below MaxUint32, so that this threshold
// sheds nothing.
func Rank(level callctx.Level, callerHash uint32) uint32 {
	level = min(level, callctx.LevelLow)
	rank := uint32(level)<<levelShift | callerHash>>2
	return min(rank, nothingShed-1)
}
