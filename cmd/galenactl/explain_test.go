package main

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/timeline"
)

// lookupLog holds the lines of all nodes about a request that failed: one of the calls made for it was
// shed at the deepest service. The wall clock of that service's node is behind the others.
var lookupLog = withClocks(`   1.2 entry {"level":"warn","node":"entry","hlc":30,"kind":"call_answered","call_id":"c1","request_id":"ab","service":"archive","upstream":"front","code":5001,"detail":"attempts 1","routes_version":7,"time":"2026-08-22T11:21:57.300Z","message":"event"}
   1.1 deep {"level":"warn","node":"deep","hlc":20,"kind":"call_refused","call_id":"c2","request_id":"ab.1.2","service":"tracker","code":2001,"detail":"29 of 29 slots in use","routes_version":6,"time":"2026-08-22T11:21:57.050Z","message":"event"}
   1.0 deep {"level":"info","node":"deep","topic":"routes","time":"2026-08-22T11:21:56.900Z","message":"store unreachable; the node keeps its last state of the topic"}
   1.0 entry {"level":"info","node":"entry","hlc":10,"kind":"call_received","call_id":"c1","request_id":"ab","service":"archive","routes_version":7,"time":"2026-08-22T11:21:57.100Z","message":"event"}
   9.9 entry {"level":"info","node":"entry","hlc":99,"kind":"call_received","call_id":"c9","request_id":"abc","service":"archive","time":"2026-08-22T11:21:59.100Z","message":"event"}
not a log line
`)

// withClocks replaces the numbers in the hlc fields by the text form of hybrid logical clocks.
func withClocks(log string) string {
	base := timeline.HLCAt(time.Date(2026, 8, 22, 11, 21, 57, 0, time.UTC))
	for _, n := range []timeline.HLC{10, 20, 30, 99} {
		log = strings.Replace(log, fmt.Sprintf(`"hlc":%d`, n), fmt.Sprintf(`"hlc":%q`, (base+n).String()), 1)
	}
	return log
}

// Guards against an explanation that names a consequence as the cause, orders the lines by wall clocks
// that differ, or contains lines of other requests.
func TestExplainFindsTheDeepestDecision(t *testing.T) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(lookupLog), &out, &errOut)
	must.EqOp(t, exitOK, code, must.Sprint(errOut.String()))
	text := out.String()
	must.StrContains(t, text, "Cause: 2001 shed at deep for tracker: 29 of 29 slots in use")
	must.StrContains(t, text, "store unreachable; the node keeps its last state of the topic")
	must.StrNotContains(t, text, "abc")
	must.Less(t, strings.Index(text, "answered it"), strings.Index(text, "refused it"))
	must.Less(t, strings.Index(text, "refused it"), strings.Index(text, "took the request in"))
	must.StrContains(t, errOut.String(), "1 lines are no JSON")
}

// Guards against an explanation without a cause when the deepest node dropped the line of its refusal
// under load. The entry node's line carries the cause that was returned to it.
func TestExplainUsesTheCauseInTheEntryNodesLine(t *testing.T) {
	log := strings.Replace(lookupLog, `"detail":"attempts 1"`, `"detail":"attempts 1","cause":{"code":2003,"service":"tracker","node":"deep"}`, 1)
	var kept []string
	for line := range strings.Lines(log) {
		if !strings.Contains(line, "ab.1.2") {
			kept = append(kept, line)
		}
	}
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(strings.Join(kept, "")), &out, &errOut)
	must.EqOp(t, exitOK, code, must.Sprint(errOut.String()))
	must.StrContains(t, out.String(), "Cause: 2003 queue_expired at deep for tracker, as the answer to entry said")
}

// Guards against an error that does not say why a request may have no lines.
func TestExplainUnknownRequest(t *testing.T) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"explain", "zz"}, strings.NewReader(lookupLog), &out, &errOut)
	must.EqOp(t, exitFailure, code)
	must.StrContains(t, errOut.String(), "sampled")
}

// Guards against JSON output that is not one line for each selected log line.
func TestExplainAsJSON(t *testing.T) {
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"-o", "json", "explain", "ab"}, strings.NewReader(lookupLog), &out, &errOut)
	must.EqOp(t, exitOK, code, must.Sprint(errOut.String()))
	must.EqOp(t, 4, strings.Count(out.String(), "\n"))
}

// Guards against an explanation that contains lines about nodes which the request did not involve.
func TestExplainShowsOnlyStateOfTheRequestsNodes(t *testing.T) {
	log := lookupLog + `{"level":"info","node":"entry","member":"front","state":"leaving","time":"2026-08-22T11:21:57.100Z","message":"member changed"}
{"level":"info","node":"entry","member":"other","state":"leaving","time":"2026-08-22T11:21:57.100Z","message":"member changed"}
{"level":"warn","node":"entry","kind":"upstream_ejected","upstream":"other","time":"2026-08-22T11:21:57.100Z","message":"event"}
`
	var out, errOut bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(log), &out, &errOut)
	must.EqOp(t, exitOK, code, must.Sprint(errOut.String()))
	must.StrContains(t, out.String(), "member changed, member front, state leaving")
	must.StrNotContains(t, out.String(), "other")
}

// Guards against log files that cannot be drawn: explain draws the events of one request, timeline all
// events of the log. A file without events is an error.
func TestLogsOfNodesAsSVG(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.log")
	must.NoError(t, os.WriteFile(path, []byte(lookupLog), 0o600))
	for _, args := range [][]string{{"explain", "ab", "--from", path, "--svg", "-"}, {"timeline", "--from", path, "--svg", "-"}} {
		var out, errOut bytes.Buffer
		must.EqOp(t, exitOK, run(t.Context(), args, strings.NewReader(""), &out, &errOut), must.Sprint(errOut.String()))
		must.StrHasPrefix(t, "<svg", strings.TrimSpace(out.String()))
		must.StrContains(t, out.String(), "deep")
	}
	must.NoError(t, os.WriteFile(path, []byte("no log\n"), 0o600))
	var out, errOut bytes.Buffer
	must.EqOp(t, exitUsage, run(t.Context(), []string{"timeline", "--from", path}, strings.NewReader(""), &out, &errOut))
	must.StrContains(t, errOut.String(), "none of 1 lines is an event")
}
