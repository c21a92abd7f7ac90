package server

import (
	"bytes"
	"context"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

const (
	// maxFetched bounds the events of one FetchEvents response.
	maxFetched = 8192
	// maxFetchedBytes bounds the bytes of these events and leaves room for the rest of the
	// message.
	maxFetchedBytes = inner.MaxControlBytes - 64<<10
)

// eventsRPC is the part of the Control service that reads the timeline. It can be embedded
// into a service.
type eventsRPC struct{ server *Server }

// FetchEvents returns the newest events that match the request.
func (e eventsRPC) FetchEvents(_ context.Context, req *connect.Request[innerpb.FetchEventsRequest]) (*connect.Response[innerpb.FetchEventsResponse], error) {
	r := req.Msg
	ring := e.server.node.Ring()
	events := ring.Events(timeline.Filter{
		CallID:    r.GetCallId(),
		RequestID: r.GetRequestId(),
		Workspace: r.GetWorkspace(),
		Upstream:  r.GetUpstream(),
		After:     timeline.HLC(r.GetAfterHlc()),
	})
	limit := maxFetched
	if r.GetMaxEvents() > 0 {
		limit = min(limit, int(r.GetMaxEvents()))
	}
	events, lines, err := encodeFitting(lastEvents(events, limit))
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	e.server.node.ObserveClock(r.GetHlc())
	resp := &innerpb.FetchEventsResponse{
		Hlc:       uint64(ring.Clock().Now(e.server.node.Now())),
		JsonLines: lines,
		Forgotten: ring.Evicted(),
	}
	if len(events) > 0 {
		resp.LastHlc = uint64(events[len(events)-1].HLC)
	}
	return connect.NewResponse(resp), nil
}

// FetchEvents implements innerpbconnect.ControlHandler.
func (s service) FetchEvents(ctx context.Context, req *connect.Request[innerpb.FetchEventsRequest]) (*connect.Response[innerpb.FetchEventsResponse], error) {
	return eventsRPC{s.control.server}.FetchEvents(ctx, req)
}

// encodeFitting encodes the newest events that fit into one response: it drops the older half of
// the events until the rest is at most maxFetchedBytes long. It returns the events and their JSON
// lines.
func encodeFitting(events []timeline.Event) ([]timeline.Event, []byte, error) {
	for {
		var lines bytes.Buffer
		if err := timeline.WriteJSONLines(&lines, events); err != nil {
			return nil, nil, err
		}
		if lines.Len() <= maxFetchedBytes {
			return events, lines.Bytes(), nil
		}
		events = events[len(events)/2:]
	}
}

// lastEvents returns the last limit events, or all of them without a limit.
func lastEvents(events []timeline.Event, limit int) []timeline.Event {
	if limit > 0 && len(events) > limit {
		return events[len(events)-limit:]
	}
	return events
}

func timelineFilter(f *adminpb.EventFilter) timeline.Filter {
	tf := timeline.Filter{
		CallID:    f.GetCallId(),
		RequestID: f.GetRequestId(),
		Workspace: f.GetWorkspace(),
		Upstream:  f.GetUpstream(),
	}
	for _, k := range f.GetKinds() {
		tf.Kinds = append(tf.Kinds, timeline.Kind(k))
	}
	return tf
}

// Timeline implements admin.Backend. Members that do not respond are listed as unreachable;
// the response contains the events of the others.
func (b *backend) Timeline(ctx context.Context, r *adminpb.TimelineRequest) (*adminpb.TimelineResponse, error) {
	filter := timelineFilter(r.GetFilter())
	if since := r.GetSinceUnixMs(); since > 0 {
		filter.After = timeline.HLCAt(time.UnixMilli(since))
	}
	ring := b.server.node.Ring()
	resp := &adminpb.TimelineResponse{Forgotten: ring.Evicted()}
	streams := [][]timeline.Event{ring.Events(filter)}
	if r.GetAllNodes() {
		for _, f := range b.fetchAll(ctx, filter) {
			if f.err != nil {
				resp.UnreachableNodes = append(resp.UnreachableNodes, f.node)
				continue
			}
			streams = append(streams, timeline.Select(f.events, filter))
			resp.Forgotten += f.evicted
		}
	}
	limit := int(r.GetMaxEvents())
	if limit == 0 {
		limit = admin.MaxEvents
	}
	for _, e := range lastEvents(timeline.Merge(streams...), limit) {
		doc, err := eventJSON(e)
		if err != nil {
			return nil, err
		}
		resp.EventsJson = append(resp.EventsJson, doc)
	}
	return resp, nil
}

// fetchResult is the response of one member to FetchEvents.
type fetchResult struct {
	node    string
	events  []timeline.Event
	evicted uint64
	err     error
}

func (b *backend) fetchAll(ctx context.Context, f timeline.Filter) []fetchResult {
	members := b.server.control.knownMembers()
	out := make([]fetchResult, len(members))
	b.peers.forEach(ctx, members, func(ctx context.Context, i int) {
		out[i].node = members[i].Node
		if b.peers.isSelf(members[i]) {
			return
		}
		resp, err := b.peers.controlClient(members[i]).FetchEvents(ctx, connect.NewRequest(&innerpb.FetchEventsRequest{
			CallId: f.CallID, RequestId: f.RequestID, Workspace: f.Workspace, Upstream: f.Upstream,
			AfterHlc: uint64(f.After), Hlc: uint64(b.server.node.Ring().Clock().Now(b.server.node.Now())),
		}))
		if err != nil {
			out[i].err = err
			return
		}
		b.server.node.ObserveClock(resp.Msg.GetHlc())
		out[i].evicted = resp.Msg.GetForgotten()
		out[i].events, out[i].err = timeline.ReadJSONLines(bytes.NewReader(resp.Msg.GetJsonLines()), maxFetched)
	})
	return out
}

func eventJSON(e timeline.Event) (string, error) {
	var line bytes.Buffer
	if err := timeline.WriteJSONLines(&line, []timeline.Event{e}); err != nil {
		return "", err
	}
	return string(bytes.TrimRight(line.Bytes(), "\n")), nil
}

// eventStreamCounter counts the open event streams for the metrics.
type eventStreamCounter struct{ open atomic.Int64 }

// Events implements admin.Backend. It sends the events of this node.
func (b *backend) Events(ctx context.Context, r *adminpb.EventsRequest, send func(*adminpb.EventsResponse) error) error {
	b.server.eventStreams.open.Add(1)
	defer b.server.eventStreams.open.Add(-1)
	ring := b.server.node.Ring()
	filter := timelineFilter(r.GetFilter())
	events, position, _ := ring.Since(0, filter)
	if err := sendEvents(lastEvents(events, int(r.GetMaxEvents())), 0, send); err != nil {
		return err
	}
	for r.GetFollow() {
		select {
		case <-ring.Wait(position):
		case <-ctx.Done():
			return nil
		case <-b.server.stopping:
			return nil
		}
		var missed uint64
		events, position, missed = ring.Since(position, filter)
		if err := sendEvents(events, missed, send); err != nil {
			return err
		}
	}
	return nil
}

// sendEvents sends events. The first one reports the number of events that the stream missed
// before it.
func sendEvents(events []timeline.Event, missed uint64, send func(*adminpb.EventsResponse) error) error {
	for _, e := range events {
		doc, err := eventJSON(e)
		if err != nil {
			return err
		}
		if err := send(&adminpb.EventsResponse{EventJson: doc, Skipped: missed}); err != nil {
			return errors.Wrap(err, "send event")
		}
		missed = 0
	}
	return nil
}
