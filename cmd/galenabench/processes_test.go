package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"
)

// site is a small deployment of separate processes on loopback.
type site struct {
	t     *testing.T
	dir   string
	log   string
	admin string
}

// process is one binary that the test started.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	text bytes.Buffer
	done chan struct{}
}

// Write implements io.Writer.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.text.String()
}

func newSite(t *testing.T) *site {
	s := &site{t: t, dir: t.TempDir()}
	build := exec.Command("go", "build", "-o", s.dir+"/", "../galenad", "../galenactl", "../galenabench")
	out, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	l := s.start("galenabench", "log", "--address", "127.0.0.1:0")
	s.log = s.field(l, "listening")
	return s
}

func (s *site) start(binary string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(s.dir, binary), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	must.NoError(s.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	s.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

// field waits for a line of JSON with that field and returns its value.
func (s *site) field(p *process, name string) string {
	s.t.Helper()
	value := ""
	s.until(name, func() bool {
		for line := range strings.Lines(p.output()) {
			var doc map[string]any
			if json.Unmarshal([]byte(line), &doc) == nil && doc[name] != nil {
				value = fmt.Sprint(doc[name])
			}
		}
		return value != ""
	}, p)
	return value
}

func (s *site) until(what string, ok func() bool, p *process) {
	s.t.Helper()
	must.Wait(s.t, wait.InitialSuccess(wait.BoolFunc(ok), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)),
		must.Sprint(what), must.Func(p.output))
}

// ended waits for the process to end and returns its exit code.
func (s *site) ended(p *process) int {
	s.t.Helper()
	s.until("end of process", func() bool {
		select {
		case <-p.done:
			return true
		default:
			return false
		}
	}, p)
	return p.cmd.ProcessState.ExitCode()
}

// vm is a node and its upstream.
type vm struct {
	node, upstream         *process
	callers, exit, metrics string
}

func (s *site) vm(id, service string, upstreamArgs ...string) *vm {
	sum := sha256.Sum256([]byte("secret"))
	doc := map[string]any{
		"node_id": id, "region": "kyushu", "zone": "kurume",
		"callers":  map[string]any{"address": "127.0.0.1:0"},
		"upstream": map[string]any{"address": "127.0.0.1:0"},
		"inner":    map[string]any{"address": "127.0.0.1:0"},
		"admin":    map[string]any{"address": "127.0.0.1:0"},
		"log":      map[string]any{"url": "http://" + s.log},
		"timing":   map[string]any{"drain_notice": "200ms"},
		"limits":   map[string]any{"timeline_sample": 1},
		"tokens": []any{map[string]any{
			"sha256": hex.EncodeToString(sum[:]), "name": "op", "role": "operator", "workspaces": []string{"*"},
		}},
	}
	raw, err := json.Marshal(doc)
	must.NoError(s.t, err)
	path := filepath.Join(s.dir, id+".json")
	must.NoError(s.t, os.WriteFile(path, raw, 0o600))
	v := &vm{node: s.start("galenad", "--config", path)}
	v.callers, v.exit = s.field(v.node, "callers"), s.field(v.node, "upstream")
	s.admin = s.field(v.node, "admin")
	v.metrics = "http://" + s.admin + "/metrics"
	args := append([]string{"upstream", "--node", v.exit, "--service", service, "--fixed"}, upstreamArgs...)
	v.upstream = s.start("galenabench", args...)
	return v
}

func (s *site) ctl(args ...string) string {
	s.t.Helper()
	cmd := exec.Command(filepath.Join(s.dir, "galenactl"), append([]string{"--address", s.admin, "--token", "secret"}, args...)...)
	out, err := cmd.CombinedOutput()
	must.NoError(s.t, err, must.Sprint(string(out)))
	return string(out)
}

type answered struct {
	status int
	header http.Header
	err    error
}

func (s *site) call(callers, service, path string) <-chan answered {
	ch := make(chan answered, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, "http://"+callers+path, nil)
		if err != nil {
			ch <- answered{err: err}
			return
		}
		req.Header.Set("Galena-Workspace", "chikugo")
		req.Header.Set("Galena-Service", service)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			ch <- answered{err: err}
			return
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		ch <- answered{resp.StatusCode, resp.Header, err}
	}()
	return ch
}

// running waits until the upstream behind the node runs a call.
func (s *site) running(v *vm) {
	s.t.Helper()
	s.until("call in flight", func() bool {
		resp, err := http.Get(v.metrics + "?prefix=retry.accounts.size")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var doc map[string]map[string]float64
		return json.NewDecoder(resp.Body).Decode(&doc) == nil && doc["retry.accounts.size"]["value"] > 0
	}, v.node)
}

// Guards against planned stops of real processes that cut calls, or hide in their exit code that they did.
func TestSeparateProcessesStopAsPlanned(t *testing.T) {
	s := newSite(t)
	deep := s.vm("archive-1", "archive", "--path", "/search", "--mean", "700ms")
	top := s.vm("letters-1", "letters", "--path", "/issue", "--mean", "300ms", "--step", "archive:GET:/search")
	s.until("members", func() bool { return strings.Count(s.ctl("-o", "json", "members"), `"alive"`) == 2 }, top.node)
	s.ctl("template", "publish", "../../examples/templates/balanced.json")
	for _, service := range []string{"letters", "archive"} {
		s.ctl("instance", "set", "chikugo", service, "--template", "balanced", "--file", "../../examples/by-hand/"+service+".json")
	}
	must.StrContains(t, s.ctl("status"), "in force on 2 of 2 nodes")

	call := s.call(deep.callers, "letters", "/issue")
	s.running(top)
	must.NoError(t, top.node.cmd.Process.Signal(syscall.SIGTERM))
	got := <-call
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, 0, s.ended(top.node), must.Func(top.node.output))
	must.StrContains(t, top.node.output(), `"message":"stopped"`)
	must.StrNotContains(t, top.node.output(), "secret")

	s.admin = strings.TrimSuffix(strings.TrimPrefix(deep.metrics, "http://"), "/metrics")
	lines := s.ctl("-o", "json", "timeline", "--call", got.header.Get("Galena-Request-Id"))
	must.StrContains(t, lines, `"kind":"call_received"`)
	must.StrContains(t, lines, `"kind":"call_started"`)

	call = s.call(deep.callers, "archive", "/search")
	s.running(deep)
	must.NoError(t, deep.node.cmd.Process.Signal(syscall.SIGTERM))
	s.until("the first signal's line", func() bool { return strings.Contains(deep.node.output(), `"message":"stopping"`) }, deep.node)
	must.NoError(t, deep.node.cmd.Process.Signal(syscall.SIGTERM))
	must.Eq(t, 3, s.ended(deep.node), must.Func(deep.node.output))
	must.StrContains(t, deep.node.output(), `"cut":1`)
	must.Error(t, (<-call).err)
}

// An upstream is told to stop while it runs a call. It says so to its node,
// finishes the call, and ends with exit code 0 once the node lets it go.
func TestUpstreamLeavesWithoutCuttingACall(t *testing.T) {
	s := newSite(t)
	v := s.vm("archive-1", "archive", "--path", "/search", "--mean", "700ms")
	s.until("member", func() bool { return strings.Contains(s.ctl("-o", "json", "members"), `"alive"`) }, v.node)
	s.ctl("template", "publish", "../../examples/templates/balanced.json")
	s.ctl("instance", "set", "chikugo", "archive", "--template", "balanced")
	call := s.call(v.callers, "archive", "/search")
	s.running(v)
	must.NoError(t, v.upstream.cmd.Process.Signal(syscall.SIGTERM))
	got := <-call
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, 0, s.ended(v.upstream), must.Func(v.upstream.output))
}

func TestVersionAndFaultySettings(t *testing.T) {
	s := newSite(t)
	must.Eq(t, 0, s.ended(s.start("galenad", "--version")))
	path := filepath.Join(s.dir, "bad.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"node_id":"a","speed":3}`), 0o600))
	p := s.start("galenad", "--config", path)
	must.Eq(t, 2, s.ended(p))
	must.StrContains(t, p.output(), "speed is unknown")
}
