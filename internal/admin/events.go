package admin

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Timeline implements the service. A token for some workspaces receives only the events of these
// workspaces. It receives no events without a workspace, because they may contain names of other
// customers.
func (s *server) Timeline(ctx context.Context, r *connect.Request[adminpb.TimelineRequest]) (*connect.Response[adminpb.TimelineResponse], error) {
	id, err := s.auth.authorizeRead(ctx, r.Msg.Filter.GetWorkspace())
	if err != nil {
		return nil, err
	}
	var check requestValidator
	check.filter(r.Msg.Filter)
	check.events(r.Msg.MaxEvents)
	if check.err != nil {
		return nil, check.err
	}
	resp, err := s.backend.Timeline(ctx, r.Msg)
	if err == nil && resp != nil {
		resp.EventsJson = filterCovered(id, resp.EventsJson, eventWorkspace)
	}
	return toResponse(resp, err)
}

// Events implements the service.
func (s *server) Events(ctx context.Context, r *connect.Request[adminpb.EventsRequest], stream *connect.ServerStream[adminpb.EventsResponse]) error {
	id, err := s.auth.authorizeRead(ctx, r.Msg.Filter.GetWorkspace())
	if err != nil {
		return err
	}
	var check requestValidator
	check.filter(r.Msg.Filter)
	check.events(r.Msg.MaxEvents)
	if check.err != nil {
		return check.err
	}
	select {
	case s.streamSlots <- struct{}{}:
		defer func() { <-s.streamSlots }()
	default:
		return connect.NewError(connect.CodeResourceExhausted,
			errors.Errorf("event stream refused: %d event streams are open, the maximum of a node", MaxEventStreams))
	}
	return connectError(s.backend.Events(ctx, r.Msg, func(m *adminpb.EventsResponse) error {
		if !id.Covers(eventWorkspace(m.EventJson)) {
			return nil
		}
		return stream.Send(m)
	}))
}

// eventWorkspace returns the workspace of an event. For an invalid document it returns "", so that
// only a token for all workspaces receives the event.
func eventWorkspace(doc string) string {
	var e struct {
		Workspace string `json:"workspace"`
	}
	if err := json.Unmarshal([]byte(doc), &e); err != nil {
		return ""
	}
	return e.Workspace
}
