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
	ID   string        `arg:"" help:"Request ID, as a caller or a log line has it."`
	From []string      `help:"Log files of the nodes, or of many nodes in one; standard input when none is given."`
	SVG  string        `name:"svg" help:"Draw the request's events to this file; - is standard output."`
	Near time.Duration `help:"Show what nodes of the request learned this long before it." default:"3s"`
}

// Run implements the command.
func (c *explainCmd) Run(a *app) error {
	lines, unread, err := readLogs(c.From, a.stdin)
	if err != nil {
		return usageError{err}
	}
	story := c.story(lines)
	if len(story) == 0 {
		return errors.Errorf("no line of request %q among %d lines; good requests are sampled, and under load lines beyond the bound of logging are dropped and counted", c.ID, len(lines))
	}
	if unread > 0 {
		fmt.Fprintf(a.stderr, "galenactl: %d lines are no JSON and were passed over\n", unread)
	}
	if c.SVG != "" {
		return writePicture(a.stdout, c.SVG, "request "+c.ID, eventsOf(story))
	}
	if a.json {
		enc := json.NewEncoder(a.stdout)
		for _, l := range story {
			if err := enc.Encode(l); err != nil {
				return err
			}
		}
		return nil
	}
	return c.tell(a.stdout, story)
}

// eventsOf returns the events among log lines.
func eventsOf(lines []logLine) []timeline.Event {
	var events []timeline.Event
	for i := range lines {
		if lines[i].Kind != "" {
			events = append(events, lines[i].Event)
		}
	}
	return events
}

// story picks the lines of the request and of the calls made for it, and what
// the nodes concerned learned shortly before and meanwhile.
func (c *explainCmd) story(lines []logLine) []logLine {
	var out []logLine
	nodes := map[string]bool{}
	for _, l := range lines {
		if !c.concerns(&l) {
			continue
		}
		out = append(out, l)
		nodes[l.Node] = true
		nodes[l.Upstream] = true
	}
	if len(out) == 0 {
		return nil
	}
	sortStory(out)
	begin, end := out[0].at.Add(-c.Near), out[len(out)-1].at
	for _, l := range lines {
		if l.RequestID == "" && !l.at.Before(begin) && !l.at.After(end) && l.bearsOn(nodes) {
			out = append(out, l)
		}
	}
	sortStory(out)
	return out
}

// bearsOn reports whether a line that is of no request tells what a node of the
// request believed: about itself, its store or its overload, or about another node of
// the request. In a large deployment each node learns of many others meanwhile.
func (l *logLine) bearsOn(nodes map[string]bool) bool {
	if !nodes[l.Node] {
		return false
	}
	if l.Kind == "" {
		return l.Member == "" || nodes[l.Member]
	}
	return l.Upstream == "" || nodes[l.Upstream]
}

// concerns: the ID of a call that an upstream made begins with that of the
// request for which it was made, a dot between.
func (c *explainCmd) concerns(l *logLine) bool {
	return l.RequestID != "" && (l.RequestID == c.ID || l.CallID == c.ID || strings.HasPrefix(l.RequestID, c.ID+"."))
}

// sortStory orders lines of many nodes. Clocks differ, so where two lines carry
// the clock that travels with calls it decides.
func sortStory(lines []logLine) {
	slices.SortStableFunc(lines, func(a, b logLine) int {
		if a.HLC != 0 && b.HLC != 0 {
			return cmp.Compare(a.HLC, b.HLC)
		}
		return a.at.Compare(b.at)
	})
}

func (c *explainCmd) tell(w io.Writer, story []logLine) error {
	begin := story[0].at
	for i := range story {
		l := &story[i]
		if _, err := fmt.Fprintf(w, "%9.3f s  %-20s  %s\n", l.at.Sub(begin).Seconds(), l.Node, l.say()); err != nil {
			return err
		}
	}
	_, err := fmt.Fprintln(w, "\n"+verdict(story))
	return err
}

// phrases say what an event means.
var phrases = map[timeline.Kind]string{
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

// envelope are the fields of every line; they stand elsewhere or say nothing here.
var envelope = []string{"level", "node", "time", "message"}

// fields returns what else a line says, by name.
func (l *logLine) fields() string {
	var all map[string]any
	if err := json.Unmarshal([]byte(l.raw), &all); err != nil {
		return " " + l.raw
	}
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if !slices.Contains(envelope, name) {
			fmt.Fprintf(&out, ", %s %v", name, all[name])
		}
	}
	return out.String()
}

func (l *logLine) say() string {
	if l.Kind == "" {
		return l.Message + l.fields()
	}
	words, ok := phrases[l.Kind]
	if !ok {
		words = strings.ReplaceAll(string(l.Kind), "_", " ")
	}
	if l.Upstream != "" && l.Upstream != l.Node {
		words += " " + l.Upstream
	}
	if l.RequestID != "" {
		words += " [" + l.RequestID + " to " + l.Service + "]"
	}
	if l.Code != 0 {
		words += fmt.Sprintf(", %d %s (ran: %s)", int(l.Code), l.Code, l.Code.Ran())
	}
	if l.Detail != "" {
		words += ": " + l.Detail
	}
	return fmt.Sprintf("%s; routes %d", words, l.RoutesVersion)
}

// verdict names the deepest decision against the request: what others say of it
// follows from that one.
func verdict(story []logLine) string {
	var cause *logLine
	for i := range story {
		l := &story[i]
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
	if deeper := cause.Cause; deeper != nil {
		return fmt.Sprintf("Cause: %s, as the answer to %s said; its own line is not in these logs. %s.", deeper, cause.Node, deeper.Code.Help())
	}
	return fmt.Sprintf("Cause: %d %s at %s for %s: %s. %s.", int(cause.Code), cause.Code, cause.Node, cause.Service, cause.Detail, cause.Code.Help())
}
