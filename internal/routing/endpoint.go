package routing

import (
	"math"
	"time"
)

// Endpoint is one upstream as membership describes it.
type Endpoint struct {
	// Node names the node that guards the upstream.
	Node string
	// Incarnation tells apart successive processes of one node.
	Incarnation uint64
	Region      string
	Zone        string
	Service     string
	// Addr is the address of the node's inner protocol.
	Addr string
	// Slots is how many calls the upstream announced to run at once.
	Slots int
	// Joined is when the endpoint announced itself, on its own clock.
	Joined time.Time
	// Draining means that the upstream is leaving and gets no new work.
	Draining bool
	// Suspect means that membership doubts that the node is alive.
	Suspect bool
	// Fallback means that the endpoint takes calls that find no other one, as
	// while its node is being stopped.
	Fallback bool
}

// Self says where the choosing node is.
type Self struct {
	Node   string
	Region string
	Zone   string
}

// NoThreshold in LoadReport.Threshold means that no rank is shed.
const NoThreshold uint32 = math.MaxUint32

// LoadReport is what a guard says of itself with every answer.
type LoadReport struct {
	// InFlight counts calls running at the upstream, from all senders.
	InFlight int
	// Queued counts calls that wait at the guard.
	Queued int
	// Limit is how many calls the guard runs at once at present.
	Limit int
	// Threshold sheds every call with Rank >= Threshold, unless it is
	// NoThreshold. 0 sheds everything.
	Threshold uint32
	// Overloaded says that the upstream itself sheds or slows down.
	Overloaded bool
	// Draining says that the upstream is leaving.
	Draining bool
	// Incarnation of the process that made the report; 0 when not known.
	Incarnation uint64
}

// PickInfo is what the choice needs to know of a call.
type PickInfo struct {
	Service string
	// Rank is the admission rank: level in the top bits, caller hash below.
	// Lower is more important.
	Rank uint32
	// Avoid lists nodes that already failed or refused this call. They are
	// never chosen.
	Avoid []string
	// Node, if set, is the only node that may be chosen, such as the owner
	// of the call's idempotency key.
	Node string
	// SuspectedCrasher sends the call where the fewest others would be lost
	// if it brought the upstream down.
	SuspectedCrasher bool
	// HasPriorWork says that work was spent on the call's root already. A guard gives
	// such a call an idle slot whatever its threshold.
	HasPriorWork bool
}

// Outcome says how an attempt at a target ended.
type Outcome int

const (
	// Answered is a whole answer of the upstream, whatever its content.
	Answered Outcome = iota
	// Refused means that the guard or upstream did not run the call.
	Refused
	// Failed means that the upstream ran the call and failed, or that the
	// answer was cut or lost.
	Failed
	// Unreachable means that no connection was made or it broke unsent.
	Unreachable
	// Cancelled means that the sender gave the call up for reasons of its
	// own; it says nothing against the target but that it had not answered.
	Cancelled
	// Slow means that the deadline passed, or the attempt was given up,
	// with no answer from the target.
	Slow
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case Refused:
		return "refused"
	case Failed:
		return "failed"
	case Unreachable:
		return "unreachable"
	case Cancelled:
		return "cancelled"
	case Slow:
		return "slow"
	}
	return "unknown"
}

// bad reports whether the outcome counts towards ejection.
func (o Outcome) bad() bool {
	return o == Failed || o == Unreachable || o == Slow
}
