package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/admin/admintest"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// harness runs command lines against a fake admin API.
type harness struct {
	t       *testing.T
	fake    *admintest.Fake
	address string
}

// commandResult is the exit code and the output of one command line.
type commandResult struct {
	code        int
	out, errOut string
}

func newHarness(t *testing.T) *harness {
	h := &harness{t: t, fake: admintest.New()}
	sum := sha256.Sum256([]byte("secret"))
	tokens, err := admin.NewTokens([]settings.Token{{
		SHA256: hex.EncodeToString(sum[:]), Name: "op", Role: settings.RoleOperator, Workspaces: []string{"*"},
	}})
	must.NoError(t, err)
	_, handler := admin.NewHandler(h.fake, tokens, func(admin.RefusedAccess) {})
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	h.address = srv.URL
	t.Setenv("GALENACTL_ADDRESS", h.address)
	t.Setenv("GALENACTL_TOKEN", "secret")
	return h
}

func (h *harness) run(line string) commandResult { return h.runIn(line, "") }

func (h *harness) runIn(line, stdin string) commandResult {
	var out, errOut bytes.Buffer
	code := run(context.Background(), strings.Fields(line), strings.NewReader(stdin), &out, &errOut)
	return commandResult{code, out.String(), errOut.String()}
}

// mustExit runs a command line and requires the exit code.
func (h *harness) mustExit(code int, line string) commandResult {
	h.t.Helper()
	result := h.run(line)
	must.Eq(h.t, code, result.code, must.Sprintf("%s: %s %s", line, result.out, result.errOut))
	return result
}

// Guards against command lines that are wrong but accepted, or rejected without naming the argument.
func TestUsage(t *testing.T) {
	h := newHarness(t)
	must.StrContains(t, h.mustExit(exitOK, "--help").out, "Exit codes: 0 done")
	for line, want := range map[string]string{
		"nonsense":                                     "unexpected argument",
		"instance set chikugo letters":                 "nothing to set",
		"instance set chikugo letters retries":         "must be NAME=VALUE",
		"instance show chikugo":                        "<service>",
		"status -o yaml":                               "--output",
		"template publish /nonexistent.json":           "no such file",
		"timeline --from /nonexistent.jsonl":           "no such file",
		"status --ca-file /nonexistent.pem":            "--ca-file",
		"instance set c l a=1 --wait-percent 101":      "wait_percent is 101, must be at most 100",
		"instance set c l a=1 --change-id " + "\u00e9": "change_id",
	} {
		must.StrContains(t, h.mustExit(exitUsage, line).errOut, want)
	}
}

// Guards against values that change between set and show, and against a diff that misses a difference
// or does not report it in its exit code.
func TestInstanceRoundTrip(t *testing.T) {
	h := newHarness(t)
	h.mustExit(exitNotFound, "instance show chikugo letters")
	o := h.mustExit(exitOK, "instance set chikugo letters --template guarded retries=2 queue=250ms")
	must.StrContains(t, o.out, "accepted")
	var got documentView
	must.NoError(t, json.Unmarshal([]byte(h.mustExit(exitOK, "instance show chikugo letters -o json").out), &got))
	must.Eq(t, 1, got.Version)
	must.EqJSON(t, `{"retries":2,"queue":"250ms"}`, string(got.Document))
	must.StrContains(t, h.mustExit(exitOK, "instance list").out, "chikugo    letters  guarded")
	d := h.mustExit(exitDifferences, "instance diff chikugo letters retries=3 queue=250ms --exit-code")
	must.StrContains(t, d.out, "retries    2         3")
	must.StrContains(t, d.out, "1 differences from version 1")
	h.mustExit(exitOK, "instance diff chikugo letters retries=3")
}

// Guards against two operators overwriting each other: both base a change on version 0. The second gets
// an exit code of its own, the conflicting publication, and the version to base the next change on.
func TestConflictWithAnotherOperator(t *testing.T) {
	h := newHarness(t)
	h.mustExit(exitOK, "instance set chikugo letters retries=2 --based-on 0 --change-id first")
	o := h.mustExit(exitConflict, "instance set chikugo letters retries=9 --based-on 0 -o json")
	must.StrContains(t, o.errOut, "lost to version 1 by op (change first)")
	must.StrContains(t, o.errOut, "--based-on 1")
	var p adminpb.Publication
	must.NoError(t, json.Unmarshal([]byte(o.out), &p))
	must.Eq(t, 1, p.LostToVersion)
	h.mustExit(exitOK, "instance set chikugo letters retries=9 --based-on 1")
}

// Guards against templates that are published from a file or standard input without a name, or from a
// document that is no JSON object.
func TestTemplatePublishFromFileAndInput(t *testing.T) {
	h := newHarness(t)
	file := filepath.Join(t.TempDir(), "t.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"name":"guarded","behaviour":{}}`), 0o600))
	h.mustExit(exitOK, "template publish "+file)
	must.StrContains(t, h.mustExit(exitOK, "template list").out, "guarded  1")
	must.Eq(t, exitOK, h.runIn("template publish - --name other", `{}`).code)
	must.Eq(t, exitUsage, h.runIn("template publish -", `{}`).code)
	must.Eq(t, exitUsage, h.runIn("template publish -", `[1]`).code)
	must.StrContains(t, h.mustExit(exitOK, "template show guarded").out, `"name": "guarded"`)
}

// Guards against failures that scripts cannot tell apart by the exit code.
func TestFailuresMapToExitCodes(t *testing.T) {
	h := newHarness(t)
	h.fake.StatusResponse = &adminpb.StatusResponse{}
	must.StrContains(t, h.mustExit(exitAuth, "status --token wrong").errOut, "GALENACTL_TOKEN")
	for err, code := range map[error]int{
		admin.Unavailable("log is out"): exitUnavailable,
		admin.NotFound("gone"):          exitNotFound,
		admin.Invalid("bad"):            exitUsage,
		net.ErrWriteToConnected:         exitFailure,
	} {
		h.fake.Fail = err
		must.StrContains(t, h.mustExit(code, "status").errOut, err.Error())
	}
	h.fake.Fail = admin.Undecided("log lost the answer")
	o := h.mustExit(exitUndecided, "instance set c l a=1 --based-on 0 --change-id c7")
	must.StrContains(t, o.errOut, "repeat the command with --change-id c7")
	h.fake.Fail = admin.Unavailable("log is out")
	h.mustExit(exitUnavailable, "instance set c l a=1 --based-on 0")
}

// Guards against a change that may be in force being reported as failed: the connection breaks after
// the request was sent.
func TestLostResponseOfAChangeIsUndecided(t *testing.T) {
	h := newHarness(t)
	closingServer := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	h.mustExit(exitUndecided, "instance set c l a=1 --based-on 0 --address "+closingServer.URL)
	h.mustExit(exitUnreachable, "status --address "+closingServer.URL)
	closingServer.Close()
	h.mustExit(exitUnreachable, "instance set c l a=1 --based-on 0 --address "+closingServer.URL)
}

// Guards against an exit code of 0 for a change that is not in force on the requested share of nodes,
// and against a status that does not show which nodes lag.
func TestLaggingNodesAreReported(t *testing.T) {
	h := newHarness(t)
	p := &adminpb.Publication{Accepted: true, Version: 4, NodesInForce: 2, NodesKnown: 3}
	must.False(t, inForce(p, 100))
	must.True(t, inForce(p, 66))
	a := &app{stdout: &bytes.Buffer{}}
	err := a.printPublication("instance c/l", p, &publishFlags{Wait: 1, WaitPercent: 100})
	must.Eq(t, exitNotInForce, exitCode(err))
	must.NoError(t, a.printPublication("instance c/l", p, &publishFlags{WaitPercent: 100}))
	h.fake.StatusResponse = &adminpb.StatusResponse{
		NewestVersion: 4, NodesKnown: 3, NodesInForce: 2, AnsweredBy: "kurume-1",
		Nodes: []*adminpb.NodeStatus{{NodeId: "yame-1", ConfigVersion: 3, ReportAgeMs: 1500, Lagging: true}},
	}
	o := h.mustExit(exitOK, "status")
	must.RegexMatch(t, regexp.MustCompile(`yame-1 +- +3 +1\.5s +lagging`), o.out)
	must.StrContains(t, o.out, "log UNAVAILABLE")
	var got adminpb.StatusResponse
	must.NoError(t, json.Unmarshal([]byte(h.mustExit(exitOK, "status -o json").out), &got))
	must.Eq(t, "yame-1", got.Nodes[0].NodeId)
}

// Guards against a drain that does not reach the node or reports calls in flight as drained, and against
// line breaks from nodes in a table.
func TestDrainAndMembers(t *testing.T) {
	h := newHarness(t)
	h.fake.Nodes["kurume-1"] = []string{"chikugo"}
	h.fake.MemberList = []*adminpb.Member{{NodeId: "kurume-1", Workspace: "chikugo", State: "alive\nx"}}
	h.mustExit(exitOK, "drain kurume-1 --reason replaced")
	h.mustExit(exitNotInForce, "drain kurume-1 --wait 1ms")
	must.Eq(t, []string{"kurume-1", "kurume-1"}, h.fake.Drained)
	must.StrContains(t, h.mustExit(exitOK, "members").out, "alive x")
}

const sampleEvents = `{"hlc":"2026-05-01T09:00:00.250Z+00001","node":"b","kind":"call_refused","call_id":"c1","code":2001}
{"hlc":"2026-05-01T09:00:00.100Z+00000","node":"a","kind":"call_received","call_id":"c1","workspace":"chikugo","service":"letters"}`

// Guards against events that are printed out of order, in the wrong format, or drawn although the filter
// excludes them.
func TestTimelineMergesAndDraws(t *testing.T) {
	h := newHarness(t)
	h.fake.EventList = strings.Split(sampleEvents, "\n")
	lines := strings.Split(strings.TrimSpace(h.mustExit(exitOK, "timeline").out), "\n")
	must.Len(t, 3, lines)
	must.StrContains(t, lines[1], "call_received")
	must.StrContains(t, lines[2], "2001 shed")
	must.StrHasPrefix(t, `{"hlc":"2026-05-01T09:00:00.100Z`, h.mustExit(exitOK, "timeline -o json").out)
	must.StrContains(t, h.mustExit(exitOK, "events -o json").out, `"node":"b"`)
	must.StrContains(t, h.mustExit(exitOK, "events").out, "09:00:00.250  b  call_refused  2001 shed")

	dir := t.TempDir()
	from, svg := filepath.Join(dir, "e.jsonl"), filepath.Join(dir, "e.svg")
	must.NoError(t, os.WriteFile(from, []byte(sampleEvents), 0o600))
	h.mustExit(exitOK, "timeline --kind call_refused --svg "+svg+" --from "+from)
	picture, err := os.ReadFile(svg)
	must.NoError(t, err)
	must.StrContains(t, string(picture), "call_refused 2001")
	must.StrNotContains(t, string(picture), "call_received")
}

// Guards against a failure exit code when an operator ends a followed stream with Ctrl-C.
func TestInterruptedFollowExitsWithZero(t *testing.T) {
	h := newHarness(t)
	h.fake.EventList = strings.Split(sampleEvents, "\n")
	ctx, cancel := context.WithCancel(t.Context())
	out := &cancelingWriter{remaining: 2, cancel: cancel}
	var errOut bytes.Buffer
	code := run(ctx, []string{"events", "--follow"}, nil, out, &errOut)
	must.Eq(t, exitOK, code, must.Sprint(errOut.String()))
}

// cancelingWriter calls cancel after the remaining number of writes.
type cancelingWriter struct {
	remaining int
	cancel    context.CancelFunc
}

func (c *cancelingWriter) Write(p []byte) (int, error) {
	if c.remaining--; c.remaining == 0 {
		c.cancel()
	}
	return len(p), nil
}

// Guards against exit codes, on which scripts rely, that differ from the documentation or --help.
func TestDocumentedExitCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/cli.md")
	must.NoError(t, err)
	codes := []int{exitOK, exitFailure, exitUsage, exitConflict, exitAuth, exitUnreachable,
		exitUndecided, exitNotFound, exitUnavailable, exitNotInForce, exitDifferences}
	help := strings.Join(strings.Fields(description), " ")
	for i, code := range codes {
		must.Eq(t, i, code)
		must.StrContains(t, string(page), "\n| "+strconv.Itoa(code)+" | ")
		must.RegexMatch(t, regexp.MustCompile(`[:,] `+strconv.Itoa(code)+` [a-z]`), help)
	}
	must.StrNotContains(t, string(page), "\n| 11 | ")
}
