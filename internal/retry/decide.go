package retry

import (
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Action is what to do after an attempt.
type Action int

const (
	// GiveUp hands the outcome to the caller as it is.
	GiveUp Action = iota
	// RetryOtherNode sends a new call ID to another node. It costs one unit
	// of the allowance.
	RetryOtherNode
	// AskOwner sends the call to Attempt.Owner. It costs no allowance.
	AskOwner
	// Reattach sends the same call ID to the same incarnation over a new
	// connection. It costs no allowance, since nothing is run again.
	Reattach
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case GiveUp:
		return "return"
	case RetryOtherNode:
		return "try_elsewhere"
	case AskOwner:
		return "ask_owner"
	case Reattach:
		return "reattach"
	}
	return "unknown"
}

// Attempt describes an ended attempt.
type Attempt struct {
	Code result.Code
	// AllFull says that the sender of a refusal knows of no upstream that
	// would take the call.
	AllFull bool
	// Idempotent says that running the call twice does no harm.
	Idempotent bool
	// Remaining is the time left until the deadline.
	Remaining time.Duration
	// Reattached says that this call ID was already sent a second time.
	Reattached bool
	// MayHaveRun says that an earlier attempt, with another call ID, ended
	// with an unknown outcome or failed after it ran.
	MayHaveRun bool
	// Owner is the inner address named with OwnedElsewhere.
	Owner string
	// SameIncarnation says that the guard that got the call is known to be
	// alive with the incarnation it had then.
	SameIncarnation bool
	// Number is how many retries that cost allowance came before this
	// attempt; 0 for the first attempt.
	Number int
	// OwnerAsked counts the times that an owner was asked for this call.
	OwnerAsked int
	// Rand is the source of jitter; nil gives the longest wait.
	Rand *rand.Rand
}

// unproven reports whether an earlier send of the call may have run or may run
// yet. With a re-attachment it is the first send: it may lie in a connection
// that went silent, and be delivered after the guard refused the second.
func (a Attempt) unproven() bool { return a.Reattached || a.MayHaveRun }

// Decide says what to do after an attempt and how long to wait before it. The
// caller still needs Account.Spend and Throttle.Allow for TryElsewhere.
func Decide(a Attempt, p Policy) (Action, time.Duration) {
	if a.Remaining <= p.MinRemaining {
		return GiveUp, 0
	}
	switch kindOf(a.Code) {
	case kindOwner:
		return decideOwner(a, p)
	case kindRefused:
		return decideRefused(a, p, p.wait(a))
	case kindNotReached:
		return decideRefused(a, p, p.waitAfterFirst(a))
	case kindLost:
		return decideLost(a, p)
	case kindFailed:
		return decideFailed(a, p)
	}
	return GiveUp, 0
}

// FinalCode is the code to hand back with ReturnIt. A refusal that says "not
// run" is true of the last attempt only; when an earlier one may have run, the
// caller must be told that the outcome is unknown, or it would send a new
// request for something that took effect.
func FinalCode(a Attempt) result.Code {
	if a.unproven() && a.Code.Ran() == result.RanNo {
		return result.LostAnswer
	}
	return a.Code
}

// kind groups codes by what may follow them.
type kind int

const (
	// kindFinal is never retried: an answer, a fault of the request, or a
	// refusal that another node would repeat.
	kindFinal kind = iota
	// kindRefused did not run for want of room.
	kindRefused
	// kindNotReached did not run, and says nothing of the load elsewhere.
	kindNotReached
	// kindOwner did not run since another guard must decide.
	kindOwner
	// kindLost may have run.
	kindLost
	// kindFailed ran and failed.
	kindFailed
)

// kindOf lists what may be retried; every other code, and every code made
// after this was written, is final.
func kindOf(c result.Code) kind {
	switch c {
	case result.Shed, result.QueueExpired, result.UpstreamShed:
		return kindRefused
	case result.Draining, result.Unreachable, result.Starting, result.NoUpstream:
		return kindNotReached
	case result.OwnedElsewhere:
		return kindOwner
	case result.LostAnswer, result.AnswerCut, result.AnswerMismatch:
		return kindLost
	case result.UpstreamFailed:
		return kindFailed
	}
	return kindFinal
}

// decideOwner asks the named owner. The bound is against two guards that each
// hold the other for the owner while a takeover settles: the call would go
// back and forth between them until its deadline.
func decideOwner(a Attempt, p Policy) (Action, time.Duration) {
	if a.Owner == "" || a.OwnerAsked >= p.MaxOwnerAsks {
		return GiveUp, 0
	}
	if a.unproven() && !a.Idempotent {
		return GiveUp, 0
	}
	if a.OwnerAsked == 0 {
		return AskOwner, 0
	}
	return AskOwner, p.backoff(a, a.OwnerAsked-1)
}

// decideRefused retries what did not run. When all are full a retry only adds
// load to upstreams that will refuse it too.
func decideRefused(a Attempt, p Policy, wait time.Duration) (Action, time.Duration) {
	if a.AllFull {
		return GiveUp, 0
	}
	if a.unproven() && !a.Idempotent {
		return GiveUp, 0
	}
	return RetryOtherNode, wait
}

// decideLost first asks the same guard again with the same call ID. While the
// guard's incarnation is the same it remembers the call, so asking runs
// nothing twice, whether the call is idempotent or not.
func decideLost(a Attempt, p Policy) (Action, time.Duration) {
	if a.SameIncarnation && !a.Reattached {
		return Reattach, 0
	}
	if a.Idempotent {
		return RetryOtherNode, p.wait(a)
	}
	return GiveUp, 0
}

// decideFailed lets an idempotent call that failed be tried elsewhere a bounded
// number of times: one that fails on several upstreams fails by its content.
func decideFailed(a Attempt, p Policy) (Action, time.Duration) {
	if !a.Idempotent || a.Number >= p.MaxFailedTries {
		return GiveUp, 0
	}
	return RetryOtherNode, p.wait(a)
}
