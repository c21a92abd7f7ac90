package policy

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Choices of Effective.AtMostOnce.
const (
	// AtMostOnceClaims appends a claim to the log for each call.
	AtMostOnceClaims = "claims"
	// AtMostOnceOwnership lets the owner of the key's slot decide.
	AtMostOnceOwnership = "ownership"
)

// Effective is the behaviour in force for one service of a workspace. It is shared and must not
// be changed.
type Effective struct {
	Workspace string
	Service   string
	// Version is the version of the instance.
	Version  Version
	Template string
	Revision int

	// RetryAllowance bounds the retries of one root request over its whole call tree.
	RetryAllowance int
	// RetryRatio bounds the retries to a destination as a share of its successes.
	RetryRatio float64
	// MaxDepth bounds the length of a chain of calls.
	MaxDepth int
	// DefaultTimeout applies to calls without a timeout; MaxTimeout bounds the timeout of all
	// calls.
	DefaultTimeout, MaxTimeout time.Duration
	// DefaultLevel applies to calls without a level.
	DefaultLevel callctx.Level
	// Worth is the value of one complete response by level, for shedding and measurements.
	Worth [callctx.Levels]float64

	// KeyRequired refuses a non-idempotent call without Idempotency-Key.
	KeyRequired bool
	// AtMostOnce is AtMostOnceClaims or AtMostOnceOwnership.
	AtMostOnce string
	// ResendHorizon is the time for which callers may send a key again.
	ResendHorizon time.Duration
	// KeepAnswers is the time for which a response is stored for resends. KeepAnswerBytes bounds
	// the size in bytes of the stored responses of the service on one node.
	KeepAnswers     time.Duration
	KeepAnswerBytes int64
	// MaxBody bounds the size in bytes of a body that is held for a retry.
	MaxBody int64
	// IdempotentMethods are the methods whose calls may run twice.
	IdempotentMethods []string

	// QueueLimit bounds the calls that wait at one guard.
	QueueLimit int
	// The guard sheds calls once the queueing time has exceeded SojournTarget for SojournInterval.
	// MaxWait bounds the queueing time of each call.
	SojournTarget, SojournInterval, MaxWait time.Duration
	// Adapt adjusts the concurrency limit to the measured latency.
	Adapt bool

	// SlowStart is the time in which a cold upstream reaches its full share of the calls.
	SlowStart time.Duration
	// EjectFor is the duration of the first ejection of a failing upstream. MaxEjectedShare bounds
	// the share of a service's upstreams that may be ejected at the same time.
	EjectFor        time.Duration
	MaxEjectedShare float64
	// QuarantineFor is the time for which a request that crashes upstreams is refused.
	QuarantineFor time.Duration
}

// Idempotent reports whether calls with the method may run twice.
func (e *Effective) Idempotent(method string) bool {
	return slices.Contains(e.IdempotentMethods, method)
}

// Change is one field that differs between two behaviours.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff returns the fields that differ, in the order of Fields. A nil behaviour has no fields.
func Diff(old, new *Effective) []Change {
	var changes []Change
	for i := range fields {
		f := &fields[i]
		oldText, newText := f.format(old), f.format(new)
		if oldText != newText {
			changes = append(changes, Change{Field: f.Name, Old: oldText, New: newText})
		}
	}
	return changes
}
