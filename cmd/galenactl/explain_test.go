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

// A lookup failed: one of the reads made for it was shed at the deepest service,
// whose node's clock is a little behind. The engineer has the lookup's ID and one
// file with the lines of all nodes.
var lookupLog = withClocks(`   1.2 entry {"level":"warn","node":"entry","hlc":30,"kind":"call_answered","call_id":"c1","request_id":"ab","service":"archive","upstream":"front","code":5001,"detail":"attempts 1","routes_version":7,"time":"2026-08-22T11:21:57.300Z","message":"event"}
   1.1 deep {"level":"warn","node":"deep","hlc":20,"kind":"call_refused","call_id":"c2","request_id":"ab.1.2","service":"tracker","code":2001,"detail":"29 of 29 slots in use","routes_version":6,"time":"2026-08-22T11:21:57.050Z","message":"event"}
   1.0 deep {"level":"info","node":"deep","topic":"routes","time":"2026-08-22T11:21:56.900Z","message":"store lost"}
   1.0 entry {"level":"info","node":"entry","hlc":10,"kind":"call_received","call_id":"c1","request_id":"ab","service":"archive","routes_version":7,"time":"2026-08-22T11:21:57.100Z","message":"event"}
   9.9 entry {"level":"info","node":"entry","hlc":99,"kind":"call_received","call_id":"c9","request_id":"abc","service":"archive","time":"2026-08-22T11:21:59.100Z","message":"event"}
not a log line
`)

// withClocks replaces the numbers of the clock that travels with calls by its text.
func withClocks(log string) string {
	base := timeline.HLCAt(time.Date(2026, 8, 22, 11, 21, 57, 0, time.UTC))
	for _, n := range []timeline.HLC{10, 20, 30, 99} {
		log = strings.Replace(log, fmt.Sprintf(`"hlc":%d`, n), fmt.Sprintf(`"hlc":%q`, (base+n).String()), 1)
	}
	return log
}

func TestExplainFindsTheDeepestDecision(t *testing.T) {
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(lookupLog), &out, &errs)
	must.EqOp(t, exitOK, code, must.Sprint(errs.String()))
	text := out.String()
	must.StrContains(t, text, "Cause: 2001 shed at deep for tracker: 29 of 29 slots in use")
	must.StrContains(t, text, "store lost")
	must.StrNotContains(t, text, "abc")
	must.Less(t, strings.Index(text, "answered it"), strings.Index(text, "refused it"))
	must.Less(t, strings.Index(text, "refused it"), strings.Index(text, "took the request in"))
	must.StrContains(t, errs.String(), "1 lines are no JSON")
}

// Under a flood the deepest node left the line out that tells of its refusal. The
// entry's line carries what it decided, and the engineer still gets the cause.
func TestExplainFindsTheCauseThatTheEntryWasTold(t *testing.T) {
	log := strings.Replace(lookupLog, `"detail":"attempts 1"`, `"detail":"attempts 1","cause":{"code":2003,"service":"tracker","node":"deep"}`, 1)
	var kept []string
	for line := range strings.Lines(log) {
		if !strings.Contains(line, "ab.1.2") {
			kept = append(kept, line)
		}
	}
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(strings.Join(kept, "")), &out, &errs)
	must.EqOp(t, exitOK, code, must.Sprint(errs.String()))
	must.StrContains(t, out.String(), "Cause: 2003 queue_expired at deep for tracker, as the answer to entry said")
}

func TestExplainUnknownRequest(t *testing.T) {
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"explain", "zz"}, strings.NewReader(lookupLog), &out, &errs)
	must.EqOp(t, exitFailure, code)
	must.StrContains(t, errs.String(), "sampled")
}

func TestExplainAsJSON(t *testing.T) {
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"-o", "json", "explain", "ab"}, strings.NewReader(lookupLog), &out, &errs)
	must.EqOp(t, exitOK, code, must.Sprint(errs.String()))
	must.EqOp(t, 4, strings.Count(out.String(), "\n"))
}

// Guards against an explanation buried under lines about nodes that the request never met.
func TestExplainShowsBeliefsAboutNodesOfTheRequest(t *testing.T) {
	log := lookupLog + `{"level":"info","node":"entry","member":"front","state":"leaving","time":"2026-08-22T11:21:57.100Z","message":"member changed"}
{"level":"info","node":"entry","member":"other","state":"leaving","time":"2026-08-22T11:21:57.100Z","message":"member changed"}
{"level":"warn","node":"entry","kind":"upstream_ejected","upstream":"other","time":"2026-08-22T11:21:57.100Z","message":"event"}
`
	var out, errs bytes.Buffer
	code := run(t.Context(), []string{"explain", "ab"}, strings.NewReader(log), &out, &errs)
	must.EqOp(t, exitOK, code, must.Sprint(errs.String()))
	must.StrContains(t, out.String(), "member changed, member front, state leaving")
	must.StrNotContains(t, out.String(), "other")
}

// The engineer wants the same story as a picture, from the same log file: explain
// draws the request, timeline whatever is in the log.
func TestLogsOfNodesAsAPicture(t *testing.T) {
	path := filepath.Join(t.TempDir(), "nodes.log")
	must.NoError(t, os.WriteFile(path, []byte(lookupLog), 0o600))
	for _, args := range [][]string{{"explain", "ab", "--from", path, "--svg", "-"}, {"timeline", "--from", path, "--svg", "-"}} {
		var out, errs bytes.Buffer
		must.EqOp(t, exitOK, run(t.Context(), args, strings.NewReader(""), &out, &errs), must.Sprint(errs.String()))
		must.StrHasPrefix(t, "<svg", strings.TrimSpace(out.String()))
		must.StrContains(t, out.String(), "deep")
	}
	must.NoError(t, os.WriteFile(path, []byte("no log\n"), 0o600))
	var out, errs bytes.Buffer
	must.EqOp(t, exitUsage, run(t.Context(), []string{"timeline", "--from", path}, strings.NewReader(""), &out, &errs))
	must.StrContains(t, errs.String(), "none of 1 lines is an event")
}
