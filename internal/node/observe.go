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

// Sampled reports whether the events of a successful call are recorded. All nodes decide by the
// request ID alone, so that a sampled request is recorded at every hop.
func (n *Node) Sampled(requestID string) bool {
	return n.cfg.Ring != nil && n.sampler.Keep(requestID)
}

// Metrics returns the node's metrics.
func (n *Node) Metrics() *metrics.Set { return n.cfg.Metrics }

// Stamp returns the hybrid logical clock to send with a call whose events are recorded, and 0 for
// any other call.
func (n *Node) Stamp(call *Call) uint64 {
	if !call.Sampled || n.cfg.Ring == nil {
		return 0
	}
	return uint64(n.cfg.Ring.Clock().Now(n.Now()))
}

// ObserveClock merges the clock received with a call or a response into the node's clock; 0 is
// ignored.
func (n *Node) ObserveClock(stamp uint64) {
	if stamp != 0 && n.cfg.Ring != nil {
		n.cfg.Ring.Clock().Receive(timeline.HLC(stamp), n.Now())
	}
}

// recordCall adds an event of a call to the timeline. Callers check call.Sampled first, so that
// a call without events allocates no memory and formats no text.
func (n *Node) recordCall(now time.Time, kind timeline.Kind, call *Call, code result.Code, upstream, detail string) {
	e := callEvent(kind, call)
	e.Code, e.Upstream, e.Detail = code, upstream, detail
	n.Event(now, e)
}

// RecordRejected records a request that was refused before it became a call: its context,
// workspace or body was invalid, or this node could not accept it.
func (n *Node) RecordRejected(workspace, service, requestID string, r *result.Refusal) {
	n.cfg.Metrics.Result(r.Code)
	call := &Call{}
	call.Ctx.Workspace, call.Ctx.Service, call.Ctx.RequestID = workspace, service, requestID
	n.recordCall(n.Now(), timeline.CallRefused, call, r.Code, "", r.Detail)
	if n.cfg.OnRefused != nil {
		n.cfg.OnRefused(call, r)
	}
}

// recordReceived records the start of a dispatch.
func (n *Node) recordReceived(now time.Time, call *Call, allowance int) {
	if !call.Sampled {
		return
	}
	c := &call.Ctx
	n.recordCall(now, timeline.CallReceived, call, 0, "", fmt.Sprintf("depth %d, level %s, %s left, allowance %d, idempotent %t, keyed %t",
		c.Depth, c.Level, c.Remaining(now).Round(time.Millisecond), allowance, c.Idempotent, call.Keyed()))
}

// recordRouted records the choice of an upstream.
func (n *Node) recordRouted(now time.Time, d *Dispatch, attempt *Call) {
	if !attempt.Sampled {
		return
	}
	s := d.target.Stats()
	detail := fmt.Sprintf("attempt %d of call %s; target: %d in flight from here, reported %d of %d in flight and %d queued",
		d.attempts, d.call.Ctx.CallID, s.InFlight, s.Report.InFlight, s.Report.Limit, s.Report.Queued)
	if len(d.handedBackBy) > 0 {
		detail += "; handed back by " + d.handedBackBy[len(d.handedBackBy)-1]
	}
	n.recordCall(now, timeline.CallRouted, attempt, 0, d.target.Endpoint().Node, detail)
}

// recordRetried records the failed attempt of a call that is retried. From here on the call's
// events are recorded on every hop.
func (n *Node) recordRetried(now time.Time, d *Dispatch, a *Response, wait time.Duration) {
	n.cfg.Metrics.Inc(metrics.CallsRetried, 1)
	d.call.Sampled = true
	e := callEvent(timeline.CallRetried, d.call)
	e.Code, e.Upstream = a.Code, d.target.Endpoint().Node
	e.Detail = fmt.Sprintf("retry %d after a wait of %s; failed attempt was call %s: %s", d.retries, wait.Round(time.Millisecond), a.CallID, a.Refusal.Detail)
	n.Event(now, e)
}

// recordEjection records that a response caused a target to be ejected or readmitted.
func (n *Node) recordEjection(now time.Time, d *Dispatch, wasEjected bool) {
	ejected := d.target.Ejected()
	if ejected == wasEjected {
		return
	}
	ep := d.target.Endpoint()
	kind := timeline.UpstreamBack
	if ejected {
		kind = timeline.UpstreamEjected
		n.cfg.Metrics.Inc(metrics.UpstreamsEjected, 1)
	}
	s := d.target.Stats()
	n.Event(now, timeline.Event{Kind: kind, Service: ep.Service, Upstream: ep.Node, Detail: fmt.Sprintf(
		"failed share %.2f, %d failures in a row", s.FailedShare, s.ConsecutiveFailures)})
}

// eventRecorder records the events of a guard's calls; a nil recorder discards them.
type eventRecorder struct {
	node *Node
	// lastLoad is the load that was last recorded.
	lastLoad        admission.Load
	limitRecordedAt time.Time
	// wasTight is whether the service was scarce when that was last recorded.
	wasTight bool
}

func (o *eventRecorder) sampled(call *Call) bool { return o != nil && call.Sampled }

func (o *eventRecorder) inc(c metrics.Counter) {
	if o != nil {
		o.node.cfg.Metrics.Inc(c, 1)
	}
}

// offered records the admission verdict on a call.
func (o *eventRecorder) offered(now time.Time, call *Call, v admission.Verdict, l admission.Load) {
	o.inc(metrics.CallsGuarded)
	if !o.sampled(call) || v == admission.Refuse {
		return
	}
	kind := timeline.CallAdmitted
	if v == admission.Wait {
		kind = timeline.CallQueued
	}
	o.node.recordCall(now, kind, call, 0, o.node.ID(), fmt.Sprintf("in flight %d, limit %d, queued %d", l.InFlight, l.Limit, l.Queued))
}

// refused records a call that did not run here, whether it is sampled or not, because every
// refusal must be explained.
func (o *eventRecorder) refused(now time.Time, call *Call, r *result.Refusal) {
	if o == nil {
		return
	}
	kind := timeline.CallRefused
	if r.Code == result.Cancelled {
		kind = timeline.CallCancelled
		o.inc(metrics.CallsCancelled)
	}
	o.node.recordCall(now, kind, call, r.Code, o.node.ID(), r.Detail)
}

func (o *eventRecorder) started(now time.Time, e *execution) {
	if o == nil {
		return
	}
	o.node.cfg.Metrics.Observe(metrics.QueueTime, now.Sub(e.arrived))
	if o.sampled(e.call) {
		o.node.recordCall(now, timeline.CallStarted, e.call, 0, o.node.ID(), "waited "+now.Sub(e.arrived).Round(time.Microsecond).String())
	}
}

// finished records the end of a run.
func (o *eventRecorder) finished(now time.Time, e *execution, a *Response) {
	if o == nil {
		return
	}
	ran := now.Sub(e.started)
	o.node.cfg.Metrics.Observe(metrics.UpstreamTime, ran)
	if a.Complete() && !o.sampled(e.call) {
		return
	}
	detail := "ran " + ran.Round(time.Microsecond).String()
	if !a.Complete() {
		detail += ": " + a.Refusal.Detail
	}
	event := callEvent(timeline.CallAnswered, e.call)
	event.Code, event.Upstream, event.Detail, event.Cause = a.Code, o.node.ID(), detail, a.Cause
	o.node.Event(now, event)
}

func (o *eventRecorder) joined(now time.Time, call *Call, running string) {
	o.inc(metrics.CallsJoined)
	if o != nil {
		o.node.recordCall(now, timeline.CallJoined, call, 0, o.node.ID(), "waits for call "+running+" of the same key")
	}
}

func (o *eventRecorder) cancelled(now time.Time, call *Call, detail string) {
	o.inc(metrics.CallsCancelled)
	if o != nil {
		o.node.recordCall(now, timeline.CallCancelled, call, result.CancelledRunning, o.node.ID(), detail)
	}
}

func (o *eventRecorder) cleared(now time.Time, records []quarantine.CrashRecord) {
	if o == nil || len(records) == 0 {
		return
	}
	o.node.Event(now, timeline.Event{Kind: timeline.Cleared, Upstream: o.node.ID(), Detail: fmt.Sprintf("request %016x succeeded", uint64(records[0].Fingerprint))})
}

// minLimitInterval is the least time between two recorded limits, so that a limit that changes
// continuously does not fill the ring.
const minLimitInterval = time.Second

// recordLoad records the changes of the guard's load since the last recorded one.
func (o *eventRecorder) recordLoad(now time.Time, l admission.Load) {
	if o == nil {
		return
	}
	if l.Overloaded != o.lastLoad.Overloaded {
		kind := timeline.OverloadFinished
		if l.Overloaded {
			kind = timeline.OverloadStarted
		}
		o.node.Event(now, timeline.Event{Kind: kind, Upstream: o.node.ID(), Detail: fmt.Sprintf("in flight %d, limit %d, queued %d, threshold %d", l.InFlight, l.Limit, l.Queued, l.Threshold)})
		o.lastLoad.Overloaded = l.Overloaded
	}
	if l.Limit == o.lastLoad.Limit || now.Sub(o.limitRecordedAt) < minLimitInterval {
		return
	}
	o.node.Event(now, timeline.Event{Kind: timeline.LimitChanged, Upstream: o.node.ID(), Detail: fmt.Sprintf("concurrency limit changed from %d to %d", o.lastLoad.Limit, l.Limit)})
	o.lastLoad.Limit = l.Limit
	o.limitRecordedAt = now
}

// recordSuspected records the requests that were running when the upstream crashed.
func (n *Node) recordSuspected(now time.Time, records []quarantine.CrashRecord) {
	for _, s := range records {
		n.Event(now, timeline.Event{Kind: timeline.Suspected, Upstream: s.Upstream, Detail: fmt.Sprintf(
			"request %016x was running when the upstream crashed, alone %t", uint64(s.Fingerprint), s.Alone)})
	}
}
