package history_test

import (
	"bytes"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/history"
	"github.com/galenagrade/galenagrade/internal/result"
)

// validHistory returns a history without violations. It includes request a, which issues a letter and
// whose first response was lost, and request b, which crashed two upstreams.
func validHistory() *history.History {
	return &history.History{
		Sends: []history.Send{
			{Request: "a", Attempt: "a.0", Service: "letters", Code: result.LostAnswer},
			{Request: "a", Attempt: "a.1", Service: "letters", Code: result.Replayed, Success: true, BodyComplete: true, ResponseRequest: "a", ResponseService: "letters"},
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

// Guards against violations reported for a valid history.
func TestCheckAcceptsValidHistory(t *testing.T) {
	must.SliceEmpty(t, history.Check(validHistory()))
}

// Guards against a violation that Check misses or attributes to another property. Each case adds one
// fault to the valid history.
func TestCheckReportsEachViolation(t *testing.T) {
	cases := map[string]struct {
		want   history.Property
		mutate func(h *history.History)
	}{
		"a resend of a letter ran it again": {history.AtMostOnce, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "l2", Service: "letters", Path: "/issue", Request: "a", Attempt: "a.1", Key: "a"})
		}},
		"a second run under another key": {history.AtMostOnce, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "l2", Service: "letters", Path: "/issue", Request: "a", Attempt: "a.1", Key: "changed"})
		}},
		"a refused attempt ran later at a deeper service": {history.TrueRefusal, func(h *history.History) {
			h.Runs = append(h.Runs, history.Run{Upstream: "t1", Service: "tracker", Path: "/track", Request: "b", Attempt: "b.1"})
		}},
		"a short body as a success":      {history.RightAnswer, func(h *history.History) { h.Sends[1].BodyComplete = false }},
		"another request's response":     {history.RightAnswer, func(h *history.History) { h.Sends[1].ResponseRequest = "b" }},
		"another service's response":     {history.RightAnswer, func(h *history.History) { h.Sends[1].ResponseService = "archive" }},
		"two nodes exceed the allowance": {history.BoundedRetries, func(h *history.History) { h.Retries[1].Count = 2 }},
		"a third upstream crashed":       {history.BoundedDeaths, func(h *history.History) { h.Runs = append(h.Runs, h.Runs[3]) }},
		"an older version after restart": {history.RisingVersions, func(h *history.History) { h.Versions[2].Version = 2 }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			h := validHistory()
			c.mutate(h)
			violations := history.Check(h)
			must.Len(t, 1, violations)
			must.EqOp(t, c.want, violations[0].Property)
			must.EqOp(t, 1, history.Count(violations, c.want))
		})
	}
}

// Guards against violations reported for root requests with an unlimited number of retries, as in
// a run of the baseline.
func TestUnboundedRetries(t *testing.T) {
	h := &history.History{Retries: []history.Retries{{Root: "x", Count: 99, Allowance: history.Unbounded}}}
	must.SliceEmpty(t, history.Check(h))
}

// Guards against records that are lost or changed when a history is written and read.
func TestJSONLinesRoundTrip(t *testing.T) {
	var buf bytes.Buffer
	must.NoError(t, history.Write(&buf, validHistory()))
	got, err := history.Read(&buf)
	must.NoError(t, err)
	must.Eq(t, validHistory(), got)
}

// Guards against accepting a file whose last or first line is missing.
func TestReadRequiresEndRecord(t *testing.T) {
	var buf bytes.Buffer
	must.NoError(t, history.Write(&buf, validHistory()))
	lines := strings.SplitAfter(strings.TrimSuffix(buf.String(), "\n"), "\n")
	_, err := history.Read(strings.NewReader(strings.Join(lines[:len(lines)-1], "")))
	must.ErrorContains(t, err, "end record is missing")
	_, err = history.Read(strings.NewReader(strings.Join(lines[1:], "")))
	must.ErrorContains(t, err, "the end record counts")
}

// Guards against a reader that skips a malformed line or a record of an unknown kind: a violation in
// that line would not be reported.
func TestReadNamesTheBadLine(t *testing.T) {
	for _, bad := range []string{`{"send":{"request":`, `{"other":{}}`, `{}`, `{"run":{"color":1}}`} {
		_, err := history.Read(strings.NewReader("{\"version\":{\"node\":\"n\",\"version\":1}}\n" + bad + "\n"))
		must.ErrorContains(t, err, "line 2")
	}
}
