package retry

import (
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Action is the sender's next step after an attempt.
type Action int

const (
	// GiveUp returns the outcome to the caller unchanged.
	GiveUp Action = iota
	// RetryOtherNode sends the call to another node with a new call ID. It costs one retry of the
	// allowance, unless the attempt did not reach an upstream.
	RetryOtherNode
	// AskOwner sends the call to Attempt.Owner. It costs no allowance.
	AskOwner
	// Reattach sends the same call ID to the same incarnation over a new connection. It costs no
	// allowance, because the call does not run again.
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

// Attempt describes an attempt that has ended.
type Attempt struct {
	Code result.Code
	// AllFull means that the refusing node knows of no upstream that would accept the call.
	AllFull bool
	// Idempotent means that running the call twice is safe.
	Idempotent bool
	// Remaining is the time until the call's deadline.
	Remaining time.Duration
	// Reattached means that this call ID has already been sent a second time.
	Reattached bool
	// MayHaveRun means that an earlier attempt with another call ID ended with an unknown outcome,
	// or failed after it ran.
	MayHaveRun bool
	// Owner is the inner address that came with OwnedElsewhere. It may be empty.
	Owner string
	// SameIncarnation means that the guard that received the call is known to be still alive as the
	// same incarnation.
	SameIncarnation bool
	// Number is the count of retries before this attempt that cost allowance; 0 for the first
	// attempt.
	Number int
	// OwnerAsked is the number of times that the call was sent to an owner.
	OwnerAsked int
	// Rand is the source of jitter. If it is nil, the wait is the upper bound of the backoff.
	Rand *rand.Rand
}

// mayHaveRunEarlier reports whether an earlier send of the call may have run or may still run.
// After a re-attachment, the first send may still be buffered in an unresponsive connection, and
// may reach the guard after the guard has refused the second send.
func (a Attempt) mayHaveRunEarlier() bool { return a.Reattached || a.MayHaveRun }

// Decide returns the action after an attempt and the time to wait before it. For RetryOtherNode the
// caller must also check Account.Spend and Throttle.Allow.
func Decide(a Attempt, p Policy) (Action, time.Duration) {
	if a.Remaining <= p.MinRemaining {
		return GiveUp, 0
	}
	switch classify(a.Code) {
	case classOwnedElsewhere:
		return decideOwner(a, p)
	case classOverloaded:
		return decideRefused(a, p, p.retryBackoff(a))
	case classHandedBack:
		return decideRefused(a, p, 0)
	case classUnavailable:
		return decideRefused(a, p, p.unavailableBackoff(a))
	case classOutcomeUnknown:
		return decideOutcomeUnknown(a, p)
	case classFailed:
		return decideFailed(a, p)
	}
	return GiveUp, 0
}

// FinalCode returns the code to report to the caller after GiveUp. A refusal with "not run" holds
// for the last attempt only. If an earlier attempt may have run, FinalCode returns an unknown
// outcome. Otherwise the caller would send a new request for a call that already took effect.
func FinalCode(a Attempt) result.Code {
	if a.mayHaveRunEarlier() && a.Code.Ran() == result.RanNo {
		return result.LostAnswer
	}
	return a.Code
}

// retryClass groups result codes by the retries that they permit.
type retryClass int

const (
	// classFinal is never retried: a response, an error in the request, or a refusal that every
	// node would give.
	classFinal retryClass = iota
	// classOverloaded did not run because the node had no capacity.
	classOverloaded
	// classUnavailable did not run, for a reason that does not indicate load on other nodes.
	classUnavailable
	// classHandedBack did not run because another node has capacity.
	classHandedBack
	// classOwnedElsewhere did not run because another guard owns the decision.
	classOwnedElsewhere
	// classOutcomeUnknown may have run.
	classOutcomeUnknown
	// classFailed ran and failed.
	classFailed
)

// classify returns the class of a code. Codes that are not listed are final, and so are codes added
// later.
func classify(c result.Code) retryClass {
	switch c {
	case result.Shed, result.QueueExpired, result.UpstreamShed:
		return classOverloaded
	case result.Draining, result.Unreachable, result.Starting, result.NoUpstream:
		return classUnavailable
	case result.HandedBack:
		return classHandedBack
	case result.OwnedElsewhere:
		return classOwnedElsewhere
	case result.LostAnswer, result.AnswerCut, result.AnswerMismatch:
		return classOutcomeUnknown
	case result.UpstreamFailed:
		return classFailed
	}
	return classFinal
}

// decideOwner sends the call to the named owner. The number of sends is bounded: during a takeover
// two guards can each report the other as the owner, and the call would be passed between them
// until its deadline.
func decideOwner(a Attempt, p Policy) (Action, time.Duration) {
	if a.Owner == "" || a.OwnerAsked >= p.MaxOwnerAsks {
		return GiveUp, 0
	}
	if a.mayHaveRunEarlier() && !a.Idempotent {
		return GiveUp, 0
	}
	if a.OwnerAsked == 0 {
		return AskOwner, 0
	}
	return AskOwner, p.backoff(a, a.OwnerAsked-1)
}

// decideRefused retries a call that did not run, on another node. If all upstreams are full it
// gives up, because a retry adds load to upstreams that would refuse it too.
func decideRefused(a Attempt, p Policy, wait time.Duration) (Action, time.Duration) {
	if a.AllFull {
		return GiveUp, 0
	}
	if a.mayHaveRunEarlier() && !a.Idempotent {
		return GiveUp, 0
	}
	return RetryOtherNode, wait
}

// decideOutcomeUnknown first re-attaches to the same guard with the same call ID. A guard that may have
// forgotten the call runs it again only if it is idempotent.
func decideOutcomeUnknown(a Attempt, p Policy) (Action, time.Duration) {
	if a.SameIncarnation && !a.Reattached {
		return Reattach, 0
	}
	if a.Idempotent {
		return RetryOtherNode, p.retryBackoff(a)
	}
	return GiveUp, 0
}

// decideFailed retries an idempotent call that failed, up to MaxFailedTries times. A call that
// fails on several upstreams fails because of its content.
func decideFailed(a Attempt, p Policy) (Action, time.Duration) {
	if !a.Idempotent || a.Number >= p.MaxFailedTries {
		return GiveUp, 0
	}
	return RetryOtherNode, p.retryBackoff(a)
}
