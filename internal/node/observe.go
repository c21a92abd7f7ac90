package node

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// Sampled reports whether the events of a good call are kept. Every node
// decides alike by the request ID, so a kept request is seen over all hops.
func (n *Node) Sampled(requestID string) bool {
	return n.cfg.Ring != nil && n.sampler.Keep(requestID)
}

// Metrics returns the node's numbers.
func (n *Node) Metrics() *metrics.Set { return n.cfg.Metrics }

// Stamp returns the clock that travels with a call whose events are kept, and
// 0 for any other.
func (n *Node) Stamp(call *Call) uint64 {
	if !call.Sampled || n.cfg.Ring == nil {
		return 0
	}
	return uint64(n.cfg.Ring.Clock().Now(n.Now()))
}

// ObserveClock takes in the clock that came with a call or an answer.
func (n *Node) ObserveClock(stamp uint64) {
	if stamp != 0 && n.cfg.Ring != nil {
		n.cfg.Ring.Clock().Receive(timeline.HLC(stamp), n.Now())
	}
}

// note puts an event of a call on the time line. Callers look at call.Kept
// first, so that a call that isn't kept costs neither text nor memory.
func (n *Node) note(now time.Time, kind timeline.Kind, call *Call, code result.Code, upstream, detail string) {
	e := callEvent(kind, call)
	e.Code, e.Upstream, e.Detail = code, upstream, detail
	n.Event(now, e)
}

// RecordRejected records a request that ended before it was a call: its context, its
// workspace or its body was at fault, or this node could not take it.
func (n *Node) RecordRejected(workspace, service, requestID string, r *result.Refusal) {
	n.cfg.Metrics.Result(r.Code)
	call := &Call{}
	call.Ctx.Workspace, call.Ctx.Service, call.Ctx.RequestID = workspace, service, requestID
	n.note(n.Now(), timeline.CallRefused, call, r.Code, "", r.Detail)
	if n.cfg.OnRefused != nil {
		n.cfg.OnRefused(call, r)
	}
}

// began records a call that a Dispatch took up.
func (n *Node) began(now time.Time, call *Call, allowance int) {
	if !call.Sampled {
		return
	}
	c := &call.Ctx
	n.note(now, timeline.CallReceived, call, 0, "", fmt.Sprintf("depth %d, level %s, %s left, allowance %d, idempotent %t, keyed %t",
		c.Depth, c.Level, c.Remaining(now).Round(time.Millisecond), allowance, c.Idempotent, call.Keyed()))
}

// routed records the choice of an upstream.
func (n *Node) routed(now time.Time, d *Dispatch, attempt *Call) {
	if !attempt.Sampled {
		return
	}
	s := d.target.Stats()
	n.note(now, timeline.CallRouted, attempt, 0, d.target.Endpoint().Node, fmt.Sprintf("attempt %d of call %s, %d out there, it reported %d of %d and %d queued",
		d.attempts, d.call.Ctx.CallID, s.InFlight, s.Report.InFlight, s.Report.Limit, s.Report.Queued))
}

// retried records what came of an attempt that is made again elsewhere. From
// here on the call is kept, on every hop.
func (n *Node) retried(now time.Time, d *Dispatch, a *Response, wait time.Duration) {
	n.cfg.Metrics.Inc(metrics.CallsRetried, 1)
	d.call.Sampled = true
	e := callEvent(timeline.CallRetried, d.call)
	e.Code, e.Upstream = a.Code, d.target.Endpoint().Node
	e.Detail = fmt.Sprintf("retry %d after %s, attempt was call %s: %s", d.retries, wait.Round(time.Millisecond), a.CallID, a.Refusal.Detail)
	n.Event(now, e)
}

// moved records that an outcome took a target out or brought it back.
func (n *Node) moved(now time.Time, d *Dispatch, wasOut bool) {
	out := d.target.Ejected()
	if out == wasOut {
		return
	}
	ep := d.target.Endpoint()
	kind := timeline.UpstreamBack
	if out {
		kind = timeline.UpstreamEjected
		n.cfg.Metrics.Inc(metrics.UpstreamsEjected, 1)
	}
	s := d.target.Stats()
	n.Event(now, timeline.Event{Kind: kind, Service: ep.Service, Upstream: ep.Node, Detail: fmt.Sprintf(
		"failed share %.2f, %d failures in a row", s.FailedShare, s.ConsecutiveFailures)})
}

// observer is what a guard tells of its calls; nil tells nobody.
type observer struct {
	node *Node
	// load is the last reading that went on the time line.
	load    admission.Load
	limitAt time.Time
}

func (o *observer) kept(call *Call) bool { return o != nil && call.Sampled }

func (o *observer) inc(c metrics.Counter) {
	if o != nil {
		o.node.cfg.Metrics.Inc(c, 1)
	}
}

// offered records the verdict on a call that asked to run.
func (o *observer) offered(now time.Time, call *Call, v admission.Verdict, l admission.Load) {
	o.inc(metrics.CallsGuarded)
	if !o.kept(call) || v == admission.Refuse {
		return
	}
	kind := timeline.CallAdmitted
	if v == admission.Wait {
		kind = timeline.CallQueued
	}
	o.node.note(now, kind, call, 0, o.node.ID(), fmt.Sprintf("in flight %d, limit %d, queued %d", l.InFlight, l.Limit, l.Queued))
}

// refused records a call that did not run here, whether it is kept or not: a
// refusal must always be explained.
func (o *observer) refused(now time.Time, call *Call, r *result.Refusal) {
	if o == nil {
		return
	}
	kind := timeline.CallRefused
	if r.Code == result.Cancelled {
		kind = timeline.CallCancelled
		o.inc(metrics.CallsCancelled)
	}
	o.node.note(now, kind, call, r.Code, o.node.ID(), r.Detail)
}

func (o *observer) started(now time.Time, e *execution) {
	if o == nil {
		return
	}
	o.node.cfg.Metrics.Observe(metrics.QueueTime, now.Sub(e.arrived))
	if o.kept(e.call) {
		o.node.note(now, timeline.CallStarted, e.call, 0, o.node.ID(), "waited "+now.Sub(e.arrived).Round(time.Microsecond).String())
	}
}

// finished records the end of a run.
func (o *observer) finished(now time.Time, e *execution, a *Response) {
	if o == nil {
		return
	}
	ran := now.Sub(e.started)
	o.node.cfg.Metrics.Observe(metrics.UpstreamTime, ran)
	if a.Whole() && !o.kept(e.call) {
		return
	}
	detail := "ran " + ran.Round(time.Microsecond).String()
	if !a.Whole() {
		detail += ": " + a.Refusal.Detail
	}
	answered := callEvent(timeline.CallAnswered, e.call)
	answered.Code, answered.Upstream, answered.Detail, answered.Cause = a.Code, o.node.ID(), detail, a.Cause
	o.node.Event(now, answered)
}

func (o *observer) joined(now time.Time, call *Call, running string) {
	o.inc(metrics.CallsJoined)
	if o != nil {
		o.node.note(now, timeline.CallJoined, call, 0, o.node.ID(), "waits for call "+running+" of the same key")
	}
}

func (o *observer) cancelled(now time.Time, call *Call, detail string) {
	o.inc(metrics.CallsCancelled)
	if o != nil {
		o.node.note(now, timeline.CallCancelled, call, result.CancelledRunning, o.node.ID(), detail)
	}
}

func (o *observer) cleared(now time.Time, suspects []quarantine.CrashRecord) {
	if o == nil || len(suspects) == 0 {
		return
	}
	o.node.Event(now, timeline.Event{Kind: timeline.Cleared, Upstream: o.node.ID(), Detail: fmt.Sprintf("request %016x succeeded", uint64(suspects[0].Fingerprint))})
}

// limitPeriod keeps a limit that moves all the time from filling the ring.
const limitPeriod = time.Second

// watch compares the guard's load with what was last recorded.
func (o *observer) watch(now time.Time, l admission.Load) {
	if o == nil {
		return
	}
	if l.Overloaded != o.load.Overloaded {
		kind := timeline.OverloadFinished
		if l.Overloaded {
			kind = timeline.OverloadStarted
		}
		o.node.Event(now, timeline.Event{Kind: kind, Upstream: o.node.ID(), Detail: fmt.Sprintf("in flight %d, limit %d, queued %d, threshold %d", l.InFlight, l.Limit, l.Queued, l.Threshold)})
		o.load.Overloaded = l.Overloaded
	}
	if l.Limit == o.load.Limit || now.Sub(o.limitAt) < limitPeriod {
		return
	}
	o.node.Event(now, timeline.Event{Kind: timeline.LimitChanged, Upstream: o.node.ID(), Detail: fmt.Sprintf("%d to %d", o.load.Limit, l.Limit)})
	o.load.Limit = l.Limit
	o.limitAt = now
}

// suspected records the requests that a dead upstream ran.
func (n *Node) suspected(now time.Time, suspects []quarantine.CrashRecord) {
	for _, s := range suspects {
		n.Event(now, timeline.Event{Kind: timeline.Suspected, Upstream: s.Upstream, Detail: fmt.Sprintf(
			"request %016x ran when it died, alone %t", uint64(s.Fingerprint), s.Alone)})
	}
}
