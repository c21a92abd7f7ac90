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
type Waiter func(*Answer)

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
	answer      *Answer
	cancel      func()
	// shedsFrom is the least that calls made by this one were told.
	shedsFrom uint32
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
	// Repeats bounds the calls of which an earlier attempt reached an upstream.
	Repeats retry.BudgetConfig
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
	bare       int
	draining   bool
	upstreamUp bool
	slots      int
	observer   *observer
	// upstreamIncarnation numbers the lives of the local upstream.
	upstreamIncarnation uint64
	// suspicion is false while no request is suspected of crashing upstreams.
	suspicion  atomic.Bool
	onSuspects func([]quarantine.Suspect)
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
		repeats:    retry.NewBudget(cfg.Repeats),
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

// Arrive takes a call. A nil answer means that w gets it later; the token then
// names this attachment to the call for Leave.
func (g *Guard) Arrive(now time.Time, call *Call, w Waiter) (token int, answer *Answer) {
	g.mu.Lock()
	var d due
	token, answer = g.arriveLocked(now, call, w, &d)
	g.mu.Unlock()
	d.settle()
	return token, answer
}

func (g *Guard) arriveLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Answer) {
	if e, ok := g.calls[call.Ctx.CallID]; ok {
		return e.attach(w)
	}
	token, answer := g.considerLocked(now, call, w, d)
	if answer != nil && !answer.Whole() {
		g.observer.refused(now, call, answer.Refusal)
	}
	if answer != nil && call.Reattach {
		g.remember(now, call, answer)
	}
	return token, answer
}

// attach joins a sending of a call that is already here: the connection of the
// first went silent, and the call must not run again by it.
func (e *execution) attach(w Waiter) (int, *Answer) {
	if e.phase == phaseDone {
		return 0, e.answer
	}
	e.nextWaiter++
	e.waiters[e.nextWaiter] = w
	return e.nextWaiter, nil
}

// considerLocked decides on a call that was never seen here. A key that is
// remembered is answered from memory, also while draining: its first sending
// may have run here, and nobody else can say so.
func (g *Guard) considerLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Answer) {
	if call.Keyed() {
		if answer, settled := g.beginKeyLocked(now, call, w); settled {
			return 0, answer
		}
	}
	if refusal := g.refuseLocked(now, call); refusal != nil {
		g.forgetKeyLocked(now, call)
		return 0, g.refusedLocked(call, refusal)
	}
	return g.admitLocked(now, call, w, d)
}

func (g *Guard) refuseLocked(now time.Time, call *Call) *result.Refusal {
	if call.Keyed() && !g.authority.NeedsClaim(call) {
		// Asked before draining: while slots move, the refusal names their
		// next owner.
		if _, refusal := g.authority.MayStart(now, call); refusal != nil {
			return refusal
		}
	}
	if g.draining {
		return result.Refuse(result.Draining, "the upstream is leaving")
	}
	if !g.upstreamUp {
		return result.Refuse(result.NoUpstream, "no upstream is announced to this node")
	}
	if refusal := g.countLocked(now, call); refusal != nil {
		return refusal
	}
	if len(call.Marks) == 0 && !g.suspicion.Load() {
		return nil
	}
	for _, mark := range call.Marks {
		g.quarantine.Merge(now, mark)
		g.suspicion.Store(true)
	}
	return g.quarantine.Admit(now, call.Fingerprint())
}

// countLocked counts the call towards the budget of repeats. Only firsts that
// callers sent count for it: the calls that upstreams make grow with the repeats
// of their callers, and a budget that grew with them would bound nothing.
func (g *Guard) countLocked(now time.Time, call *Call) *result.Refusal {
	if !call.Repeat {
		if call.Ctx.Depth == 0 {
			g.repeats.First(now)
		}
		return nil
	}
	if g.repeats.Repeat(now) {
		return nil
	}
	return result.Refuse(result.RepeatsSpent, "this guard's part of the repeats that the service may get is used up")
}

// SetRepeats puts other bounds of repeats in force.
func (g *Guard) SetRepeats(cfg retry.BudgetConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.Reconfigure(cfg)
}

// RepeatsLeft returns how many repeats the budget allows at now.
func (g *Guard) RepeatsLeft(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.Left(now)
}

// beginKeyLocked looks the key up; settled says that the call does not go on
// to admission.
func (g *Guard) beginKeyLocked(now time.Time, call *Call, w Waiter) (answer *Answer, settled bool) {
	begin := g.keys.Begin(now, keyOf(call), call.BodyHash, call.Ctx.CallID)
	switch begin.Kind {
	case idempotency.Start:
		return nil, false
	case idempotency.Join:
		g.observer.joined(now, call, begin.RunningCallID)
		return g.joinLocked(call, begin.RunningCallID, w), true
	case idempotency.Replay:
		return replayed(call, begin.Answer), true
	case idempotency.Conflict:
		return g.refusedLocked(call, result.Refuse(result.KeyReused, "the key came before with a different body")), true
	case idempotency.Full:
		return g.refusedLocked(call, result.Refuse(result.NoAuthority, "the table of keys is full")), true
	default:
		return g.refusedLocked(call, result.Refuse(result.OutcomeUnknown, "an earlier attempt with this key may have run")), true
	}
}

func (g *Guard) joinLocked(call *Call, runningID string, w Waiter) *Answer {
	e, ok := g.calls[runningID]
	if !ok || e.phase == phaseDone {
		return g.refusedLocked(call, result.Refuse(result.OutcomeUnknown, "the running attempt has ended without an answer"))
	}
	e.joins = append(e.joins, joined{call: call, wake: w})
	return nil
}

func (g *Guard) admitLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Answer) {
	e := &execution{
		call:        call,
		fingerprint: call.Fingerprint(),
		account:     retry.NewAccount(call.Allowance),
		waiters:     make(map[int]Waiter, 1),
		arrived:     now,
		shedsFrom:   routing.NoThreshold,
	}
	g.calls[call.Ctx.CallID] = e
	decision, others := g.admission.Offer(now, requestOf(call))
	g.observer.offered(now, call, decision.Verdict, g.admission.Load())
	g.applyLocked(now, others, d)
	switch decision.Verdict {
	case admission.Refuse:
		delete(g.calls, call.Ctx.CallID)
		g.forgetKeyLocked(now, call)
		return 0, g.refusedLocked(call, decision.Refusal)
	case admission.Run:
		g.admittedLocked(now, e, d)
	}
	// Attached only now: a refusal at dispatch goes back as the answer, and
	// through the waiter the sender would get it a second time.
	return e.attach(w)
}

// admittedLocked moves a call that got a slot on to its claim or its run.
func (g *Guard) admittedLocked(now time.Time, e *execution, d *due) {
	if e.call.Keyed() && g.authority.NeedsClaim(e.call) {
		e.phase = phaseClaiming
		*d = append(*d, func() { g.runner.Claim(e.call) })
		return
	}
	g.startLocked(now, e, d)
}

// startLocked is the last check before dispatch. A holder that was paused
// finds its authority too old here, not when it was admitted.
func (g *Guard) startLocked(now time.Time, e *execution, d *due) {
	var before time.Time
	if e.call.Keyed() {
		var refusal *result.Refusal
		before, refusal = g.authority.MayStart(now, e.call)
		if refusal != nil {
			g.notRunLocked(now, e, refusal, d)
			return
		}
	}
	if g.suspicion.Load() {
		// Another suspect may have started while this one waited.
		if refusal := g.quarantine.Admit(now, e.fingerprint); refusal != nil {
			g.notRunLocked(now, e, refusal, d)
			return
		}
	}
	e.phase = phaseRunning
	e.started = now
	g.quarantine.Started(now, e.fingerprint)
	g.observer.started(now, e)
	*d = append(*d, func() { g.runner.Run(e.call, before) })
}

// notRunLocked ends a call that got a slot and provably did not run.
func (g *Guard) notRunLocked(now time.Time, e *execution, refusal *result.Refusal, d *due) {
	g.observer.refused(now, e.call, refusal)
	decisions := g.admission.Finish(now, e.call.Ctx.CallID, admission.Cancelled, 0)
	g.endLocked(now, e, Refused(e.call.Ctx.CallID, refusal), d)
	g.applyLocked(now, decisions, d)
}

// Claimed reports how the claim of a call ended: refusal is nil when this
// guard holds the key.
func (g *Guard) Claimed(now time.Time, callID string, refusal *result.Refusal) {
	g.mu.Lock()
	var d due
	if e, ok := g.calls[callID]; ok && e.phase == phaseClaiming {
		if refusal != nil {
			g.notRunLocked(now, e, refusal, &d)
		} else {
			g.startLocked(now, e, &d)
		}
	}
	g.mu.Unlock()
	d.settle()
}

// OnCancel sets what stops the running call when nobody waits for it any more.
func (g *Guard) OnCancel(callID string, cancel func()) {
	g.mu.Lock()
	e, ok := g.calls[callID]
	if ok {
		e.cancel = cancel
	}
	// Everybody may have left between the start and this report; the upstream
	// would then work to the end for nobody.
	doomed := ok && e.doomed()
	g.mu.Unlock()
	if doomed {
		cancel()
	}
}

// doomed reports whether a running call may and should be stopped: nobody
// waits for it, and running it again does no harm.
func (e *execution) doomed() bool {
	alone := len(e.waiters) == 0 && len(e.joins) == 0
	return e.phase == phaseRunning && e.call.Ctx.Idempotent && alone
}

// Finish reports the end of a run.
func (g *Guard) Finish(now time.Time, callID string, a *Answer) {
	g.mu.Lock()
	var d due
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		decisions := g.admission.Finish(now, callID, outcomeOf(a), now.Sub(e.started))
		cleared := g.quarantine.Finished(now, e.fingerprint, a.Whole())
		if a.Crashed != 0 && g.quarantine.Proven(e.fingerprint) {
			a.Crashed = 0
		}
		if len(cleared) > 0 {
			d = append(d, func() { g.onSuspects(cleared) })
		}
		g.observer.cleared(now, cleared)
		g.observer.finished(now, e, a)
		g.endLocked(now, e, a, &d)
		g.applyLocked(now, decisions, &d)
	}
	g.mu.Unlock()
	d.settle()
}

// Tick expires waits; call it every few milliseconds while calls wait.
func (g *Guard) Tick(now time.Time) {
	g.mu.Lock()
	var d due
	g.applyLocked(now, g.admission.Tick(now), &d)
	g.trimLocked(now)
	g.keys.Expire(now)
	g.refreshSuspicionLocked(now)
	g.observer.watch(now, g.admission.Load())
	g.mu.Unlock()
	d.settle()
}

// applyLocked carries out decisions on waiting calls.
func (g *Guard) applyLocked(now time.Time, decisions []admission.Decision, d *due) {
	for _, dec := range decisions {
		e, ok := g.calls[dec.ID]
		if !ok || e.phase != phaseQueued {
			continue
		}
		if dec.Verdict == admission.Refuse {
			g.observer.refused(now, e.call, dec.Refusal)
			g.endLocked(now, e, Refused(dec.ID, dec.Refusal), d)
			continue
		}
		g.admittedLocked(now, e, d)
	}
}

func (g *Guard) refusedLocked(call *Call, r *result.Refusal) *Answer {
	a := Refused(call.Ctx.CallID, r)
	a.Unused = call.Allowance
	a.Load = g.loadLocked()
	return a
}

func requestOf(call *Call) admission.Request {
	return admission.Request{
		ID:           call.Ctx.CallID,
		Level:        call.Ctx.Level,
		CallerHash:   call.Ctx.CallerHash,
		Deadline:     call.Ctx.Deadline,
		RootAdmitted: call.Ctx.RootAdmitted,
		Depth:        call.Ctx.Depth,
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

func keyOf(c *Call) idempotency.Key {
	return idempotency.Key{Workspace: c.Ctx.Workspace, Service: c.Ctx.Service, Key: c.Ctx.Key}
}

func outcomeOf(a *Answer) admission.Outcome {
	switch a.Code {
	case result.OK, result.UpstreamFailed:
		return admission.Answered
	case result.UpstreamShed:
		return admission.UpstreamShed
	case result.DeadlinePassed:
		return admission.TimedOut
	case result.Cancelled, result.CancelledRunning:
		return admission.Cancelled
	default:
		return admission.Failed
	}
}
