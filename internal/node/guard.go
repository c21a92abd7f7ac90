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
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// Waiter receives the response of a call that was queued or run. It is called exactly once,
// without the guard's lock, and must not block.
type Waiter func(*Response)

// Runner carries out the decisions of the guard. Its methods are called without the guard's
// lock and must not block: they start the work and return.
type Runner interface {
	// Claim appends the claim of the call's key to the log, then calls Claimed.
	Claim(call *Call)
	// Run sends the call to the local upstream, then calls Finish. The call must not be sent
	// after startBy; zero means the call's deadline.
	Run(call *Call, startBy time.Time)
}

// Authority decides whether this guard may run a call under its idempotency key.
type Authority interface {
	// MayStart is called right before the call is sent. A nil refusal permits the start until
	// startBy; zero means that there is no other bound than the deadline.
	MayStart(now time.Time, call *Call) (startBy time.Time, refusal *result.Refusal)
	// NeedsClaim reports whether a claim of the key must be in the log before the call runs.
	NeedsClaim(call *Call) bool
}

// phase is the state of a call at its guard.
type phase int

const (
	phaseQueued phase = iota
	phaseClaiming
	phaseRunning
	phaseDone
)

// execution is one call at its guard, from its arrival until its response expires.
type execution struct {
	// call is nil once the call has ended, and finished is what is kept of it.
	call        *Call
	finished    finishedCall
	fingerprint quarantine.Fingerprint
	account     *retry.Account
	phase       phase
	waiters     []attachedWaiter
	lastToken   int
	// leftThrough is the newest of the tokens by which callers left.
	leftThrough int
	arrived     time.Time
	started     time.Time
	// process is the upstreamIncarnation at the start of the run.
	process uint64
	// kind is the kind of a call for which room was granted; 0 if none was. promised means that the
	// call is not shed for its rank, and first that it is the first of its tree here.
	kind            uint32
	promised, first bool
	ended           time.Time
	response        *Response
	cancel          func()
	// served means that a call made by this one succeeded.
	served bool
	// shedThreshold is the lowest shedding threshold reported to the calls made by this one.
	shedThreshold uint32
	// sheddingService is the service with that threshold.
	sheddingService string
	// cause is the root cause of the last failed call made by this one; nil when none failed.
	cause *result.Cause
	// joins are the calls with the same key that wait for this one's response.
	joins []joinedCall
}

// attachedWaiter is a waiter for the response and the token by which it leaves.
type attachedWaiter struct {
	token  int
	waiter Waiter
}

type joinedCall struct {
	call   *Call
	waiter Waiter
}

// GuardConfig limits what a guard retains.
type GuardConfig struct {
	// KeepDone is how long the response of a finished call is kept for a re-attachment, which is a
	// second transmission of the same call ID (see Call.Reattach). One of the two transmissions that
	// arrives later than that after the other gets an unknown outcome, unless the call is idempotent
	// or was never here.
	KeepDone time.Duration
	// KeepDoneBytes bounds the size of those responses.
	KeepDoneBytes int64
	// Keys limits the idempotency keys and the responses kept for resends.
	Keys idempotency.Config
	// Quarantine limits the records of crashing requests.
	Quarantine quarantine.Config
	// RetryBudget limits retries: calls of which an earlier attempt may have reached an upstream.
	RetryBudget retry.BudgetConfig
}

// DefaultGuardConfig returns a configuration for a VM that gives 64 MB to the node.
func DefaultGuardConfig() GuardConfig {
	return GuardConfig{
		KeepDone:      10 * time.Second,
		KeepDoneBytes: 8 << 20,
		Keys:          idempotency.DefaultConfig(),
		Quarantine:    quarantine.DefaultConfig(),
	}
}

// Guard controls all access to the local upstream: it detects resends, admits, queues and sheds
// calls, and stores the outcome of calls that ran. It does no I/O: its Runner does. Safe for
// concurrent use.
type Guard struct {
	cfg       GuardConfig
	runner    Runner
	authority Authority

	mu          sync.Mutex
	incarnation uint64
	admission   *admission.Controller
	// ledger is what the guard promised to trees; nil if it promises nothing.
	ledger      *room.Ledger
	quarantine  *quarantine.Tracker
	keys        *idempotency.Table
	retryBudget *retry.Budget
	calls       map[string]*execution
	// joined maps the IDs of calls that wait for a call with their key to that call.
	joined    map[string]*execution
	done      []*execution // finished, oldest first
	doneBytes int64
	// strippedCount is the number of entries at the start of done whose response is no longer
	// stored.
	strippedCount int
	recall        recall
	draining      bool
	// stopAt is the time at which the node's process stops; zero while no stop is planned.
	stopAt     time.Time
	upstreamUp bool
	slots      int
	events     *eventRecorder
	// ended counts the runs that ended.
	ended int64
	// upstreamIncarnation identifies the process of the local upstream.
	upstreamIncarnation uint64
	// process and notice are the process of the local upstream and what it said about itself last.
	process routing.Process
	notice  routing.UpstreamNotice
	// noticeConfirmed is set once notice is from a response that this guard received.
	noticeConfirmed bool
	// hasCrashRecords is false while no request is suspected of crashing upstreams. Calls read
	// it without the lock, and look up no records while it is false.
	hasCrashRecords atomic.Bool
	onCrashRecords  func([]quarantine.CrashRecord)
	moves           moves
	pace            pace
	// onLeaving is called after the upstream said in a response that it leaves; may be nil.
	onLeaving func()
}

// NewGuard returns the guard of a node incarnation. Its upstream is down until UpstreamUp.
func NewGuard(cfg GuardConfig, incarnation uint64, runner Runner, authority Authority, now time.Time) *Guard {
	return &Guard{
		cfg:         cfg,
		runner:      runner,
		authority:   authority,
		incarnation: incarnation,
		admission:   admission.New(admission.DefaultConfig(1), now),
		quarantine:  quarantine.New(cfg.Quarantine),
		keys:        idempotency.NewTable(cfg.Keys),
		retryBudget: retry.NewBudget(cfg.RetryBudget),
		calls:       make(map[string]*execution),
		joined:      make(map[string]*execution),
		recall:      newRecall(),
	}
}

// callbacks are functions that must be called after the guard's lock is released. Most decisions have
// one at most, which takes no list.
type callbacks struct {
	first func()
	rest  []func()
}

func (c *callbacks) add(f func()) {
	if c.first == nil {
		c.first = f
		return
	}
	c.rest = append(c.rest, f)
}

func (c *callbacks) run() {
	if c.first != nil {
		c.first()
	}
	for _, f := range c.rest {
		f()
	}
}

func (g *Guard) loadLocked() *routing.LoadReport {
	l := g.admission.Load()
	return &routing.LoadReport{
		InFlight:    l.InFlight,
		Queued:      l.Queued,
		Limit:       l.Limit,
		Threshold:   g.reportedThresholdLocked(l.Threshold),
		Overloaded:  l.Overloaded,
		Draining:    l.Draining || g.draining,
		TreesFail:   l.TreesFail,
		Incarnation: g.incarnation,
		Speed:       g.pace.relative,
		Notice:      g.sharedNoticeLocked(),
	}
}
