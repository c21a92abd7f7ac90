package server

import (
	"context"
	"time"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
)

// maxHold bounds how long an exchange request is held, whatever hold time the sender requests.
const maxHold = 5 * time.Second

// service implements the control service for other nodes.
type service struct {
	innerpbconnect.UnimplementedControlHandler
	control *controlLoop
}

// Exchange implements innerpbconnect.ControlHandler.
func (s service) Exchange(ctx context.Context, req *connect.Request[innerpb.ExchangeRequest]) (*connect.Response[innerpb.ExchangeResponse], error) {
	c, msg := s.control, req.Msg
	received := c.server.node.Now()
	hold := min(time.Duration(msg.GetHoldUs())*time.Microsecond, maxHold)
	timer := time.NewTimer(hold)
	defer timer.Stop()
	c.withPlane(func(now time.Time, p *control.Plane) { p.OnRequest(now, msg) })
	for expired := false; ; {
		resp, updated := c.responseOrSignal(received, msg, expired)
		if resp != nil {
			return connect.NewResponse(resp), nil
		}
		select {
		case <-updated:
		case <-timer.C:
			expired = true
		case <-c.closing:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// responseOrSignal returns the response to a request or, while the request is held, the
// channel to wait on.
func (c *controlLoop) responseOrSignal(received time.Time, msg *innerpb.ExchangeRequest, expired bool) (*innerpb.ExchangeResponse, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.server.node.Now()
	if !expired && !c.plane.ResponseDue(now, received, msg) {
		return nil, c.updated
	}
	return c.plane.NewResponse(now, received, msg), nil
}

// Probe implements innerpbconnect.ControlHandler.
func (s service) Probe(ctx context.Context, req *connect.Request[innerpb.ProbeRequest]) (*connect.Response[innerpb.ProbeResponse], error) {
	c, msg := s.control, req.Msg
	resp := &innerpb.ProbeResponse{From: control.Ref(c.self()), Reached: true}
	if target := msg.GetIndirect(); target != nil {
		found, ok := c.probe(ctx, target.GetInnerAddr(), helperTimeout)
		resp.Reached = ok && found == control.IdentityOf(target)
	}
	return connect.NewResponse(resp), nil
}

// FetchState implements innerpbconnect.ControlHandler.
func (s service) FetchState(context.Context, *connect.Request[innerpb.FetchStateRequest]) (*connect.Response[innerpb.FetchStateResponse], error) {
	c := s.control
	c.mu.Lock()
	state, err := c.plane.State(c.server.node.Now())
	c.mu.Unlock()
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(state), nil
}

// SpreadSuspects implements innerpbconnect.ControlHandler.
func (s service) SpreadSuspects(_ context.Context, req *connect.Request[innerpb.SpreadSuspectsRequest]) (*connect.Response[innerpb.SpreadSuspectsResponse], error) {
	list := req.Msg.GetSuspects()
	s.control.withPlane(func(now time.Time, p *control.Plane) { p.OnCrashRecords(now, list) })
	return connect.NewResponse(&innerpb.SpreadSuspectsResponse{Taken: uint32(len(list))}), nil
}

// Promise implements innerpbconnect.ControlHandler.
func (s service) Promise(ctx context.Context, req *connect.Request[innerpb.PromiseRequest]) (*connect.Response[innerpb.PromiseResponse], error) {
	return s.control.server.ownership.Promise(ctx, req)
}

// HandOver implements innerpbconnect.ControlHandler.
func (s service) HandOver(ctx context.Context, req *connect.Request[innerpb.HandOverRequest]) (*connect.Response[innerpb.HandOverResponse], error) {
	return s.control.server.ownership.HandOver(ctx, req)
}
