package routing

import (
	"math"
	"time"
)

// Endpoint describes one upstream, as published by membership.
type Endpoint struct {
	// Node is the name of the node that guards the upstream.
	Node string
	// Incarnation distinguishes successive processes of one node.
	Incarnation uint64
	Region      string
	Zone        string
	Service     string
	// Upstream is the ID of the upstream's process; empty if membership does not know it.
	Upstream string
	// Addr is the address of the node's inner protocol.
	Addr string
	// Slots is the number of concurrent calls that the upstream announced.
	Slots int
	// Joined is the time at which the endpoint announced itself, by its own clock.
	Joined time.Time
	// Draining means that the upstream is draining and gets no new calls.
	Draining bool
	// Suspect means that membership suspects the node of having failed.
	Suspect bool
	// Fallback means that the endpoint only takes calls that no other endpoint takes, for example
	// while its node is stopping.
	Fallback bool
}

// ZoneName returns the region and the availability zone.
func (e *Endpoint) ZoneName() string { return e.Region + "/" + e.Zone }

// Self is the name and location of the sending node.
type Self struct {
	Node   string
	Region string
	Zone   string
}

// NoThreshold as LoadReport.Threshold means that no rank is shed.
const NoThreshold uint32 = math.MaxUint32

// LoadReport is the load of a guard, which it sends with every response.
type LoadReport struct {
	// InFlight is the number of calls running at the upstream, from all senders.
	InFlight int
	// Queued is the number of calls waiting at the guard.
	Queued int
	// Limit is the guard's current limit of concurrent calls.
	Limit int
	// Threshold is the lowest rank that the guard sheds; it sheds all higher ranks too. NoThreshold
	// means that it sheds none, and 0 that it sheds all.
	Threshold uint32
	// Overloaded means that the upstream itself sheds calls or slows down.
	Overloaded bool
	// Draining means that the upstream is draining.
	Draining bool
	// TreesFail means that few of the trees that call the upstream complete, because it refuses calls
	// at random. Entry nodes refuse such trees.
	TreesFail bool
	// Incarnation identifies the process that made the report; 0 if unknown.
	Incarnation uint64
	// Notice is what the upstream says about itself; nil if it says nothing.
	Notice *ProcessNotice
}

// rateLimit returns the rate limit that the upstream names, in calls per second; 0 if it names none.
func (r *LoadReport) rateLimit() float64 {
	if r.Notice == nil || !r.Notice.RateLimited {
		return 0
	}
	return max(r.Notice.RateLimit, minRateLimit)
}

// minRateLimit is the lowest rate limit that is used, in calls per second, so that a limit of 0 differs
// from none.
const minRateLimit = 0.1

// PickInfo holds the properties of a call that affect the choice of its target.
type PickInfo struct {
	Service string
	// Rank is the admission rank: level in the top bits, caller hash below. A lower rank is more
	// important.
	Rank uint32
	// Avoid lists nodes that already failed or refused this call. They are never chosen.
	Avoid []string
	// Node, if set, is the only node that may be chosen, for example the owner of the call's
	// idempotency key.
	Node string
	// SuspectedCrasher sends the call to the target with the fewest calls in flight, which limits
	// the calls lost if it crashes the upstream.
	SuspectedCrasher bool
	// IsChild means that work was already spent on the call's root request. A guard gives such
	// a call an idle slot regardless of its threshold.
	IsChild bool
}

// Outcome is the result of an attempt at a target.
type Outcome int

const (
	// Answered means that the upstream gave a complete response, whatever its content.
	Answered Outcome = iota
	// Refused means that the guard or upstream did not run the call.
	Refused
	// Failed means that the upstream ran the call and failed, or that the response was truncated or
	// lost.
	Failed
	// Unreachable means that no connection was established, or that it broke before the call was
	// sent.
	Unreachable
	// Cancelled means that the sender cancelled the call for reasons of its own. The only thing it
	// shows about the target is that no response had arrived yet.
	Cancelled
	// Slow means that the deadline passed, or the attempt was abandoned, without a response from
	// the target.
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

// countsAsFailure reports whether the outcome counts towards ejection.
func (o Outcome) countsAsFailure() bool {
	return o == Failed || o == Unreachable || o == Slow
}
