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

// deployment is a set of separate processes on loopback: a log stand-in, nodes and upstreams.
type deployment struct {
	t   *testing.T
	dir string
	// logAddr is the address of the log stand-in, adminAddr the admin address of the last node
	// started.
	logAddr   string
	adminAddr string
}

// process is a running binary and its output.
type process struct {
	cmd  *exec.Cmd
	mu   sync.Mutex
	buf  bytes.Buffer
	done chan struct{}
}

// Write implements io.Writer.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.Write(b)
}

func (p *process) output() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.buf.String()
}

// newDeployment builds the binaries and starts the log stand-in.
func newDeployment(t *testing.T) *deployment {
	d := &deployment{t: t, dir: t.TempDir()}
	build := exec.Command("go", "build", "-o", d.dir+"/", "../galenad", "../galenactl", "../galenabench")
	out, err := build.CombinedOutput()
	must.NoError(t, err, must.Sprint(string(out)))
	l := d.start("galenabench", "log", "--address", "127.0.0.1:0")
	d.logAddr = d.waitForField(l, "listening")
	return d
}

// start runs a binary until the end of the test.
func (d *deployment) start(binary string, args ...string) *process {
	p := &process{cmd: exec.Command(filepath.Join(d.dir, binary), args...), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	must.NoError(d.t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	d.t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.done
	})
	return p
}

// waitForField waits until p prints a JSON line that has the field called name, and returns its value.
func (d *deployment) waitForField(p *process, name string) string {
	d.t.Helper()
	value := ""
	d.waitUntil(name, func() bool {
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

// waitUntil waits until condition holds. On failure it prints p's output.
func (d *deployment) waitUntil(what string, condition func() bool, p *process) {
	d.t.Helper()
	must.Wait(d.t, wait.InitialSuccess(wait.BoolFunc(condition), wait.Timeout(30*time.Second), wait.Gap(10*time.Millisecond)),
		must.Sprint(what), must.Func(p.output))
}

// waitForExit waits for the process to end and returns its exit code.
func (d *deployment) waitForExit(p *process) int {
	d.t.Helper()
	d.waitUntil("end of process", func() bool {
		select {
		case <-p.done:
			return true
		default:
			return false
		}
	}, p)
	return p.cmd.ProcessState.ExitCode()
}

// vm is a node and its upstream, as on one VM.
type vm struct {
	node, upstream *process
	// callersAddr and upstreamAddr are the node's addresses for callers and for its upstream.
	callersAddr, upstreamAddr, metricsURL string
}

// vm starts a node and an upstream for service.
func (d *deployment) vm(id, service string, upstreamArgs ...string) *vm {
	sum := sha256.Sum256([]byte("secret"))
	doc := map[string]any{
		"node_id": id, "region": "kyushu", "zone": "kurume",
		"callers":  map[string]any{"address": "127.0.0.1:0"},
		"upstream": map[string]any{"address": "127.0.0.1:0"},
		"inner":    map[string]any{"address": "127.0.0.1:0"},
		"admin":    map[string]any{"address": "127.0.0.1:0"},
		"log":      map[string]any{"url": "http://" + d.logAddr},
		"timing":   map[string]any{"drain_notice": "200ms"},
		"limits":   map[string]any{"timeline_sample": 1},
		"tokens": []any{map[string]any{
			"sha256": hex.EncodeToString(sum[:]), "name": "op", "role": "operator", "workspaces": []string{"*"},
		}},
	}
	raw, err := json.Marshal(doc)
	must.NoError(d.t, err)
	path := filepath.Join(d.dir, id+".json")
	must.NoError(d.t, os.WriteFile(path, raw, 0o600))
	v := &vm{node: d.start("galenad", "--config", path)}
	v.callersAddr, v.upstreamAddr = d.waitForField(v.node, "callers"), d.waitForField(v.node, "upstream")
	d.adminAddr = d.waitForField(v.node, "admin")
	v.metricsURL = "http://" + d.adminAddr + "/metrics"
	args := append([]string{"upstream", "--node", v.upstreamAddr, "--service", service, "--fixed"}, upstreamArgs...)
	v.upstream = d.start("galenabench", args...)
	return v
}

// ctl runs galenactl against the last node started and returns its output.
func (d *deployment) ctl(args ...string) string {
	d.t.Helper()
	cmd := exec.Command(filepath.Join(d.dir, "galenactl"), append([]string{"--address", d.adminAddr, "--token", "secret"}, args...)...)
	out, err := cmd.CombinedOutput()
	must.NoError(d.t, err, must.Sprint(string(out)))
	return string(out)
}

// callResult is the response to one call, or the error.
type callResult struct {
	status int
	header http.Header
	err    error
}

// call sends a request to a node in the background.
func (d *deployment) call(callersAddr, service, path string) <-chan callResult {
	ch := make(chan callResult, 1)
	go func() {
		req, err := http.NewRequest(http.MethodGet, "http://"+callersAddr+path, nil)
		if err != nil {
			ch <- callResult{err: err}
			return
		}
		req.Header.Set("Galena-Workspace", "chikugo")
		req.Header.Set("Galena-Service", service)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			ch <- callResult{err: err}
			return
		}
		defer resp.Body.Close()
		_, err = io.Copy(io.Discard, resp.Body)
		ch <- callResult{resp.StatusCode, resp.Header, err}
	}()
	return ch
}

// waitForCallInFlight waits until the upstream of v runs a call.
func (d *deployment) waitForCallInFlight(v *vm) {
	d.t.Helper()
	d.waitUntil("call in flight", func() bool {
		resp, err := http.Get(v.metricsURL + "?prefix=retry.accounts.size")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		var doc map[string]map[string]float64
		return json.NewDecoder(resp.Body).Decode(&doc) == nil && doc["retry.accounts.size"]["value"] > 0
	}, v.node)
}

// Guards against a graceful stop that cuts calls, and against an exit code and a log line that do not
// report the calls cut by a second signal.
func TestSeparateProcessesStopAsPlanned(t *testing.T) {
	d := newDeployment(t)
	deep := d.vm("archive-1", "archive", "--path", "/search", "--mean", "700ms")
	top := d.vm("letters-1", "letters", "--path", "/issue", "--mean", "300ms", "--step", "archive:GET:/search")
	d.waitUntil("members", func() bool { return strings.Count(d.ctl("-o", "json", "members"), `"alive"`) == 2 }, top.node)
	d.ctl("template", "publish", "../../examples/templates/balanced.json")
	for _, service := range []string{"letters", "archive"} {
		d.ctl("instance", "set", "chikugo", service, "--template", "balanced", "--file", "../../examples/by-hand/"+service+".json")
	}
	must.StrContains(t, d.ctl("status"), "in force on 2 of 2 nodes")

	call := d.call(deep.callersAddr, "letters", "/issue")
	d.waitForCallInFlight(top)
	must.NoError(t, top.node.cmd.Process.Signal(syscall.SIGTERM))
	got := <-call
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, 0, d.waitForExit(top.node), must.Func(top.node.output))
	must.StrContains(t, top.node.output(), `"message":"stopped"`)
	must.StrNotContains(t, top.node.output(), "secret")

	d.adminAddr = strings.TrimSuffix(strings.TrimPrefix(deep.metricsURL, "http://"), "/metrics")
	lines := d.ctl("-o", "json", "timeline", "--call", got.header.Get("Galena-Request-Id"))
	must.StrContains(t, lines, `"kind":"call_received"`)
	must.StrContains(t, lines, `"kind":"call_started"`)

	call = d.call(deep.callersAddr, "archive", "/search")
	d.waitForCallInFlight(deep)
	must.NoError(t, deep.node.cmd.Process.Signal(syscall.SIGTERM))
	d.waitUntil("the first signal's line", func() bool { return strings.Contains(deep.node.output(), `"message":"stopping"`) }, deep.node)
	must.NoError(t, deep.node.cmd.Process.Signal(syscall.SIGTERM))
	must.Eq(t, 3, d.waitForExit(deep.node), must.Func(deep.node.output))
	must.StrContains(t, deep.node.output(), `"cut":1`)
	must.Error(t, (<-call).err)
}

// Guards against an upstream that ends before its call when it receives a signal. It must report to its
// node that it leaves, finish the call, and end with exit code 0 once the node has no calls in flight
// for it.
func TestUpstreamLeavesWithoutCuttingACall(t *testing.T) {
	d := newDeployment(t)
	v := d.vm("archive-1", "archive", "--path", "/search", "--mean", "700ms")
	d.waitUntil("member", func() bool { return strings.Contains(d.ctl("-o", "json", "members"), `"alive"`) }, v.node)
	d.ctl("template", "publish", "../../examples/templates/balanced.json")
	d.ctl("instance", "set", "chikugo", "archive", "--template", "balanced")
	call := d.call(v.callersAddr, "archive", "/search")
	d.waitForCallInFlight(v)
	must.NoError(t, v.upstream.cmd.Process.Signal(syscall.SIGTERM))
	got := <-call
	must.NoError(t, got.err)
	must.Eq(t, http.StatusOK, got.status)
	must.Eq(t, 0, d.waitForExit(v.upstream), must.Func(v.upstream.output))
}

// Guards against a node that starts with an unknown field in its settings, or does not name the field.
func TestVersionAndInvalidSettings(t *testing.T) {
	d := newDeployment(t)
	must.Eq(t, 0, d.waitForExit(d.start("galenad", "--version")))
	path := filepath.Join(d.dir, "bad.json")
	must.NoError(t, os.WriteFile(path, []byte(`{"node_id":"a","speed":3}`), 0o600))
	p := d.start("galenad", "--config", path)
	must.Eq(t, 2, d.waitForExit(p))
	must.StrContains(t, p.output(), "speed is unknown")
}
