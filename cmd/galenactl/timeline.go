package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// filterFlags are the flags that select events.
type filterFlags struct {
	Call      string   `help:"Only this call, or all calls of this request, by call ID or request ID."`
	Request   string   `help:"Only this request ID, with all its calls."`
	Workspace string   `help:"Only this workspace."`
	Upstream  string   `help:"Only this upstream."`
	Kind      []string `help:"Only these kinds, such as call_refused."`
}

func (f *filterFlags) toProto() *adminpb.EventFilter {
	return &adminpb.EventFilter{
		CallId: f.Call, RequestId: f.Request, Workspace: f.Workspace,
		Upstream: f.Upstream, Kinds: f.Kind,
	}
}

func (f *filterFlags) toFilter() timeline.Filter {
	tf := timeline.Filter{CallID: f.Call, RequestID: f.Request, Workspace: f.Workspace, Upstream: f.Upstream}
	for _, k := range f.Kind {
		tf.Kinds = append(tf.Kinds, timeline.Kind(k))
	}
	return tf
}

type timelineCmd struct {
	filterFlags `embed:""`
	Since       time.Duration `help:"Only events that are at most this old."`
	Max         uint32        `help:"Maximum number of events; the newest are shown." default:"2000"`
	Local       bool          `help:"Only the events of the node at --address."`
	SVG         string        `name:"svg" help:"Write a picture to this file; - is standard output."`
	From        []string      `help:"Read events or logs of nodes from these files instead of querying a node."`
}

// Run implements the command.
func (c *timelineCmd) Run(a *app) error {
	events, unreachable, err := c.events(a)
	if err != nil {
		return err
	}
	for _, n := range unreachable {
		fmt.Fprintf(a.stderr, "galenactl: no events from %s: the node did not respond\n", n)
	}
	if c.SVG != "" {
		return writeSVG(a.stdout, c.SVG, c.title(), events)
	}
	if a.json {
		return timeline.WriteJSONLines(a.stdout, events)
	}
	return eventTable(events).write(a.stdout)
}

// events returns the merged events of the given files or of the nodes, and the nodes that did not
// respond.
func (c *timelineCmd) events(a *app) (events []timeline.Event, unreachable []string, err error) {
	if len(c.From) > 0 {
		events, err = readFiles(c.From)
		return timeline.Select(events, c.toFilter()), nil, err
	}
	ctx, cancel := a.callContext(0)
	defer cancel()
	r := &adminpb.TimelineRequest{Filter: c.toProto(), AllNodes: !c.Local, MaxEvents: c.Max}
	if c.Since > 0 {
		r.SinceUnixMs = time.Now().Add(-c.Since).UnixMilli()
	}
	resp, err := a.client.Timeline(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, nil, err
	}
	events, err = timeline.ReadJSONLines(strings.NewReader(strings.Join(resp.Msg.EventsJson, "\n")), admin.MaxEvents)
	return timeline.Merge(events), resp.Msg.UnreachableNodes, err
}

// readFiles reads and merges events from files of JSON lines, such as logs of nodes. Lines that are
// no events are skipped.
func readFiles(paths []string) ([]timeline.Event, error) {
	var streams [][]timeline.Event
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, usageError{err}
		}
		lines, skipped, err := readLog(f)
		f.Close()
		events := eventsOf(lines)
		if err == nil && len(events) == 0 && skipped > 0 {
			err = errors.Errorf("none of %d lines is an event", skipped)
		}
		if err != nil {
			return nil, usageError{errors.WithMessage(err, p)}
		}
		streams = append(streams, events)
	}
	return timeline.Merge(streams...), nil
}

// writeSVG draws events to the file called name, or to w when name is "-".
func writeSVG(w io.Writer, name, title string, events []timeline.Event) error {
	if name == "-" {
		return timeline.WriteSVG(w, title, events)
	}
	f, err := os.Create(name)
	if err != nil {
		return usageError{err}
	}
	if err := timeline.WriteSVG(f, title, events); err != nil {
		f.Close()
		return err
	}
	return errors.Wrap(f.Close(), "write picture")
}

// title returns the title of the drawing: the filters that are set.
func (c *timelineCmd) title() string {
	title := "timeline"
	for _, p := range []struct{ name, value string }{
		{"call", c.Call}, {"request", c.Request}, {"workspace", c.Workspace},
		{"upstream", c.Upstream}, {"kinds", strings.Join(c.Kind, ",")},
	} {
		if p.value != "" {
			title += " " + p.name + " " + p.value
		}
	}
	return title
}

var eventHeading = []string{"TIME", "NODE", "KIND", "CODE", "CALL", "SERVICE", "UPSTREAM", "DETAIL"}

func eventTable(events []timeline.Event) *table {
	t := newTable(eventHeading...)
	for i := range events {
		t.row(eventCells(&events[i])...)
	}
	return t
}

func eventCells(e *timeline.Event) []any {
	code := ""
	if e.Code != 0 {
		code = fmt.Sprintf("%d %s", int(e.Code), e.Code)
	}
	service := e.Service
	if e.Workspace != "" {
		service = e.Workspace + "/" + service
	}
	return []any{e.Time().Format("15:04:05.000"), e.Node, e.Kind, code, e.CallID, service, e.Upstream, e.Detail}
}

type eventsCmd struct {
	filterFlags `embed:""`
	Follow      bool   `help:"Continue with new events until interrupted." short:"f"`
	Max         uint32 `help:"Maximum number of past events." default:"200"`
}

// Run implements the command.
func (c *eventsCmd) Run(a *app) error {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	if !c.Follow {
		ctx, cancel = a.callContext(0)
		defer cancel()
	}
	stream, err := a.client.Events(ctx, connect.NewRequest(&adminpb.EventsRequest{
		Filter: c.toProto(), Follow: c.Follow, MaxEvents: c.Max,
	}))
	if err != nil {
		return err
	}
	defer stream.Close()
	for stream.Receive() {
		if err := a.printEvent(stream.Msg()); err != nil {
			return err
		}
	}
	// Interruption is the normal way to end a followed stream, so it is not an error.
	if c.Follow && a.ctx.Err() != nil {
		return nil
	}
	return stream.Err()
}

// printEvent prints one event as JSON or as one line of text.
func (a *app) printEvent(m *adminpb.EventsResponse) error {
	if m.Skipped > 0 {
		fmt.Fprintf(a.stderr, "galenactl: %d events were skipped because the output was read too slowly\n", m.Skipped)
	}
	if a.json {
		_, err := fmt.Fprintln(a.stdout, m.EventJson)
		return errors.Wrap(err, "write output")
	}
	events, err := timeline.ReadJSONLines(strings.NewReader(m.EventJson), 1)
	if err != nil || len(events) == 0 {
		return errors.Wrap(err, "event from the node is not valid")
	}
	cells := eventCells(&events[0])
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = cell(c)
	}
	_, err = fmt.Fprintln(a.stdout, strings.Join(text, "  "))
	return errors.Wrap(err, "write output")
}
