package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// ActionKind says what the holder of a Dispatch does next.
type ActionKind int

const (
	// ActionSend: send Attempt to Target and report with Observe.
	ActionSend ActionKind = iota
	// ActionPause: wait, then ask Next again.
	ActionPause
	// ActionDone: give Answer to the caller.
	ActionDone
)

// Action is one instruction of a Dispatch.
type Action struct {
	Kind     ActionKind
	Target   *routing.Target
	Attempt  *Call
	Pause    time.Duration
	Response *Response
}

// Router is what a Dispatch needs of its node.
type Router interface {
	// Table returns the routing table in force.
	Table() *routing.Table
	// Owner returns the node that owns the call's key; empty when any may run it.
	Owner(call *Call) string
	// At returns the node of a service at an inner address; empty when unknown.
	At(service, addr string) string
	// Throttle returns the retry throttle of a destination service.
	Throttle(service string) *retry.Throttle
	// RetryPolicy returns the backoff in force.
	RetryPolicy() retry.Policy
	// CrashRecords returns the records against the call's request, if any.
	CrashRecords(now time.Time, call *Call) []quarantine.CrashRecord
	// ReportCrash records that an upstream died while it ran the call.
	ReportCrash(now time.Time, call *Call, a *Response)
	// NewID returns a fresh call ID.
	NewID() string
}

// Dispatch takes one call from its entry or exit node to an answer: it chooses
// upstreams, classifies what comes back and spends the chain's allowance. It
// does no I/O. Not safe for concurrent use.
type Dispatch struct {
	router  Router
	rng     *rand.Rand
	call    *Call
	account *retry.Account

	tried     []string
	next      string // node to ask, when an answer named the owner
	redirects int
	// unproven is the first attempt that may have run, if there was one.
	unproven *Response
	attempts int
	retries  int
	// reroutes counts attempts that did not reach an upstream and cost nothing.
	reroutes int
	marks    []quarantine.CrashRecord
	held     bool // paused once until a suspect may run
	pause    time.Duration
	final    *Response
	target   *routing.Target
	share    *retry.Share
	sent     time.Time
	// watch is where decisions are recorded; nil where the router is no Node.
	watch *Node
	begun time.Time
	// arrived says that an attempt may have reached an upstream.
	arrived bool
	// away is the time that attempts took.
	away time.Duration
}

// NewDispatch starts a call whose retries are paid from account.
func NewDispatch(router Router, rng *rand.Rand, call *Call, account *retry.Account) *Dispatch {
	watch, _ := router.(*Node)
	return &Dispatch{router: router, rng: rng, call: call, account: account, watch: watch}
}

// Next returns the next order.
func (d *Dispatch) Next(now time.Time) Action {
	if d.begun.IsZero() {
		d.begun = now
		if d.watch != nil {
			d.watch.began(now, d.call, d.account.Balance())
		}
	}
	if d.final != nil {
		return Action{Kind: ActionDone, Response: d.final}
	}
	if d.pause > 0 {
		pause := d.pause
		d.pause = 0
		return Action{Kind: ActionPause, Pause: pause}
	}
	if d.call.Ctx.Remaining(now) <= 0 {
		d.settle(Refused(d.call.Ctx.CallID, result.Refuse(result.DeadlineTooNear, "no time left before an upstream was chosen")))
		return Action{Kind: ActionDone, Response: d.final}
	}
	target, refusal := d.pick(now)
	if refusal != nil {
		d.settle(Refused(d.call.Ctx.CallID, refusal))
		return Action{Kind: ActionDone, Response: d.final}
	}
	return d.send(now, target)
}

// settle ends the call with a, unless an earlier attempt may have run: a
// refusal that promises "not run" would then be false, and the caller gets the
// earlier outcome.
func (d *Dispatch) settle(a *Response) {
	last := retry.Attempt{Code: a.Code, MayHaveRun: d.unproven != nil}
	if retry.FinalCode(last) != a.Code {
		a = d.unproven
	}
	d.final = a
}

// Leave ends a call whose caller left while no attempt was out. Without it the
// next one would still be sent, and one that is not idempotent would run to its
// end for nobody.
func (d *Dispatch) Leave() {
	if d.final == nil {
		d.settle(Refused(d.call.Ctx.CallID, result.Refuse(result.Cancelled, "the caller left before the next attempt")))
	}
}

// rank is what upstreams shed the call by. Further calls of a tree are not shed.
func (d *Dispatch) rank() uint32 {
	if d.call.HasPriorWork {
		return 0
	}
	return admission.Rank(d.call.Ctx.Level, d.call.Ctx.CallerHash)
}

func (d *Dispatch) pick(now time.Time) (*routing.Target, *result.Refusal) {
	info := routing.PickInfo{
		Service:      d.call.Ctx.Service,
		Rank:         d.rank(),
		Avoid:        d.tried,
		HasPriorWork: d.call.Ctx.Depth > 0,
		Node:         d.next,
	}
	d.marks = d.router.CrashRecords(now, d.call)
	switch {
	case info.Node != "":
	case d.call.Keyed():
		info.Node = d.router.Owner(d.call)
	case len(d.marks) > 0:
		info.SuspectedCrasher = true
		info.Node = d.home()
	}
	target, refusal := d.router.Table().Pick(now, d.rng, info)
	if refusal != nil && info.Node != "" {
		// The owner is leaving or gone: any other guard knows the next one.
		info.Node = ""
		return d.router.Table().Pick(now, d.rng, info)
	}
	return target, refusal
}

// home names the one guard where a suspect may run, so that two guards don't
// lose their upstreams to it at the same time.
func (d *Dispatch) home() string {
	var candidates []string
	for _, t := range d.router.Table().Targets(d.call.Ctx.Service) {
		node := t.Endpoint().Node
		if !slices.Contains(d.tried, node) {
			candidates = append(candidates, node)
		}
	}
	return quarantine.Home(d.call.Fingerprint(), candidates)
}

func (d *Dispatch) send(now time.Time, target *routing.Target) Action {
	attempt := *d.call
	attempt.Ctx.CallID = d.router.NewID()
	d.share = d.account.Lend()
	attempt.Allowance = d.share.Amount()
	attempt.CrashRecords = d.marks
	attempt.IsRetry = d.call.IsRetry || d.arrived
	d.attempts++
	d.target = target
	d.sent = now
	d.next = ""
	target.Start(now)
	if d.watch != nil {
		d.watch.routed(now, d, &attempt)
	}
	return Action{Kind: ActionSend, Target: target, Attempt: &attempt}
}

// Observe takes the end of the attempt last sent.
func (d *Dispatch) Observe(now time.Time, a *Response) {
	d.share.Return(a.Unused)
	wasOut := d.target.Ejected()
	d.target.Done(now, routedOutcome(a), now.Sub(d.sent), a.Load)
	d.away += now.Sub(d.sent)
	if d.watch != nil {
		d.watch.moved(now, d, wasOut)
	}
	throttle := d.router.Throttle(d.call.Ctx.Service)
	if a.Whole() {
		throttle.Success()
		d.final = a
		return
	}
	d.arrived = d.arrived || !neverArrived(a.Code)
	if countsAgainstThrottle(a.Code) {
		throttle.Failure()
	}
	if a.Crashed != 0 {
		a.Upstream = d.target.Endpoint().Node
		d.router.ReportCrash(now, d.call, a)
	}
	if a.Code.Ran() != result.RanNo && d.unproven == nil {
		d.unproven = a
	}
	d.decide(now, a, throttle)
}

func (d *Dispatch) decide(now time.Time, a *Response, throttle *retry.Throttle) {
	if d.hold(now, a) {
		return
	}
	action, wait := retry.Decide(retry.Attempt{
		Code:       a.Code,
		AllFull:    a.Refusal.AllFull,
		Idempotent: d.call.Ctx.Idempotent,
		Remaining:  d.call.Ctx.Remaining(now),
		Owner:      a.Refusal.Owner,
		MayHaveRun: d.unproven != nil && d.unproven != a,
		Number:     d.retries,
		OwnerAsked: d.redirects,
		Rand:       d.rng,
	}, d.router.RetryPolicy())
	switch {
	case action == retry.AskOwner:
		d.redirects++
		d.next = d.router.At(d.call.Ctx.Service, a.Refusal.Owner)
		d.pause = wait
	case action == retry.RetryOtherNode && d.reroute(a):
		d.tried = append(d.tried, d.target.Endpoint().Node)
		d.pause = wait
	case action == retry.RetryOtherNode && !d.mayPass(throttle):
		d.settle(a)
	case action == retry.RetryOtherNode && d.account.Spend():
		d.retries++
		if d.watch != nil {
			d.watch.retried(now, d, a, wait)
		}
		d.tried = append(d.tried, d.target.Endpoint().Node)
		d.pause = wait
	default:
		d.settle(a)
	}
}

// reroute reports whether the call may go elsewhere without cost: it did not
// reach an upstream, so it adds no load to any, and a node that learns late that
// an upstream left must not use up what a caller has for real failures.
func (d *Dispatch) reroute(a *Response) bool {
	if d.watch == nil || d.reroutes >= d.watch.cfg.Reroutes || !neverArrived(a.Code) {
		return false
	}
	d.reroutes++
	return true
}

// neverArrived reports whether an attempt with this end did not reach an
// upstream.
func neverArrived(c result.Code) bool {
	switch c {
	case result.Shed, result.QueueExpired, result.Draining, result.NoUpstream, result.Unreachable, result.Starting:
		return true
	}
	return false
}

// mayPass asks the destination's throttle and counts its refusals.
func (d *Dispatch) mayPass(throttle *retry.Throttle) bool {
	if throttle.Allow() {
		return true
	}
	if d.watch != nil {
		d.watch.cfg.Metrics.Inc(metrics.RetriesThrottled, 1)
	}
	return false
}

// hold waits, once, until a request that was in flight at a crash may run
// alone: word of other crashes needs a moment to arrive.
func (d *Dispatch) hold(now time.Time, a *Response) bool {
	wait := a.Refusal.RetryAfter
	inFlight := d.unproven != nil && d.unproven.Crashed != 0
	if a.Code != result.Quarantined || !inFlight || d.held || wait <= 0 {
		return false
	}
	if d.call.Ctx.Remaining(now) < 2*wait || !d.account.Spend() {
		return false
	}
	d.held = true
	d.retries++
	d.pause = wait
	if d.watch != nil {
		d.watch.retried(now, d, a, wait)
	}
	return true
}

// countsAgainstThrottle leaves out what says nothing about the destination.
func countsAgainstThrottle(c result.Code) bool {
	switch c {
	case result.OwnedElsewhere, result.Cancelled, result.CancelledRunning, result.KeyReused, result.Quarantined:
		return false
	}
	return true
}

func routedOutcome(a *Response) routing.Outcome {
	switch {
	case a.Whole():
		return routing.Answered
	case a.Code == result.Unreachable, a.Code == result.NoUpstream:
		// A node without its upstream is no better than one that isn't there.
		return routing.Unreachable
	case a.Code == result.Cancelled, a.Code == result.CancelledRunning:
		return routing.Cancelled
	case a.Code == result.DeadlinePassed:
		return routing.Slow
	case a.Code.Ran() == result.RanNo:
		return routing.Refused
	default:
		return routing.Failed
	}
}
