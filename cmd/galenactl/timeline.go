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

// filterFlags pick events.
type filterFlags struct {
	Call      string   `help:"Only this call, or every call of this request: either ID will do."`
	Request   string   `help:"Only this request ID, with all its calls."`
	Workspace string   `help:"Only this workspace."`
	Upstream  string   `help:"Only this upstream."`
	Kind      []string `help:"Only these kinds, such as call_refused."`
}

func (f *filterFlags) message() *adminpb.EventFilter {
	return &adminpb.EventFilter{
		CallId: f.Call, RequestId: f.Request, Workspace: f.Workspace,
		Upstream: f.Upstream, Kinds: f.Kind,
	}
}

func (f *filterFlags) filter() timeline.Filter {
	tf := timeline.Filter{CallID: f.Call, RequestID: f.Request, Workspace: f.Workspace, Upstream: f.Upstream}
	for _, k := range f.Kind {
		tf.Kinds = append(tf.Kinds, timeline.Kind(k))
	}
	return tf
}

type timelineCmd struct {
	filterFlags `embed:""`
	Since       time.Duration `help:"Only events of this long back."`
	Max         uint32        `help:"At most so many events, the newest." default:"2000"`
	Local       bool          `help:"Only the events of the node asked."`
	SVG         string        `name:"svg" help:"Write a picture to this file; - is standard output."`
	From        []string      `help:"Read events or logs of nodes from these files and ask no node."`
}

// Run implements the command.
func (c *timelineCmd) Run(a *app) error {
	events, missing, err := c.events(a)
	if err != nil {
		return err
	}
	for _, n := range missing {
		fmt.Fprintf(a.stderr, "galenactl: no events from %s: it did not answer\n", n)
	}
	if c.SVG != "" {
		return writePicture(a.stdout, c.SVG, c.title(), events)
	}
	if a.json {
		return timeline.WriteJSONLines(a.stdout, events)
	}
	return eventTable(events).write(a.stdout)
}

func (c *timelineCmd) events(a *app) (events []timeline.Event, missing []string, err error) {
	if len(c.From) > 0 {
		events, err = readFiles(c.From)
		return timeline.Select(events, c.filter()), nil, err
	}
	ctx, cancel := a.call(0)
	defer cancel()
	r := &adminpb.TimelineRequest{Filter: c.message(), AllNodes: !c.Local, MaxEvents: c.Max}
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

// readFiles reads events that were written as JSON lines, and logs of nodes, whose
// other lines are passed over.
func readFiles(paths []string) ([]timeline.Event, error) {
	var streams [][]timeline.Event
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, usageError{err}
		}
		lines, unread, err := readLog(f)
		f.Close()
		events := eventsOf(lines)
		if err == nil && len(events) == 0 && unread > 0 {
			err = errors.Errorf("none of %d lines is an event", unread)
		}
		if err != nil {
			return nil, usageError{errors.WithMessage(err, p)}
		}
		streams = append(streams, events)
	}
	return timeline.Merge(streams...), nil
}

// writePicture draws events to a file, or to w where the name is a dash.
func writePicture(w io.Writer, name, title string, events []timeline.Event) error {
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
	Follow      bool   `help:"Go on with new events until interrupted." short:"f"`
	Max         uint32 `help:"At most so many events that are already there." default:"200"`
}

// Run implements the command.
func (c *eventsCmd) Run(a *app) error {
	ctx, cancel := context.WithCancel(a.ctx)
	defer cancel()
	if !c.Follow {
		ctx, cancel = a.call(0)
		defer cancel()
	}
	stream, err := a.client.Events(ctx, connect.NewRequest(&adminpb.EventsRequest{
		Filter: c.message(), Follow: c.Follow, MaxEvents: c.Max,
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
	// Interrupting a followed stream is its ordinary end.
	if c.Follow && a.ctx.Err() != nil {
		return nil
	}
	return stream.Err()
}

func (a *app) printEvent(m *adminpb.EventsResponse) error {
	if m.Skipped > 0 {
		fmt.Fprintf(a.stderr, "galenactl: %d events were passed over, this reader was too slow\n", m.Skipped)
	}
	if a.json {
		_, err := fmt.Fprintln(a.stdout, m.EventJson)
		return errors.Wrap(err, "write output")
	}
	events, err := timeline.ReadJSONLines(strings.NewReader(m.EventJson), 1)
	if err != nil || len(events) == 0 {
		return errors.Wrap(err, "node sent no event")
	}
	cells := eventCells(&events[0])
	text := make([]string, len(cells))
	for i, c := range cells {
		text[i] = cell(c)
	}
	_, err = fmt.Fprintln(a.stdout, strings.Join(text, "  "))
	return errors.Wrap(err, "write output")
}
