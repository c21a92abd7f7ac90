package retry

import (
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Action is what to do after an attempt.
type Action int

const (
	// ReturnIt hands the outcome to the caller as it is.
	ReturnIt Action = iota
	// TryElsewhere sends a new call ID to another node. It costs one unit
	// of the allowance.
	TryElsewhere
	// AskOwner sends the call to Attempt.Owner. It costs no allowance.
	AskOwner
	// Reattach sends the same call ID to the same incarnation over a new
	// connection. It costs no allowance, since nothing is run again.
	Reattach
)

// String returns the action's name.
func (a Action) String() string {
	switch a {
	case ReturnIt:
		return "return"
	case TryElsewhere:
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
	// Owner is the inner address named with OwnedElsewhere.
	Owner string
	// SameIncarnation says that the guard that got the call is known to be
	// alive with the incarnation it had then.
	SameIncarnation bool
	// Number is how many attempts cost allowance before this one; 0 for
	// the first attempt.
	Number int
	// OwnerAsked counts the times that an owner was asked for this call.
	OwnerAsked int
	// Rand is the source of jitter; nil gives the longest wait.
	Rand *rand.Rand
}

// Policy holds the knobs of Decide.
type Policy struct {
	// BaseBackoff is the bound of the wait before the first retry.
	BaseBackoff time.Duration
	// MaxBackoff bounds every wait.
	MaxBackoff time.Duration
	// MinRemaining is the time that must be left after the wait.
	MinRemaining time.Duration
	// MaxOwnerAsks bounds AskOwner for one call.
	MaxOwnerAsks int
}

// DefaultPolicy returns values for calls of milliseconds to seconds.
func DefaultPolicy() Policy {
	return Policy{
		BaseBackoff:  10 * time.Millisecond,
		MaxBackoff:   time.Second,
		MinRemaining: 2 * time.Millisecond,
		MaxOwnerAsks: 3,
	}
}

// Decide says what to do after an attempt and how long to wait before it.
func Decide(a Attempt, p Policy) (Action, time.Duration) {
	return ReturnIt, 0
}
