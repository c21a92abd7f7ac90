package server

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/lease"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// planPeriod is how often ownership is planned. It is short compared with the validity of
	// promises, which is in the order of seconds.
	planPeriod = 250 * time.Millisecond
	// headExchangePeriod is how often a guard that may not take slots yet exchanges heads of the
	// log with the other guards.
	headExchangePeriod = time.Second
	// promiseTimeout bounds a promise request. The validity of a promise counts from its request, so
	// a promise that arrives later is valid only briefly.
	promiseTimeout = time.Second
	// moveTimeout bounds one move of slots, including the wait for running calls.
	moveTimeout = 15 * time.Second
	// maxPartEntries bounds the keys in one part of a hand-over, so that a part stays far below
	// the size limit of a control message.
	maxPartEntries = 200
	// slotsPerStep is how many slots with running calls move at a time in a planned stop.
	slotsPerStep = 4
	// takeoverTimeout bounds the wait for the takeover records of the new owners.
	takeoverTimeout = 3 * time.Second
)

// ownership carries out the actions of control.Ownership: it appends takeovers, moves slots and
// requests promises of other guards not to take over slots of this guard; see package lease.
type ownership struct {
	server  *Server
	state   *control.Ownership
	planNow chan struct{}

	moveMu sync.Mutex // held during a move of slots

	mu               sync.Mutex
	lastHeadExchange time.Time
	// lapsed is the number of slots without authority at the last check.
	lapsed int
	// incomplete contains the guards whose current hand-over has a part that did not fit.
	incomplete map[membership.Identity]bool
}

func newOwnership(s *Server, id node.Identity) *ownership {
	cfg := lease.DefaultConfig()
	cfg.Validity = s.cfg.Timing.Authority.Std()
	return &ownership{
		server:     s,
		state:      control.NewOwnership(cfg, id),
		planNow:    make(chan struct{}, 1),
		incomplete: make(map[membership.Identity]bool),
	}
}

// run plans ownership and checks authority every planPeriod, and plans at once after
// requestPlan. It returns when ctx ends.
func (o *ownership) run(ctx context.Context) {
	t := time.NewTicker(planPeriod)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			o.plan(ctx, now)
			o.checkAuthority(now)
		case <-o.planNow:
			o.plan(ctx, o.server.node.Now())
		}
	}
}

// requestPlan triggers planning at once. It is called after slots were handed over to this
// guard, because no guard starts calls for them until this guard has taken them.
func (o *ownership) requestPlan() {
	select {
	case o.planNow <- struct{}{}:
	default:
	}
}

func (o *ownership) plan(ctx context.Context, now time.Time) {
	service := o.state.Local()
	if service == "" || o.server.node.Guard().Draining() {
		return
	}
	live := o.server.control.liveMembersOf(service)
	for _, action := range o.state.Plan(now, identities(live)) {
		o.server.spawn(func() { o.perform(ctx, action) })
	}
	if o.headExchangeDue(now) {
		o.server.spawn(func() { o.exchangeHeads(ctx, live) })
	}
}

func (o *ownership) perform(ctx context.Context, action lease.Action) {
	switch a := action.(type) {
	case lease.RequestPromise:
		o.requestPromise(ctx, a)
	case lease.AppendTakeover:
		o.appendTakeover(ctx, a.Record)
	case lease.MoveSlots:
		o.move(ctx, a)
	}
}

// appendTakeover appends the same record until it was read back or is certain not to be in the
// log. A takeover with an unknown outcome may be in the log; if it were dropped, this guard
// could promise not to take slots that it has taken.
func (o *ownership) appendTakeover(ctx context.Context, t lease.Takeover) {
	body, err := json.Marshal(t)
	if err != nil {
		o.state.NotAppended(t)
		return
	}
	rec := logstore.Record{ID: uuid.NewString(), Kind: logstore.KindTakeover, At: t.At, Body: body}
	for {
		_, err := o.server.appender.Append(ctx, rec)
		switch {
		case err == nil:
			o.server.metrics.Inc(metrics.Takeovers, 1)
			o.server.node.Event(o.server.node.Now(), timeline.Event{Kind: timeline.Takeover, Service: t.Service, Detail: slotsDetail(t.Slots)})
			return
		case !errors.Is(err, logstore.ErrUncertain):
			o.state.NotAppended(t)
			return
		case ctx.Err() != nil:
			return
		}
	}
}

// OwnersSettled reports whether every slot of the local service has an owner and this node may
// start calls for the slots that it owns.
func (s *Server) OwnersSettled() bool {
	return s.ownership.state.Settled(s.node.Now())
}

func (o *ownership) client(addr string) *controlClient {
	return o.server.control.clients.client(addr)
}

// sendPromiseRequest sends a promise request for the slots. Without slots, it only exchanges
// heads of the log.
func (o *ownership) sendPromiseRequest(ctx context.Context, addr string, slots []int) (*innerpb.PromiseResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, promiseTimeout)
	defer cancel()
	head, observed := o.state.Head()
	resp, err := o.client(addr).Promise(ctx, connect.NewRequest(&innerpb.PromiseRequest{
		Owner:     control.Ref(o.server.control.self()),
		Service:   &innerpb.ServiceRef{Service: o.state.Local()},
		Slots:     encodeSlotNumbers(slots),
		ProofHead: head,
		Proven:    observed,
	}))
	if err != nil {
		return nil, err
	}
	if resp.Msg.GetProven() {
		o.state.ObservePeerHead(control.IdentityOf(resp.Msg.GetFrom()), resp.Msg.GetProofHead())
	}
	return resp.Msg, nil
}

func (o *ownership) requestPromise(ctx context.Context, a lease.RequestPromise) {
	resp, err := o.sendPromiseRequest(ctx, a.Addr, a.Slots)
	if err != nil || !resp.GetGranted() {
		return
	}
	o.state.OnPromise(a.At, control.IdentityOf(resp.GetFrom()), a.Addr)
}

func (o *ownership) headExchangeDue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.lastHeadExchange) < headExchangePeriod || o.state.Eligible(now) {
		return false
	}
	o.lastHeadExchange = now
	return true
}

// exchangeHeads exchanges heads of the log with the other guards. This guard may take slots
// that had an owner only once it knows how far the others have read.
func (o *ownership) exchangeHeads(ctx context.Context, live []membership.Member) {
	for _, m := range live {
		if m.Node != o.server.cfg.NodeID {
			_, _ = o.sendPromiseRequest(ctx, m.InnerAddr, nil)
		}
	}
}

// Promise handles the promise request of another guard; see lease.Lessor.OnPromiseRequest.
func (o *ownership) Promise(_ context.Context, req *connect.Request[innerpb.PromiseRequest]) (*connect.Response[innerpb.PromiseResponse], error) {
	from := control.IdentityOf(req.Msg.GetOwner())
	now := o.server.node.Now()
	if req.Msg.GetProven() {
		o.state.ObservePeerHead(from, req.Msg.GetProofHead())
	}
	slots := decodeSlotNumbers(req.Msg.GetSlots())
	granted := len(slots) > 0 && o.state.OnPromiseRequest(now, req.Msg.GetService().GetService(), from, slots)
	o.countPromise(len(slots) > 0, granted)
	head, observed := o.state.Head()
	return connect.NewResponse(&innerpb.PromiseResponse{
		From:      control.Ref(o.server.control.self()),
		Granted:   granted,
		ProofHead: head,
		Proven:    observed,
		Eligible:  o.state.Eligible(now) && !o.server.node.Guard().Draining(),
	}), nil
}
