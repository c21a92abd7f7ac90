package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/lifetime"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

const (
	// maxTimerDelay is the delay of a timer above which this process, or its VM, was paused.
	maxTimerDelay = 500 * time.Millisecond
	// firstResponseGrace is how long a response of the first transmission may still arrive after the
	// guard could not repeat it. A lost packet is sent again within that time.
	firstResponseGrace = time.Second
)

// Send sends an attempt to its guard and returns the response.
//
// A connection can become unresponsive permanently while new connections work. The first
// transmission would then wait until the deadline of the call. After a multiple of the usual response
// time, the same call ID is therefore sent again over a new connection. This second transmission is
// called a re-attachment. If the guard knows the call, the second transmission joins it; if the call was
// never there, the guard runs it now. A guard that may have forgotten the call runs it only if it is
// idempotent.
func (p *Peers) Send(ctx context.Context, endpoint routing.Endpoint, call *node.Call) *node.Response {
	peer := p.peer(endpoint.Addr)
	started := p.node.Now()
	c := &peerCall{peers: p, peer: peer, addr: endpoint.Addr, node: endpoint.Node, incarnation: endpoint.Incarnation, call: call}
	c.ctx.Start(ctx, time.Time{})
	defer c.ctx.Cancel()
	c.scheduleReattach()
	resp := c.roundTrip(&c.ctx, peer.pool, c.call)
	resp = c.finalResponse(resp)
	if resp.Complete() {
		peer.responseTime.observe(p.node.Now().Sub(started))
	}
	return resp
}

// peerCall sends one attempt to a guard over one or two connections.
type peerCall struct {
	peers *Peers
	peer  *peer
	// addr, node and incarnation are those of the endpoint.
	addr, node  string
	incarnation uint64
	call        *node.Call
	ctx         lifetime.Context

	mu sync.Mutex
	// reattachTimer starts a re-attachment at reattachAt.
	reattachTimer *time.Timer
	reattachAt    time.Time
	// reattachResp receives the response of the re-attachment; nil until one is started.
	reattachResp chan *node.Response
	firstDone    bool // the first transmission returned
}

// scheduleReattach starts the wait for a response, unless the first transmission has returned.
func (c *peerCall) scheduleReattach() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.firstDone {
		return
	}
	wait := c.peer.responseTime.reattachWait(c.peers.connections.Reattach)
	c.reattachAt = c.peers.node.Now().Add(wait)
	c.reattachTimer = time.AfterFunc(wait, c.onReattachTimer)
}

// onReattachTimer re-attaches the call. A timer that fires late shows that this process was paused:
// the guard may have responded long ago, and the response gets the usual time to be read.
func (c *peerCall) onReattachTimer() {
	c.mu.Lock()
	late := c.peers.node.Now().Sub(c.reattachAt)
	c.mu.Unlock()
	if late > maxTimerDelay {
		c.scheduleReattach()
		return
	}
	c.reattachIfPending()
}

// reattachIfPending starts a re-attachment if the first transmission has not returned yet. If the
// re-attachment reaches the guard, it cancels the first transmission and resets the pool.
func (c *peerCall) reattachIfPending() {
	select {
	case c.peer.reattachSlots <- struct{}{}:
		defer func() { <-c.peer.reattachSlots }()
	default:
		return
	}
	c.mu.Lock()
	if c.firstDone {
		c.mu.Unlock()
		return
	}
	reattachResp := make(chan *node.Response, 1)
	c.reattachResp = reattachResp
	c.mu.Unlock()

	resp := c.reattach()
	reattachResp <- resp
	if neverArrived(resp) {
		return
	}
	if resp.Code == result.LostAnswer {
		// Only the first transmission can still bring a response, and it may have arrived already.
		c.awaitFirst(firstResponseGrace)
	}
	c.ctx.Cancel()
	c.peer.pool.Reset()
}

// awaitFirst waits until the call has ended or the time has passed.
func (c *peerCall) awaitFirst(d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-c.ctx.Done():
	case <-timer.C:
	}
}

// finalResponse selects the response of one of the two transmissions. A complete response of the
// first one is returned immediately, otherwise that of the second one. If the connection of the
// first one failed before a second one was started, the call is re-attached now.
//
// A refusal with "not run" in the first response applies to the first transmission only: the guard
// may accept the second one if its upstream becomes available or a slot becomes free in between. This
// occurs if the refusal arrives late, for example after a lost packet. The caller would receive "not
// run" while the call runs. Therefore finalResponse waits for the second response.
func (c *peerCall) finalResponse(first *node.Response) *node.Response {
	c.mu.Lock()
	c.firstDone = true
	c.reattachTimer.Stop()
	reattachResp := c.reattachResp
	c.mu.Unlock()
	reattachStarted := reattachResp != nil
	var second *node.Response
	switch {
	case reattachStarted && needsSecondResponse(first):
		second = <-reattachResp
	case !reattachStarted && connectionFailed(first) && c.ctx.Err() == nil:
		second = c.reattach()
	default:
		return first
	}
	if neverArrived(second) {
		return first
	}
	return second
}

// connectionFailed reports whether the connection of a transmission failed. A response that names its
// node arrived over a working connection: the failure is behind that node, and a second transmission
// would get the same response.
func connectionFailed(first *node.Response) bool {
	if first.Upstream != "" {
		return false
	}
	return first.Code == result.LostAnswer || first.Code == result.AnswerCut
}

// neverArrived reports whether a transmission did not reach the guard. A refusal that names its node is
// the guard's.
func neverArrived(resp *node.Response) bool {
	return resp.Code == result.Unreachable || resp.Code == result.Cancelled && resp.Upstream == ""
}

// needsSecondResponse reports whether the first response is not final, so that the response of the
// second transmission decides.
func needsSecondResponse(first *node.Response) bool {
	if first.Complete() {
		return false
	}
	return connectionFailed(first) || first.Code == result.CancelledRunning || first.Code.Ran() == result.RanNo
}

// reattach sends the call ID again over a new connection.
func (c *peerCall) reattach() *node.Response {
	call := *c.call
	call.Reattach = true
	resp := c.roundTrip(&c.ctx, c.peer.freshPool, &call)
	if !neverArrived(resp) {
		c.peers.node.RecordReattach(c.call, c.node, resp)
	}
	return resp
}
