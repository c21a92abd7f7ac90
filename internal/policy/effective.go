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
	// AtMostOnceOwnership decides at the owner of the key's slot.
	AtMostOnceOwnership = "ownership"
)

// Effective is the behaviour in force for one service of a workspace. It is
// shared and must not be changed.
type Effective struct {
	Workspace string
	Service   string
	// Version is that of the instance.
	Version  Version
	Template string
	Revision int

	// RetryAllowance bounds the retries of one root request over its tree.
	RetryAllowance int
	// RetryRatio bounds retries to a destination as a share of its successes.
	RetryRatio float64
	MaxDepth   int
	// DefaultTimeout serves callers that name none; MaxTimeout caps the rest.
	DefaultTimeout, MaxTimeout time.Duration
	DefaultLevel               callctx.Level
	// Worth of one whole answer by level, for measures and shedding.
	Worth [callctx.Levels]float64

	// KeyRequired refuses a non-idempotent call without Idempotency-Key.
	KeyRequired bool
	AtMostOnce  string
	// ResendHorizon is how long callers may send a key again.
	ResendHorizon   time.Duration
	KeepAnswers     time.Duration
	KeepAnswerBytes int64
	// MaxBody bounds a body in bytes that is held for a retry.
	MaxBody int64
	// IdempotentMethods are methods whose calls may run twice.
	IdempotentMethods []string

	QueueLimit                              int
	SojournTarget, SojournInterval, MaxWait time.Duration
	// Adapt lets the concurrency limit follow measured latency.
	Adapt bool

	SlowStart       time.Duration
	EjectFor        time.Duration
	MaxEjectedShare float64
	// QuarantineFor is how long a request that crashes upstreams is refused.
	QuarantineFor time.Duration
}

// Idempotent reports whether calls with that method may run twice.
func (e *Effective) Idempotent(method string) bool {
	return slices.Contains(e.IdempotentMethods, method)
}

// Change is one field that differs between two behaviours.
type Change struct {
	Field string `json:"field"`
	Old   string `json:"old"`
	New   string `json:"new"`
}

// Diff lists the fields that differ, in the order of the behaviour's fields.
// A nil behaviour stands for none.
func Diff(old, new *Effective) []Change {
	var changes []Change
	for i := range fields {
		f := &fields[i]
		was, is := f.show(old), f.show(new)
		if was != is {
			changes = append(changes, Change{Field: f.Name, Old: was, New: is})
		}
	}
	return changes
}
