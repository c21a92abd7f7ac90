package admin

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
)

// Timeline implements the service. A token for some workspaces gets their
// events alone: the events of a node as a whole may name other customers.
func (s *server) Timeline(ctx context.Context, r *connect.Request[adminpb.TimelineRequest]) (*connect.Response[adminpb.TimelineResponse], error) {
	id, err := s.auth.allowListed(ctx, r.Msg.Filter.GetWorkspace())
	if err != nil {
		return nil, err
	}
	var p problems
	p.filter(r.Msg.Filter)
	p.events(r.Msg.MaxEvents)
	if p.err != nil {
		return nil, p.err
	}
	resp, err := s.backend.Timeline(ctx, r.Msg)
	if err == nil && resp != nil {
		resp.EventsJson = covered(id, resp.EventsJson, eventWorkspace)
	}
	return answer(resp, err)
}

// Events implements the service.
func (s *server) Events(ctx context.Context, r *connect.Request[adminpb.EventsRequest], stream *connect.ServerStream[adminpb.EventsResponse]) error {
	id, err := s.auth.allowListed(ctx, r.Msg.Filter.GetWorkspace())
	if err != nil {
		return err
	}
	var p problems
	p.filter(r.Msg.Filter)
	p.events(r.Msg.MaxEvents)
	if p.err != nil {
		return p.err
	}
	select {
	case s.followers <- struct{}{}:
		defer func() { <-s.followers }()
	default:
		return connect.NewError(connect.CodeResourceExhausted,
			errors.Errorf("%d event streams are open, which is the bound of a node", MaxFollowers))
	}
	return connectError(s.backend.Events(ctx, r.Msg, func(m *adminpb.EventsResponse) error {
		if !id.Covers(eventWorkspace(m.EventJson)) {
			return nil
		}
		return stream.Send(m)
	}))
}

// eventWorkspace reads an event's workspace. An event that can't be read
// belongs to no workspace, so that only a token for all sees it.
func eventWorkspace(doc string) string {
	var e struct {
		Workspace string `json:"workspace"`
	}
	if err := json.Unmarshal([]byte(doc), &e); err != nil {
		return ""
	}
	return e.Workspace
}
