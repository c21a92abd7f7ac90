package room

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter = 100 * time.Millisecond
	// minRetryShare and retryJitterShare are shares of the objective.
	minRetryShare, retryJitterShare = 0.1, 0.5
	// maxFailingRetry bounds the time to come back while trees fail.
	maxFailingRetry = 30 * time.Second
)

// Request asks for room for one tree.
type Request struct {
	// Kind identifies the route among the trees that call the service; never 0.
	Kind uint32
	// Rank is the rank of the tree; a lower one is more important.
	Rank uint32
	// Objective is the time within which the caller wants its response.
	Objective time.Duration
	// GrantedShare is the share of the trees of this kind that guards of the service granted to the
	// sender; negative if it doesn't know yet. Guards are asked alike but may grant unlike, and each has
	// to know the trees whose calls reach it.
	GrantedShare float64
	// Single means that the request is a single call, which needs no other one to succeed.
	Single bool
	// Repeatable means that the caller may repeat the request after a failure.
	Repeatable bool
}

// trees returns the number of granted trees that the request stands for.
func (r *Request) trees(granted bool) float64 {
	switch {
	case r.GrantedShare >= 0 && !r.Single:
		return min(r.GrantedShare, 1)
	case granted:
		return 1
	}
	return 0
}

// Reason says why a request was refused.
type Reason string

const (
	// ReasonRank means that the room is used by requests of lower ranks.
	ReasonRank Reason = "rank"
	// ReasonNoRoom means that all room is promised at the moment.
	ReasonNoRoom Reason = "no_room"
	// ReasonTreesFail means that the upstream refuses calls at random and few trees complete.
	ReasonTreesFail Reason = "trees_fail"
)

// Answer is the answer to a Request.
type Answer struct {
	Granted bool
	// Reason and RetryAfter are set with a refusal.
	Reason     Reason
	RetryAfter time.Duration
	// Threshold is the lowest rank that finds no room; OpenThreshold if all do.
	Threshold uint32
	// Tight means that the service is scarce and has to be asked.
	Tight bool
}

// Ask decides on a request. v is a random number in [0, 1) that spreads the times to come back.
func (l *Ledger) Ask(now time.Time, r *Request, v float64) Answer {
	l.advance(now)
	l.counters.Asked++
	k := l.kind(r.Kind)
	cost := k.cost(l.assumed)
	l.offered[r.Rank>>bucketShift] += cost
	reason := l.refusal(now, r, k)
	k.grant(l.current, r.trees(reason == ""))
	if reason != "" {
		l.counters.Refused++
		l.refused++
		return Answer{Reason: reason, RetryAfter: l.retryAfter(now, r, reason, cost, v), Threshold: l.threshold, Tight: l.tight}
	}
	l.counters.Granted++
	l.counters.Promised += cost
	l.tokens = max(l.tokens-cost, -l.burst()-cost)
	return Answer{Granted: true, Threshold: l.threshold, Tight: l.tight}
}

// refusal returns the reason for a refusal; empty if the request is granted.
func (l *Ledger) refusal(now time.Time, r *Request, k *kind) Reason {
	if !l.tight {
		return ""
	}
	if l.fails(r, k) && !l.probe(now) {
		return ReasonTreesFail
	}
	switch {
	case l.tokens >= l.reserved(r.Rank):
		return ""
	case r.Rank >= l.threshold:
		return ReasonRank
	}
	return ReasonNoRoom
}

// reserved returns the tokens that are kept from a rank. Requests at least a level below the threshold
// use room that is yet to come, so that less important ones wait for it.
func (l *Ledger) reserved(rank uint32) float64 {
	switch {
	case rank >= l.threshold:
		return aboveShare * l.burst()
	case l.threshold-rank > levelWidth && l.threshold != OpenThreshold:
		return -l.burst()
	}
	return 0
}

// fails reports whether trees of the kind are not to be begun, since few complete.
func (l *Ledger) fails(r *Request, k *kind) bool {
	if l.failingSince.IsZero() || r.Single || r.Repeatable {
		return false
	}
	calls := k.callsPerTree()
	return calls == 0 || math.Pow(l.accepted, calls) < minTreeCompletion
}

// probe reports whether a tree is begun to find out whether the upstream accepts calls again. Single
// calls show it too, so that probes are needed only without any.
func (l *Ledger) probe(now time.Time) bool {
	if now.Sub(l.ended) < probeInterval {
		return false
	}
	l.ended = now
	return true
}

// retryAfter returns when a refused caller is to come back. Room for a rank below the threshold comes
// with the next tokens. Above it, nothing says when the demand falls: the callers spread over their
// objective. While trees fail, what has lasted for some time will on average last as long again.
func (l *Ledger) retryAfter(now time.Time, r *Request, reason Reason, cost, v float64) time.Duration {
	spread := time.Duration(float64(r.Objective) * (minRetryShare + retryJitterShare*v))
	switch reason {
	case ReasonNoRoom:
		missing := time.Duration((cost - l.tokens) / l.rate * float64(time.Second))
		return max(minRetryAfter, min(missing+spread/2, spread))
	case ReasonTreesFail:
		spread += min(now.Sub(l.failingSince), maxFailingRetry)
	}
	return max(minRetryAfter, spread)
}

// Tight reports whether the service is scarce.
func (l *Ledger) Tight() bool { return l.tight }

// State is the state of a ledger, for operators.
type State struct {
	Tight     bool   `json:"tight"`
	Threshold uint32 `json:"threshold"`
	// Rate is the room that becomes available, and Other what calls without a grant use, in slots.
	Rate  float64 `json:"rate"`
	Other float64 `json:"other"`
	// Use is the share of slots in use, and Ratio the ratio in force of promised room to room.
	Use   float64 `json:"use"`
	Ratio float64 `json:"ratio"`
	// Promised is the room promised and not yet used, in slot-seconds.
	Promised float64 `json:"promised"`
	// Asked, Granted and Refused are totals; Unused counts grants whose trees never came.
	Asked   uint64      `json:"asked"`
	Granted uint64      `json:"granted"`
	Refused uint64      `json:"refused"`
	Unused  uint64      `json:"unused"`
	Kinds   []KindState `json:"kinds,omitempty"`
}

// KindState is the experience with one kind of trees.
type KindState struct {
	Kind uint32 `json:"kind"`
	// Cost is in slot-seconds.
	Cost float64 `json:"cost"`
	// Calls is the number of calls of a tree; 0 if unknown.
	Calls float64 `json:"calls"`
	// LagMillis is the time from the admission of a tree until its calls have ended.
	LagMillis int64   `json:"lag_ms"`
	Granted   float64 `json:"granted"`
	Pending   float64 `json:"pending"`
}

// State returns the state at now.
func (l *Ledger) State(now time.Time) State {
	l.advance(now)
	s := State{Tight: l.tight, Threshold: l.threshold, Rate: l.rate, Other: l.other, Use: l.use, Ratio: l.Ratio(),
		Asked: l.counters.Asked, Granted: l.counters.Granted, Refused: l.counters.Refused,
		Unused: uint64(max(0, l.counters.Due-l.counters.Used))}
	for id, k := range l.kinds {
		cost, pending := k.cost(l.assumed), k.unused()
		s.Promised += cost * pending
		s.Kinds = append(s.Kinds, KindState{Kind: id, Cost: cost, Calls: k.callsPerTree(), LagMillis: k.lag.Milliseconds(), Granted: k.granted, Pending: pending})
	}
	slices.SortFunc(s.Kinds, func(a, b KindState) int { return cmp.Compare(a.Kind, b.Kind) })
	return s
}
