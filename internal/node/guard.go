package node

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Waiter receives the answer of a call that had to wait or run. It is called
// exactly once, without the guard's lock, and must not block.
type Waiter func(*Response)

// Runner performs what the guard decides. Its methods are called without the
// guard's lock and must not block: they start the work and return.
type Runner interface {
	// Claim gets the claim of the call's key into the log, then calls Claimed.
	Claim(call *Call)
	// Run sends the call to the local upstream, then calls Finish. The dispatch
	// must happen before the given moment; zero means the call's deadline.
	Run(call *Call, before time.Time)
}

// Authority decides whether this guard may start a call under a key.
type Authority interface {
	// MayStart is asked right before dispatch. A nil refusal permits the start
	// until before; zero means without bound of its own.
	MayStart(now time.Time, call *Call) (before time.Time, refusal *result.Refusal)
	// NeedsClaim reports whether a claim must be in the log first.
	NeedsClaim(call *Call) bool
}

// phase is how far a call has come at its guard.
type phase int

const (
	phaseQueued phase = iota
	phaseClaiming
	phaseRunning
	phaseDone
)

// execution is one call at its guard, from arrival until its answer is
// forgotten.
type execution struct {
	call        *Call
	fingerprint quarantine.Fingerprint
	account     *retry.Account
	phase       phase
	waiters     map[int]Waiter
	nextWaiter  int
	arrived     time.Time
	started     time.Time
	ended       time.Time
	answer      *Response
	cancel      func()
	// served says that a call made by this one had a good answer.
	served bool
	// shedsFrom is the least that calls made by this one were told.
	shedsFrom uint32
	// shedsBy is the service that said so.
	shedsBy string
	// cause is what the last failure of a call made by this one comes down to; nil
	// when none failed.
	cause *result.Cause
	// joins are the calls of the same key that wait for this one's answer.
	joins []joined
}

type joined struct {
	call *Call
	wake Waiter
}

// GuardConfig bounds what a guard keeps.
type GuardConfig struct {
	// KeepDone is how long the answer of a finished call is kept for a
	// re-attachment; it must exceed the time in which one is raced.
	KeepDone time.Duration
	// KeepDoneBytes bounds those answers.
	KeepDoneBytes int64
	// Keys bounds the idempotency keys and the answers kept for resends.
	Keys idempotency.Config
	// Quarantine bounds what is known of crashing requests.
	Quarantine quarantine.Config
	// RetryBudget bounds the calls of which an earlier attempt reached an upstream.
	RetryBudget retry.BudgetConfig
}

// DefaultGuardConfig suits a VM with 64 MB for the node.
func DefaultGuardConfig() GuardConfig {
	return GuardConfig{
		KeepDone:      10 * time.Second,
		KeepDoneBytes: 8 << 20,
		Keys:          idempotency.DefaultConfig(),
		Quarantine:    quarantine.DefaultConfig(),
	}
}

// Guard is the only way into the local upstream: it recognises resends,
// admits, queues, sheds, and remembers what ran. It does no I/O: its Runner
// does. Safe for concurrent use.
type Guard struct {
	cfg       GuardConfig
	runner    Runner
	authority Authority

	mu         sync.Mutex
	incarn     uint64
	admission  *admission.Controller
	quarantine *quarantine.Tracker
	keys       *idempotency.Table
	repeats    *retry.Budget
	calls      map[string]*execution
	done       []*execution // finished, oldest first
	doneBytes  int64
	// bare counts the oldest of done whose answer is no longer held.
	bare     int
	draining bool
	// endsBy is when the node's process ends; zero while that isn't planned.
	endsBy     time.Time
	upstreamUp bool
	slots      int
	observer   *observer
	// upstreamIncarnation numbers the lives of the local upstream.
	upstreamIncarnation uint64
	// suspicion is false while no request is suspected of crashing upstreams.
	suspicion  atomic.Bool
	onSuspects func([]quarantine.CrashRecord)
}

// NewGuard makes the guard of a node incarnation without an upstream.
func NewGuard(cfg GuardConfig, incarnation uint64, runner Runner, authority Authority, now time.Time) *Guard {
	return &Guard{
		cfg:        cfg,
		runner:     runner,
		authority:  authority,
		incarn:     incarnation,
		admission:  admission.New(admission.DefaultConfig(1), now),
		quarantine: quarantine.New(cfg.Quarantine),
		keys:       idempotency.NewTable(cfg.Keys),
		repeats:    retry.NewBudget(cfg.RetryBudget),
		calls:      make(map[string]*execution),
	}
}

// due collects what is owed to others once the lock is released.
type due []func()

func (d due) settle() {
	for _, f := range d {
		f()
	}
}

func (g *Guard) loadLocked() *routing.LoadReport {
	l := g.admission.Load()
	return &routing.LoadReport{
		InFlight:    l.InFlight,
		Queued:      l.Queued,
		Limit:       l.Limit,
		Threshold:   l.Threshold,
		Overloaded:  l.Overloaded,
		Draining:    l.Draining || g.draining,
		Incarnation: g.incarn,
	}
}
