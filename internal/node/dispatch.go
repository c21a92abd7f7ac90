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

// ActionKind is the next action for the caller of a Dispatch.
type ActionKind int

const (
	// ActionSend means: send Attempt to Target and report its response with Observe.
	ActionSend ActionKind = iota
	// ActionPause means: wait for Pause, then call Next again.
	ActionPause
	// ActionDone means: return Response to the caller.
	ActionDone
)

// Action is the next action, as returned by Next.
type Action struct {
	Kind     ActionKind
	Target   *routing.Target
	Attempt  *Call
	Pause    time.Duration
	Response *Response
}

// Router gives a Dispatch access to the state of its node.
type Router interface {
	// Table returns the routing table in force.
	Table() *routing.Table
	// Owner returns the node that owns the call's key; empty when any may run it.
	Owner(call *Call) string
	// NodeAt returns the node of the service at an inner address; empty when unknown.
	NodeAt(service, addr string) string
	// Throttle returns the retry throttle of a destination service.
	Throttle(service string) *retry.Throttle
	// RetryPolicy returns the backoff in force.
	RetryPolicy() retry.Policy
	// CrashRecords returns the crash records of the call's request, if any.
	CrashRecords(now time.Time, call *Call) []quarantine.CrashRecord
	// ReportCrash records that an upstream crashed while it ran the call.
	ReportCrash(now time.Time, call *Call, a *Response)
	// NewID returns a fresh call ID.
	NewID() string
}

// Dispatch takes one call from its entry or exit node to a response: it chooses upstreams,
// classifies their responses and spends the retry allowance of the call chain. It does no I/O.
// Not safe for concurrent use.
type Dispatch struct {
	router  Router
	rng     *rand.Rand
	call    *Call
	account *retry.Account

	tried     []string
	ownerNode string // owner of the key, as named by the last response
	redirects int
	// maybeRanResponse is the response of the first attempt that may have run; nil when there is none.
	maybeRanResponse *Response
	attempts         int
	retries          int
	// reroutes counts the attempts that did not reach an upstream and were followed by an attempt
	// at another node without spending the allowance.
	reroutes int
	// handedBackBy are the nodes that handed the call back.
	handedBackBy []string
	// pinned means that only one node may run the call.
	pinned           bool
	crashRecords     []quarantine.CrashRecord
	waitedForSuspect bool // waitForSuspect has paused the call
	pause            time.Duration
	finalResponse    *Response
	target           *routing.Target
	share            *retry.Share
	sentAt           time.Time
	// node records the decisions; nil when the router is not a Node.
	node      *Node
	startedAt time.Time
	// mayHaveArrived means that an attempt may have reached an upstream.
	mayHaveArrived bool
	// attemptTime is the total time that attempts took.
	attemptTime time.Duration
}

// NewDispatch returns the dispatch of a call whose retries are paid from account.
func NewDispatch(router Router, rng *rand.Rand, call *Call, account *retry.Account) *Dispatch {
	n, _ := router.(*Node)
	return &Dispatch{router: router, rng: rng, call: call, account: account, node: n}
}

// Next returns the next action.
func (d *Dispatch) Next(now time.Time) Action {
	if d.startedAt.IsZero() {
		d.startedAt = now
		if d.node != nil {
			d.node.recordReceived(now, d.call, d.account.Balance())
		}
	}
	if d.finalResponse != nil {
		return Action{Kind: ActionDone, Response: d.finalResponse}
	}
	if d.pause > 0 {
		pause := d.pause
		d.pause = 0
		return Action{Kind: ActionPause, Pause: pause}
	}
	if d.call.Remaining(now) <= 0 {
		d.settle(Refused(d.call.Ctx.CallID, result.Refuse(result.DeadlineTooNear, "the deadline passed before an upstream was chosen")))
		return Action{Kind: ActionDone, Response: d.finalResponse}
	}
	target, refusal := d.pick(now)
	if refusal != nil {
		d.settle(Refused(d.call.Ctx.CallID, refusal))
		return Action{Kind: ActionDone, Response: d.finalResponse}
	}
	return d.send(now, target)
}

// settle ends the call with a, unless an earlier attempt may have run. A refusal that
// guarantees "not run" would then be false, and the caller gets the response of the earlier
// attempt.
func (d *Dispatch) settle(a *Response) {
	last := retry.Attempt{Code: a.Code, MayHaveRun: d.maybeRanResponse != nil}
	if retry.FinalCode(last) != a.Code {
		a = d.maybeRanResponse
	}
	d.finalResponse = a
}

// Leave ends a call whose caller left between two attempts. Otherwise the next attempt would
// still be sent, and a call that is not idempotent would run to its end without a receiver.
func (d *Dispatch) Leave() {
	if d.finalResponse == nil {
		d.settle(Refused(d.call.Ctx.CallID, result.Refuse(result.Cancelled, "the caller left before the next attempt")))
	}
}

// rank returns the rank by which upstreams shed the call. It is 0 for calls of a tree with
// prior work or with room promised by the called service, which are not shed.
func (d *Dispatch) rank() uint32 {
	if d.call.HasPriorWork || d.call.Room.By(d.call.Ctx.Service) {
		return 0
	}
	return admission.Rank(d.call.Ctx.Level, d.call.Ctx.CallerHash)
}

func (d *Dispatch) pick(now time.Time) (*routing.Target, *result.Refusal) {
	info := routing.PickInfo{
		Service: d.call.Ctx.Service,
		Rank:    d.rank(),
		Avoid:   d.tried,
		IsChild: d.call.Ctx.Depth > 0,
		Node:    d.ownerNode,
	}
	d.crashRecords = d.router.CrashRecords(now, d.call)
	switch {
	case info.Node != "":
	case d.call.Keyed():
		info.Node = d.router.Owner(d.call)
	case len(d.crashRecords) > 0:
		info.SuspectedCrasher = true
		info.Node = d.suspectNode()
	}
	d.pinned = info.Node != ""
	if len(d.handedBackBy) > 0 && !d.pinned {
		return d.pickAfterHandBack(now, info)
	}
	target, refusal := d.router.Table().Pick(now, d.rng, info)
	if refusal != nil && info.Node != "" {
		// The owner is unavailable. Any other guard can name the next owner.
		info.Node = ""
		return d.router.Table().Pick(now, d.rng, info)
	}
	return target, refusal
}

// suspectNode returns the single node on which a suspected crasher may run, so that it does not
// crash the upstreams of two nodes at the same time.
func (d *Dispatch) suspectNode() string {
	var candidates []string
	for _, t := range d.router.Table().Targets(d.call.Ctx.Service) {
		node := t.Endpoint().Node
		if !slices.Contains(d.tried, node) {
			candidates = append(candidates, node)
		}
	}
	return quarantine.AssignedGuard(d.call.Fingerprint(), candidates)
}

func (d *Dispatch) send(now time.Time, target *routing.Target) Action {
	attempt := *d.call
	attempt.Ctx.CallID = d.router.NewID()
	d.share = d.account.Lend()
	attempt.Allowance = d.share.Amount()
	attempt.CrashRecords = d.crashRecords
	attempt.IsRetry = d.call.IsRetry || d.mayHaveArrived
	d.attempts++
	d.target = target
	d.sentAt = now
	d.ownerNode = ""
	target.Start(now)
	if d.node != nil {
		d.node.number(&attempt)
		d.node.offerHandBack(now, d, &attempt)
		attempt.KnownNotice = d.node.peerNotices.of(target.Endpoint().Node)
		d.node.recordRouted(now, d, &attempt)
	}
	return Action{Kind: ActionSend, Target: target, Attempt: &attempt}
}

// Observe processes the response of the attempt last sent.
func (d *Dispatch) Observe(now time.Time, a *Response) {
	d.share.Return(a.UnusedAllowance)
	wasEjected := d.target.Ejected()
	d.target.Done(now, routingOutcome(a), now.Sub(d.sentAt), d.usedReport(a.Load))
	d.attemptTime += now.Sub(d.sentAt)
	if d.node != nil {
		d.node.peerNotices.observe(now, d.target.Endpoint().Node, a)
		d.node.recordEjection(now, d, wasEjected)
	}
	throttle := d.router.Throttle(d.call.Ctx.Service)
	if a.Complete() {
		throttle.Success()
		d.finalResponse = a
		return
	}
	d.mayHaveArrived = d.mayHaveArrived || !didNotReachUpstream(a.Code)
	if countsAgainstThrottle(a.Code) {
		throttle.Failure()
	}
	if a.Crashed != 0 {
		a.Upstream = d.target.Endpoint().Node
		d.router.ReportCrash(now, d.call, a)
	}
	if a.Code.Ran() != result.RanNo && d.maybeRanResponse == nil {
		d.maybeRanResponse = a
	}
	d.decide(now, a, throttle)
}

func (d *Dispatch) decide(now time.Time, a *Response, throttle *retry.Throttle) {
	if d.waitForSuspect(now, a) {
		return
	}
	action, wait := retry.Decide(retry.Attempt{
		Code:       a.Code,
		AllFull:    a.Refusal.AllFull,
		Idempotent: d.call.Ctx.Idempotent,
		Remaining:  d.call.Remaining(now),
		Owner:      a.Refusal.Owner,
		MayHaveRun: d.maybeRanResponse != nil && d.maybeRanResponse != a,
		Number:     d.retries,
		OwnerAsked: d.redirects,
		Rand:       d.rng,
	}, d.router.RetryPolicy())
	switch {
	case action == retry.AskOwner:
		d.redirects++
		d.ownerNode = d.router.NodeAt(d.call.Ctx.Service, a.Refusal.Owner)
		d.pause = wait
	case action == retry.RetryOtherNode && d.takeBack(a):
		d.pause = wait
	case action == retry.RetryOtherNode && d.reroute(a):
		d.tried = append(d.tried, d.target.Endpoint().Node)
		d.pause = wait
	case action == retry.RetryOtherNode && !d.throttleAllows(throttle):
		d.settle(a)
	case action == retry.RetryOtherNode && d.account.Spend():
		d.retries++
		if d.node != nil {
			d.node.recordRetried(now, d, a, wait)
		}
		d.tried = append(d.tried, d.target.Endpoint().Node)
		d.pause = wait
	default:
		d.settle(a)
	}
}

// reroute reports whether the call may be sent to another node without spending its allowance.
// The attempt did not reach an upstream and added no load to any. A node that still routes to
// an upstream that has left would otherwise use up the allowance meant for real failures.
func (d *Dispatch) reroute(a *Response) bool {
	if d.node == nil || d.reroutes >= d.node.cfg.MaxReroutes || !didNotReachUpstream(a.Code) {
		return false
	}
	d.reroutes++
	return true
}

// didNotReachUpstream reports whether an attempt with this result did not reach an upstream.
func didNotReachUpstream(c result.Code) bool {
	switch c {
	case result.HandedBack, result.Shed, result.QueueExpired, result.Draining, result.NoUpstream, result.Unreachable, result.Starting:
		return true
	}
	return false
}

// throttleAllows reports whether the retry throttle of the destination allows a retry, and
// counts the retries that it rejects.
func (d *Dispatch) throttleAllows(throttle *retry.Throttle) bool {
	if throttle.Allow() {
		return true
	}
	if d.node != nil {
		d.node.cfg.Metrics.Inc(metrics.RetriesThrottled, 1)
	}
	return false
}

// waitForSuspect pauses a call once if an attempt of it was running when an upstream crashed and a
// guard now refuses it as quarantined. The pause is the retry delay of the refusal, after which the
// request may run alone; it gives the records of other crashes time to arrive from the peers.
// waitForSuspect reports whether the call is paused.
func (d *Dispatch) waitForSuspect(now time.Time, a *Response) bool {
	wait := a.Refusal.RetryAfter
	inFlight := d.maybeRanResponse != nil && d.maybeRanResponse.Crashed != 0
	if a.Code != result.Quarantined || !inFlight || d.waitedForSuspect || wait <= 0 {
		return false
	}
	if d.call.Remaining(now) < 2*wait || !d.account.Spend() {
		return false
	}
	d.waitedForSuspect = true
	d.retries++
	d.pause = wait
	if d.node != nil {
		d.node.recordRetried(now, d, a, wait)
	}
	return true
}

// countsAgainstThrottle reports whether a result counts as a failure of the destination for the
// retry throttle. Results that are unrelated to the destination do not count.
func countsAgainstThrottle(c result.Code) bool {
	switch c {
	case result.HandedBack, result.OwnedElsewhere, result.Cancelled, result.CancelledRunning, result.KeyReused, result.Quarantined:
		return false
	}
	return true
}

func routingOutcome(a *Response) routing.Outcome {
	switch {
	case a.Complete():
		return routing.Answered
	case a.Code == result.Unreachable, a.Code == result.NoUpstream:
		// A node without an upstream is treated like an unreachable node.
		return routing.Unreachable
	case a.Code == result.Cancelled, a.Code == result.CancelledRunning:
		return routing.Cancelled
	case a.Code == result.DeadlinePassed:
		return routing.Slow
	case a.Code == result.HandedBack:
		return routing.HandedBack
	case a.Code.Ran() == result.RanNo:
		return routing.Refused
	default:
		return routing.Failed
	}
}
