package history_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/result"
)

// good is a history of two requests that keeps every promise: a letter whose
// first answer was lost, and a request that killed two upstreams.
func good() *history.History {
	return &history.History{
		Sends: []history.Send{
			{Request: "a", Attempt: "a.0", Service: "letters", Code: result.LostAnswer},
			{Request: "a", Attempt: "a.1", Service: "letters", Code: result.Replayed, Success: true, Whole: true, AnswerTo: "a", AnswerFrom: "letters"},
			{Request: "b", Attempt: "b.0", Service: "archive", Code: result.LostAnswer},
			{Request: "b", Attempt: "b.1", Service: "archive", Code: result.Quarantined},
			{Request: "c", Attempt: "c.0", Service: "archive", Err: "connection refused"},
		},
		Runs: []history.Run{
			{Upstream: "l1", Service: "letters", Path: "/issue", Request: "a", Attempt: "a.0", Key: "a", Done: true},
			{Upstream: "c1", Service: "consent", Path: "/record", Request: "a", Attempt: "a.0", Key: "a-consent", Done: true},
			{Upstream: "r1", Service: "archive", Path: "/search", Request: "b", Attempt: "b.0", Killed: true},
			{Upstream: "r2", Service: "archive", Path: "/search", Request: "b", Attempt: "b.0", Killed: true},
		},
		Retries:  []history.Retries{{Root: "x", Count: 1, Allowance: 2}, {Root: "x", Count: 1, Allowance: 2}},
		Versions: []history.Version{{Node: "n", Version: 3}, {Node: "n", Version: 0}, {Node: "n", Version: 3}, {Node: "m", Version: 1}},
	}
}

func TestCheckTakesAGoodHistory(t *testing.T) {
	must.SliceEmpty(t, history.Check(good()))
}

// Each history differs from the good one by one fault that callers or
// upstreams would see; the check must name just the promise that it breaks.
func TestCheckFindsEachFault(t *testing.T) {
	cases := map[string]struct {
		breaks history.Property
		spoil  func(h *history.History)
	}{
		"a resend of a letter ran it again": {history.AtMostOnce, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "l2", Service: "letters", Path: "/issue", Request: "a", Attempt: "a.1", Key: "a"})
		}},
		"a second run under another key": {history.AtMostOnce, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "l2", Service: "letters", Path: "/issue", Request: "a", Attempt: "a.1", Key: "changed"})
		}},
		"a refused sending ran later, deeper in the chain": {history.TrueRefusal, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "t1", Service: "tracker", Path: "/track", Request: "b", Attempt: "b.1"})
		}},
		"a short body as a success":      {history.RightAnswer, func(h *history.History) { h.Sends[1].Whole = false }},
		"another request's answer":       {history.RightAnswer, func(h *history.History) { h.Sends[1].AnswerTo = "b" }},
		"another service's answer":       {history.RightAnswer, func(h *history.History) { h.Sends[1].AnswerFrom = "archive" }},
		"two nodes overspent one root":   {history.BoundedRetries, func(h *history.History) { h.Retries[1].Count = 2 }},
		"a third upstream died":          {history.BoundedDeaths, func(h *history.History) { h.Runs = append(h.Runs, h.Runs[3]) }},
		"an older version after restart": {history.RisingVersions, func(h *history.History) { h.Versions[2].Version = 2 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := good()
			c.spoil(h)
			violations := history.Check(h)
			must.Len(t, 1, violations)
			must.EqOp(t, c.breaks, violations[0].Property)
			must.EqOp(t, 1, history.Count(violations, c.breaks))
		})
	}
}

// Without an allowance, as under the plain chain, no count is too high.
func TestUnboundedRetries(t *testing.T) {
	h := &history.History{Retries: []history.Retries{{Root: "x", Count: 99, Allowance: history.Unbounded}}}
	must.SliceEmpty(t, history.Check(h))
}

func TestJSONLinesRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	must.NoError(t, history.Write(&buf, good()))
	got, err := history.Read(&buf)
	must.NoError(t, err)
	must.Eq(t, good(), got)
}

func TestReadWantsTheEnd(t *testing.T) {
	var buf bytes.Buffer
	must.NoError(t, history.Write(&buf, good()))
	lines := strings.SplitAfter(strings.TrimSuffix(buf.String(), "\n"), "\n")
	_, err := history.Read(strings.NewReader(strings.Join(lines[:len(lines)-1], "")))
	must.ErrorContains(t, err, "end is missing")
	_, err = history.Read(strings.NewReader(strings.Join(lines[1:], "")))
	must.ErrorContains(t, err, "the end counts")
}

// A broken line, or a record of a newer kind, must not pass for a
// history without violations.
func TestReadNamesTheBadLine(t *testing.T) {
	for _, bad := range []string{`{"send":{"request":`, `{"other":{}}`, `{}`, `{"run":{"color":1}}`} {
		_, err := history.Read(strings.NewReader("{\"version\":{\"node\":\"n\",\"version\":1}}\n" + bad + "\n"))
		must.ErrorContains(t, err, "line 2")
	}
}
