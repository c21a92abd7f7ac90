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
	// joins are the calls of the same key that wait for this one's answer.
	joins []joined
}

type joined struct {
	callID string
	wake   Waiter
}

// GuardConfig bounds what a guard keeps.
type GuardConfig struct {
	// KeepDone is how long the answer of a finished call is kept for a
	// re-attachment; it must exceed the time in which one is raced.
	KeepDone time.Duration
	// KeepDoneBytes bounds those answers.
	KeepDoneBytes int64
}

// DefaultGuardConfig suits a VM with 64 MB for the node.
func DefaultGuardConfig() GuardConfig {
	return GuardConfig{KeepDone: 10 * time.Second, KeepDoneBytes: 8 << 20}
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
	calls      map[string]*execution
	done       []*execution // finished, oldest first
	doneBytes  int64
	draining   bool
	upstreamUp bool
	slots      int
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
		quarantine: quarantine.New(quarantine.DefaultConfig()),
		keys:       idempotency.NewTable(idempotency.DefaultConfig()),
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
	if answer != nil && call.Reattach {
		g.remember(now, call, answer)
	}
	return token, answer
}

// remember keeps the answer given to a re-attachment whose call was never seen
// here. The first sending may lie in the connection that went silent and be
// delivered yet: it must find the same answer, or a call said not to have run
// would run after all.
func (g *Guard) remember(now time.Time, call *Call, a *Answer) {
	if _, known := g.calls[call.Ctx.CallID]; known {
		return
	}
	e := &execution{call: call, phase: phaseDone, arrived: now, ended: now, answer: a}
	g.calls[call.Ctx.CallID] = e
	g.keepLocked(now, e)
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
	if len(call.Marks) == 0 && !g.suspicion.Load() {
		return nil
	}
	for _, mark := range call.Marks {
		g.quarantine.Merge(now, mark)
		g.suspicion.Store(true)
	}
	return g.quarantine.Admit(now, call.Fingerprint())
}

// beginKeyLocked looks the key up; settled says that the call does not go on
// to admission.
func (g *Guard) beginKeyLocked(now time.Time, call *Call, w Waiter) (answer *Answer, settled bool) {
	begin := g.keys.Begin(now, keyOf(call), call.BodyHash, call.Ctx.CallID)
	switch begin.Kind {
	case idempotency.Start:
		return nil, false
	case idempotency.Join:
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
	e.joins = append(e.joins, joined{callID: call.Ctx.CallID, wake: w})
	return nil
}

func (g *Guard) admitLocked(now time.Time, call *Call, w Waiter, d *due) (int, *Answer) {
	e := &execution{
		call:        call,
		fingerprint: call.Fingerprint(),
		account:     retry.NewAccount(call.Allowance),
		waiters:     map[int]Waiter{1: w},
		nextWaiter:  1,
		arrived:     now,
	}
	g.calls[call.Ctx.CallID] = e
	decision, others := g.admission.Offer(now, requestOf(call))
	g.applyLocked(now, others, d)
	switch decision.Verdict {
	case admission.Refuse:
		delete(g.calls, call.Ctx.CallID)
		g.forgetKeyLocked(now, call)
		return 0, g.refusedLocked(call, decision.Refusal)
	case admission.Run:
		g.admittedLocked(now, e, d)
	}
	if e.phase == phaseDone {
		return 0, e.answer
	}
	return 1, nil
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
	*d = append(*d, func() { g.runner.Run(e.call, before) })
}

// notRunLocked ends a call that got a slot and provably did not run.
func (g *Guard) notRunLocked(now time.Time, e *execution, refusal *result.Refusal, d *due) {
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
	defer g.mu.Unlock()
	if e, ok := g.calls[callID]; ok {
		e.cancel = cancel
	}
}

// Finish reports the end of a run.
func (g *Guard) Finish(now time.Time, callID string, a *Answer) {
	g.mu.Lock()
	var d due
	if e, ok := g.calls[callID]; ok && e.phase == phaseRunning {
		decisions := g.admission.Finish(now, callID, outcomeOf(a), now.Sub(e.started))
		if cleared := g.quarantine.Finished(now, e.fingerprint, a.Whole()); len(cleared) > 0 {
			d = append(d, func() { g.onSuspects(cleared) })
		}
		g.endLocked(now, e, a, &d)
		g.applyLocked(now, decisions, &d)
	}
	g.mu.Unlock()
	d.settle()
}

// endLocked settles the key, closes the account and owes everyone the answer.
func (g *Guard) endLocked(now time.Time, e *execution, a *Answer, d *due) {
	e.phase = phaseDone
	e.ended = now
	a.Unused = e.account.Close()
	a.Load = g.loadLocked()
	e.answer = a
	g.settleKeyLocked(now, e.call, a)
	for _, w := range e.waiters {
		*d = append(*d, func() { w(a) })
	}
	for _, j := range e.joins {
		*d = append(*d, func() { j.wake(joinedAnswer(j.callID, a)) })
	}
	e.waiters = nil
	e.joins = nil
	g.keepLocked(now, e)
}

// settleKeyLocked records what is now known about the key. Only a code that
// promises "not run" lets a resend run again.
func (g *Guard) settleKeyLocked(now time.Time, call *Call, a *Answer) {
	if !call.Keyed() {
		return
	}
	key := keyOf(call)
	switch {
	case a.Whole():
		g.keys.Finish(now, key, call.Ctx.CallID, idempotency.Answer{
			Code: a.Code, Status: a.Status, Header: a.Header, Body: a.Body,
		})
	case a.Code.Ran() == result.RanNo:
		g.keys.NotRun(now, key, call.Ctx.CallID)
	default:
		g.keys.Lost(now, key, call.Ctx.CallID)
	}
}

func (g *Guard) forgetKeyLocked(now time.Time, call *Call) {
	if call.Keyed() {
		g.keys.NotRun(now, keyOf(call), call.Ctx.CallID)
	}
}

// keepLocked keeps a finished call for re-attachments, within its bounds.
func (g *Guard) keepLocked(now time.Time, e *execution) {
	g.done = append(g.done, e)
	g.doneBytes += int64(len(e.answer.Body))
	g.trimLocked(now)
}

func (g *Guard) trimLocked(now time.Time) {
	n := 0
	for n < len(g.done) {
		oldest := g.done[n]
		young := now.Sub(oldest.ended) < g.cfg.KeepDone
		if young && g.doneBytes <= g.cfg.KeepDoneBytes {
			break
		}
		g.doneBytes -= int64(len(oldest.answer.Body))
		delete(g.calls, oldest.call.Ctx.CallID)
		g.done[n] = nil
		n++
	}
	g.done = g.done[n:]
}

// Leave says that the holder of an attachment is gone. Waiting calls nobody
// waits for give up their place. Running ones are cancelled if running them
// again does no harm; a non-idempotent one goes on to its deadline, because
// its effect may have begun and its resend will want the answer.
func (g *Guard) Leave(now time.Time, callID string, token int) {
	g.mu.Lock()
	e, ok := g.calls[callID]
	if !ok || e.phase == phaseDone {
		g.mu.Unlock()
		return
	}
	delete(e.waiters, token)
	if len(e.waiters) > 0 || len(e.joins) > 0 {
		g.mu.Unlock()
		return
	}
	var d due
	switch {
	case e.phase == phaseQueued:
		decisions := g.admission.Abandon(now, callID)
		g.endLocked(now, e, Refused(callID, result.Refuse(result.Cancelled, "the caller left")), &d)
		g.applyLocked(now, decisions, &d)
	case e.phase == phaseRunning && e.call.Ctx.Idempotent && e.cancel != nil:
		d = append(d, e.cancel)
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

// Load returns what the guard reports to the senders of calls.
func (g *Guard) Load() routing.LoadReport {
	g.mu.Lock()
	defer g.mu.Unlock()
	return *g.loadLocked()
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

func replayed(call *Call, kept *idempotency.Answer) *Answer {
	return &Answer{
		CallID: call.Ctx.CallID,
		Code:   result.Replayed,
		Status: kept.Status,
		Header: kept.Header,
		Body:   kept.Body,
		Unused: call.Allowance,
	}
}

// joinedAnswer gives the answer of the running attempt to another with its
// key. The joined call used nothing of its allowance, and its share is not
// reported: an unreported share counts as spent, which errs on the safe side.
func joinedAnswer(callID string, a *Answer) *Answer {
	c := *a
	c.CallID = callID
	c.Unused = 0
	if c.Whole() {
		c.Code = result.Replayed
	}
	return &c
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
