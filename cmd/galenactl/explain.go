package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

type explainCmd struct {
	ID   string        `arg:"" help:"Request ID, as in the response to the caller or in a log line."`
	From []string      `help:"Log files of nodes; one file may hold several nodes. Default: standard input."`
	SVG  string        `name:"svg" help:"Draw the request's events to this file; - is standard output."`
	Near time.Duration `help:"Also show lines about the state of the request's nodes that were written this long before the request." default:"3s"`
}

// Run implements the command.
func (c *explainCmd) Run(a *app) error {
	lines, skipped, err := readLogs(c.From, a.stdin)
	if err != nil {
		return usageError{err}
	}
	selected := c.selectLines(lines)
	if len(selected) == 0 {
		return errors.Errorf("no line of request %q among %d lines; successful requests are sampled, and under load the lines above the rate limit of logging are dropped and counted", c.ID, len(lines))
	}
	if skipped > 0 {
		fmt.Fprintf(a.stderr, "galenactl: %d lines are no JSON and were passed over\n", skipped)
	}
	if c.SVG != "" {
		return writeSVG(a.stdout, c.SVG, "request "+c.ID, eventsOf(selected))
	}
	if a.json {
		enc := json.NewEncoder(a.stdout)
		for _, l := range selected {
			if err := enc.Encode(l); err != nil {
				return err
			}
		}
		return nil
	}
	return c.printText(a.stdout, selected)
}

// eventsOf returns the timeline events among lines.
func eventsOf(lines []logLine) []timeline.Event {
	var events []timeline.Event
	for i := range lines {
		if lines[i].Kind != "" {
			events = append(events, lines[i].Event)
		}
	}
	return events
}

// selectLines returns, in order of time, the lines of the request and of the calls made for it, and
// the lines about the state of the nodes involved, from c.Near before the request until its end. It
// returns nil when no line belongs to the request.
func (c *explainCmd) selectLines(lines []logLine) []logLine {
	var out []logLine
	nodes := map[string]bool{}
	for _, l := range lines {
		if !c.belongsToRequest(&l) {
			continue
		}
		out = append(out, l)
		nodes[l.Node] = true
		nodes[l.Upstream] = true
	}
	if len(out) == 0 {
		return nil
	}
	sortByTime(out)
	begin, end := out[0].at.Add(-c.Near), out[len(out)-1].at
	for _, l := range lines {
		if l.RequestID == "" && !l.at.Before(begin) && !l.at.After(end) && l.isAbout(nodes) {
			out = append(out, l)
		}
	}
	sortByTime(out)
	return out
}

// isAbout reports whether l, which belongs to no request, was written by a node in nodes and
// concerns only nodes in nodes: its own state, such as its store or its overload, or another of
// them. Lines about other nodes are excluded, since in a large deployment each node logs changes of
// many nodes.
func (l *logLine) isAbout(nodes map[string]bool) bool {
	if !nodes[l.Node] {
		return false
	}
	if l.Kind == "" {
		return l.Member == "" || nodes[l.Member]
	}
	return l.Upstream == "" || nodes[l.Upstream]
}

// belongsToRequest reports whether l is a line of the request or of a call made for it. The ID of a
// call that an upstream makes is the ID of the request for which it is made, a dot, and a suffix.
func (c *explainCmd) belongsToRequest(l *logLine) bool {
	return l.RequestID != "" && (l.RequestID == c.ID || l.CallID == c.ID || strings.HasPrefix(l.RequestID, c.ID+"."))
}

// sortByTime sorts lines of many nodes. The wall clocks of nodes differ, so two lines that both carry
// a hybrid logical clock (HLC), which is propagated with calls, are ordered by that.
func sortByTime(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int {
		if a.HLC != 0 && b.HLC != 0 {
			return cmp.Compare(a.HLC, b.HLC)
		}
		return a.at.Compare(b.at)
	})
}

// printText prints one line per log line, with its time since the first, and then the root cause.
func (c *explainCmd) printText(w io.Writer, lines []logLine) error {
	begin := lines[0].at
	for i := range lines {
		l := &lines[i]
		if _, err := fmt.Fprintf(w, "%9.3f s  %-20s  %s\n", l.at.Sub(begin).Seconds(), l.Node, l.text()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "\n"+rootCauseSentence(lines))
	return err
}

// eventPhrases describe what the node did, by kind of event. Other kinds are printed by name.
var eventPhrases = map[timeline.Kind]string{
	timeline.CallReceived:   "took the request in",
	timeline.CallRouted:     "sent it to",
	timeline.CallAdmitted:   "admitted it",
	timeline.CallQueued:     "let it wait for a slot",
	timeline.CallStarted:    "sent it to the upstream beside it",
	timeline.CallRefused:    "refused it",
	timeline.CallRetried:    "tried another upstream",
	timeline.CallReattached: "asked again over a fresh connection",
	timeline.CallCancelled:  "stopped it, as nobody waited any more",
	timeline.CallAnswered:   "answered it",
}

// omittedFields are not printed among the fields of a line: they are printed in another column, or are
// of no use here.
var omittedFields = []string{"level", "node", "time", "message"}

// fields returns the remaining fields of the line with their names, sorted by name; or the whole line
// when it is not JSON.
func (l *logLine) fields() string {
	var all map[string]any
	if err := json.Unmarshal([]byte(l.raw), &all); err != nil {
		return " " + l.raw
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !slices.Contains(omittedFields, name) {
			fmt.Fprintf(&out, ", %s %v", name, all[name])
		}
	}
	return out.String()
}

// text describes the line: the message and the fields, or what the event means.
func (l *logLine) text() string {
	if l.Kind == "" {
		return l.Message + l.fields()
	}
	text, ok := eventPhrases[l.Kind]
	if !ok {
		text = strings.ReplaceAll(string(l.Kind), "_", " ")
	}
	if l.Upstream != "" && l.Upstream != l.Node {
		text += " " + l.Upstream
	}
	if l.RequestID != "" {
		text += " [" + l.RequestID + " to " + l.Service + "]"
	}
	if l.Code != 0 {
		text += fmt.Sprintf(", %d %s (ran: %s)", int(l.Code), l.Code, l.Code.Ran())
	}
	if l.Detail != "" {
		text += ": " + l.Detail
	}
	return fmt.Sprintf("%s; routes %d", text, l.RoutesVersion)
}

// rootCauseSentence describes the failure of the deepest call in the call tree. Failures that other
// nodes report for the request are consequences of that one.
func rootCauseSentence(lines []logLine) string {
	var cause *logLine
	for i := range lines {
		l := &lines[i]
		if l.Code == 0 || l.Code == result.OK || l.RequestID == "" {
			continue
		}
		if cause == nil || strings.Count(l.RequestID, ".") > strings.Count(cause.RequestID, ".") {
			cause = l
		}
	}
	if cause == nil {
		return "No decision against the request is in these logs."
	}
	if reportedCause := cause.Cause; reportedCause != nil {
		return fmt.Sprintf("Cause: %s, as the answer to %s said; its own line is not in these logs. %s.", reportedCause, cause.Node, reportedCause.Code.Help())
	}
	return fmt.Sprintf("Cause: %d %s at %s for %s: %s. %s.", int(cause.Code), cause.Code, cause.Node, cause.Service, cause.Detail, cause.Code.Help())
}
