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

// bench runs command lines against a fake node.
type bench struct {
	t       *testing.T
	fake    *admintest.Fake
	address string
}

// outcome of one command line.
type outcome struct {
	code        int
	out, errOut string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, fake: admintest.New()}
	sum := sha256.Sum256([]byte("secret"))
	tokens, err := admin.NewTokens([]settings.Token{{
		SHA256: hex.EncodeToString(sum[:]), Name: "op", Role: settings.RoleOperator, Workspaces: []string{"*"},
	}})
	must.NoError(t, err)
	_, h := admin.NewHandler(b.fake, tokens, func(admin.RefusedAccess) {})
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	b.address = srv.URL
	t.Setenv("GALENACTL_ADDRESS", b.address)
	t.Setenv("GALENACTL_TOKEN", "secret")
	return b
}

func (b *bench) run(line string) outcome { return b.runIn(line, "") }

func (b *bench) runIn(line, stdin string) outcome {
	var out, errOut bytes.Buffer
	code := run(context.Background(), strings.Fields(line), strings.NewReader(stdin), &out, &errOut)
	return outcome{code, out.String(), errOut.String()}
}

func (b *bench) wants(code int, line string) outcome {
	b.t.Helper()
	o := b.run(line)
	must.Eq(b.t, code, o.code, must.Sprintf("%s: %s %s", line, o.out, o.errOut))
	return o
}

func TestUsage(t *testing.T) {
	b := newBench(t)
	must.StrContains(t, b.wants(exitOK, "--help").out, "Exit codes: 0 done")
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
		must.StrContains(t, b.wants(exitUsage, line).errOut, want)
	}
}

func TestInstanceRoundTrip(t *testing.T) {
	b := newBench(t)
	b.wants(exitNotFound, "instance show chikugo letters")
	o := b.wants(exitOK, "instance set chikugo letters --template guarded retries=2 queue=250ms")
	must.StrContains(t, o.out, "accepted")
	var got documentView
	must.NoError(t, json.Unmarshal([]byte(b.wants(exitOK, "instance show chikugo letters -o json").out), &got))
	must.Eq(t, 1, got.Version)
	must.EqJSON(t, `{"retries":2,"queue":"250ms"}`, string(got.Document))
	must.StrContains(t, b.wants(exitOK, "instance list").out, "chikugo    letters  guarded")
	d := b.wants(exitDifferent, "instance diff chikugo letters retries=3 queue=250ms --exit-code")
	must.StrContains(t, d.out, "retries    2         3")
	must.StrContains(t, d.out, "1 differences from version 1")
	b.wants(exitOK, "instance diff chikugo letters retries=3")
}

// Two operators start from version 0. The second is told whom it lost to and
// what to base the next try on, and its exit code says so to a script.
func TestLostToAnotherOperator(t *testing.T) {
	b := newBench(t)
	b.wants(exitOK, "instance set chikugo letters retries=2 --based-on 0 --change-id first")
	o := b.wants(exitLost, "instance set chikugo letters retries=9 --based-on 0 -o json")
	must.StrContains(t, o.errOut, "lost to version 1 by op (change first)")
	must.StrContains(t, o.errOut, "--based-on 1")
	var p adminpb.Publication
	must.NoError(t, json.Unmarshal([]byte(o.out), &p))
	must.Eq(t, 1, p.LostToVersion)
	b.wants(exitOK, "instance set chikugo letters retries=9 --based-on 1")
}

func TestTemplatePublishFromFileAndInput(t *testing.T) {
	b := newBench(t)
	file := filepath.Join(t.TempDir(), "t.json")
	must.NoError(t, os.WriteFile(file, []byte(`{"name":"guarded","behaviour":{}}`), 0o600))
	b.wants(exitOK, "template publish "+file)
	must.StrContains(t, b.wants(exitOK, "template list").out, "guarded  1")
	must.Eq(t, exitOK, b.runIn("template publish - --name other", `{}`).code)
	must.Eq(t, exitUsage, b.runIn("template publish -", `{}`).code)
	must.Eq(t, exitUsage, b.runIn("template publish -", `[1]`).code)
	must.StrContains(t, b.wants(exitOK, "template show guarded").out, `"name": "guarded"`)
}

func TestFailuresHaveTheirCodes(t *testing.T) {
	b := newBench(t)
	b.fake.StatusAnswer = &adminpb.StatusResponse{}
	must.StrContains(t, b.wants(exitAuth, "status --token wrong").errOut, "GALENACTL_TOKEN")
	for err, code := range map[error]int{
		admin.Unavailable("log is out"): exitUnavailable,
		admin.NotFound("gone"):          exitNotFound,
		admin.Invalid("bad"):            exitUsage,
		net.ErrWriteToConnected:         exitFailure,
	} {
		b.fake.Fail = err
		must.StrContains(t, b.wants(code, "status").errOut, err.Error())
	}
	b.fake.Fail = admin.Undecided("log lost the answer")
	o := b.wants(exitUndecided, "instance set c l a=1 --based-on 0 --change-id c7")
	must.StrContains(t, o.errOut, "repeat the command with --change-id c7")
	b.fake.Fail = admin.Unavailable("log is out")
	b.wants(exitUnavailable, "instance set c l a=1 --based-on 0")
}

// Guards against a change that may be in force being reported as failed.
func TestLostAnswerOfAChangeIsUndecided(t *testing.T) {
	b := newBench(t)
	dying := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			conn.Close()
		}
	}))
	b.wants(exitUndecided, "instance set c l a=1 --based-on 0 --address "+dying.URL)
	b.wants(exitUnreachable, "status --address "+dying.URL)
	dying.Close()
	b.wants(exitUnreachable, "instance set c l a=1 --based-on 0 --address "+dying.URL)
}

func TestLaggingNodesAreReported(t *testing.T) {
	b := newBench(t)
	p := &adminpb.Publication{Accepted: true, Version: 4, NodesInForce: 2, NodesKnown: 3}
	must.False(t, inForce(p, 100))
	must.True(t, inForce(p, 66))
	a := &app{stdout: &bytes.Buffer{}}
	err := a.report("instance c/l", p, &publishFlags{Wait: 1, WaitPercent: 100})
	must.Eq(t, exitNotInForce, exitCode(err))
	must.NoError(t, a.report("instance c/l", p, &publishFlags{WaitPercent: 100}))
	b.fake.StatusAnswer = &adminpb.StatusResponse{
		NewestVersion: 4, NodesKnown: 3, NodesInForce: 2, AnsweredBy: "kurume-1",
		Nodes: []*adminpb.NodeStatus{{NodeId: "yame-1", ConfigVersion: 3, ReportAgeMs: 1500, Lagging: true}},
	}
	o := b.wants(exitOK, "status")
	must.RegexMatch(t, regexp.MustCompile(`yame-1 +- +3 +1\.5s +lagging`), o.out)
	must.StrContains(t, o.out, "log UNAVAILABLE")
	var got adminpb.StatusResponse
	must.NoError(t, json.Unmarshal([]byte(b.wants(exitOK, "status -o json").out), &got))
	must.Eq(t, "yame-1", got.Nodes[0].NodeId)
}

func TestDrainAndMembers(t *testing.T) {
	b := newBench(t)
	b.fake.Nodes["kurume-1"] = []string{"chikugo"}
	b.fake.MemberList = []*adminpb.Member{{NodeId: "kurume-1", Workspace: "chikugo", State: "alive\nx"}}
	b.wants(exitOK, "drain kurume-1 --reason replaced")
	b.wants(exitNotInForce, "drain kurume-1 --wait 1ms")
	must.Eq(t, []string{"kurume-1", "kurume-1"}, b.fake.Drained)
	must.StrContains(t, b.wants(exitOK, "members").out, "alive x")
}

const sampleEvents = `{"hlc":"2026-05-01T09:00:00.250Z+00001","node":"b","kind":"call_refused","call_id":"c1","code":2001}
{"hlc":"2026-05-01T09:00:00.100Z+00000","node":"a","kind":"call_received","call_id":"c1","workspace":"chikugo","service":"letters"}`

func TestTimelineMergesAndDraws(t *testing.T) {
	b := newBench(t)
	b.fake.EventList = strings.Split(sampleEvents, "\n")
	lines := strings.Split(strings.TrimSpace(b.wants(exitOK, "timeline").out), "\n")
	must.Len(t, 3, lines)
	must.StrContains(t, lines[1], "call_received")
	must.StrContains(t, lines[2], "2001 shed")
	must.StrHasPrefix(t, `{"hlc":"2026-05-01T09:00:00.100Z`, b.wants(exitOK, "timeline -o json").out)
	must.StrContains(t, b.wants(exitOK, "events -o json").out, `"node":"b"`)
	must.StrContains(t, b.wants(exitOK, "events").out, "09:00:00.250  b  call_refused  2001 shed")

	dir := t.TempDir()
	from, svg := filepath.Join(dir, "e.jsonl"), filepath.Join(dir, "e.svg")
	must.NoError(t, os.WriteFile(from, []byte(sampleEvents), 0o600))
	b.wants(exitOK, "timeline --kind call_refused --svg "+svg+" --from "+from)
	picture, err := os.ReadFile(svg)
	must.NoError(t, err)
	must.StrContains(t, string(picture), "call_refused 2001")
	must.StrNotContains(t, string(picture), "call_received")
}

// An operator follows the events and stops with Ctrl-C: that is the ordinary
// end, not a failure.
func TestFollowEndsWellWhenInterrupted(t *testing.T) {
	b := newBench(t)
	b.fake.EventList = strings.Split(sampleEvents, "\n")
	ctx, cancel := context.WithCancel(t.Context())
	out := &cancelAfter{lines: 2, cancel: cancel}
	var errOut bytes.Buffer
	code := run(ctx, []string{"events", "--follow"}, nil, out, &errOut)
	must.Eq(t, exitOK, code, must.Sprint(errOut.String()))
}

// cancelAfter interrupts once so many lines were written.
type cancelAfter struct {
	lines  int
	cancel context.CancelFunc
}

func (c *cancelAfter) Write(p []byte) (int, error) {
	if c.lines--; c.lines == 0 {
		c.cancel()
	}
	return len(p), nil
}

// Scripts rely on the exit codes of the page and of --help.
func TestDocumentedExitCodes(t *testing.T) {
	page, err := os.ReadFile("../../docs/operations/cli.md")
	must.NoError(t, err)
	codes := []int{exitOK, exitFailure, exitUsage, exitLost, exitAuth, exitUnreachable,
		exitUndecided, exitNotFound, exitUnavailable, exitNotInForce, exitDifferent}
	help := strings.Join(strings.Fields(description), " ")
	for i, code := range codes {
		must.Eq(t, i, code)
		must.StrContains(t, string(page), "\n| "+strconv.Itoa(code)+" | ")
		must.RegexMatch(t, regexp.MustCompile(`[:,] `+strconv.Itoa(code)+` [a-z]`), help)
	}
	must.StrNotContains(t, string(page), "\n| 11 | ")
}
