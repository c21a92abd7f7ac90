// Package admission decides which calls an upstream runs now, which ones wait and which ones are
// refused. It is a pure state machine: the time is passed in as an argument, and decisions are
// returned as values.
//
// It has four parts: an adaptive concurrency limit (limit.go), a short queue ordered by
// importance (queue.go), a shed threshold over (level, caller) (threshold.go), and low quantiles
// of the service time, by which calls that cannot meet their deadline are refused at once
// (latency.go).
package admission

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// Request is a call offered to a Controller.
type Request struct {
	// ID identifies the call. It must be unique among the calls of the Controller.
	ID    string
	Level callctx.Level
	// CallerHash determines, together with Level, which callers are shed.
	CallerHash uint32
	// Deadline is the deadline of the caller; zero means none.
	Deadline time.Time
	// RootAdmitted is the time at which the root of the call tree was admitted. Zero means now.
	RootAdmitted time.Time
	// Depth is the depth in the call tree, 0 for a root call.
	Depth int
	// HasPriorWork is set if other calls of the same tree have already been served.
	HasPriorWork bool
	// MayBeHandedBack is set if the call's sender takes it back while it waits.
	MayBeHandedBack bool
	// Promised is set if the guard was asked for room for the tree and granted it. The call is neither
	// shed for its rank nor put behind calls of trees in progress.
	Promised bool
}

// notShed reports whether a call is exempt from the threshold.
func (r *Request) notShed() bool { return r.HasPriorWork || r.Promised }

func (r *Request) isPromisedSingle() bool { return r.Depth == 0 && r.Promised }

// isRoot reports whether a call waits as a root call does.
func (r *Request) isRoot() bool { return r.Depth == 0 && !r.Promised }

// Verdict is the result of a decision.
type Verdict int

const (
	// Run means that the caller must run the call now and then call Finish.
	Run Verdict = iota + 1
	// Wait means that a later Decision runs or refuses the call.
	Wait
	// Refuse means that the call was not run and its record was removed.
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

// Decision is the verdict on one call. Refusal is set only with Refuse. It is shared between
// calls and must not be modified.
type Decision struct {
	ID      string
	Verdict Verdict
	Refusal *result.Refusal
}

// Outcome is the outcome of a running call.
type Outcome int

const (
	// Answered is a complete response.
	Answered Outcome = iota + 1
	// Failed is a server error or an incomplete response.
	Failed
	// UpstreamShed means that the upstream refused the call because of overload.
	UpstreamShed
	// Cancelled means that the caller cancelled the call.
	Cancelled
	// TimedOut means that the deadline passed while the call was running.
	TimedOut
)

// Load is the current load of a Controller, for responses and metrics.
type Load struct {
	InFlight, Queued, Limit int
	// Threshold is the lowest rank that is shed; MaxUint32 if none is.
	Threshold            uint32
	Overloaded, Draining bool
	// TreesFail means that the upstream sheds so many calls at random that few of the trees that call it
	// complete, whatever their rank.
	TreesFail bool
	// CallsPerSecond is the rate limit that the upstream names; 0 if it names none.
	CallsPerSecond float64
}

const (
	// openThreshold is above every rank, so that nothing is shed.
	openThreshold = math.MaxUint32
	// levelShift places the level in the top two bits of a rank.
	levelShift = 30
)

// Rank orders calls by importance, with lower ranks more important. It has the level in the top
// bits and the caller's hash below. It is always less than MaxUint32, the threshold that sheds
// nothing.
func Rank(level callctx.Level, callerHash uint32) uint32 {
	level = min(level, callctx.LevelLow)
	rank := uint32(level)<<levelShift | callerHash>>2
	return min(rank, openThreshold-1)
}

// HashAt returns the caller hash from which on a threshold sheds callers of a level; MaxUint32 if it
// sheds none of them.
func HashAt(level callctx.Level, threshold uint32) uint32 {
	lowest := uint32(min(level, callctx.LevelLow)) << levelShift
	switch {
	case threshold <= lowest:
		return 0
	case threshold-lowest >= 1<<levelShift:
		return math.MaxUint32
	}
	return (threshold - lowest) << 2
}
