package server

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
	"github.com/shoenig/test/wait"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/proxy"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// world is a log stand-in and the nodes that follow it.
type world struct {
	t    testing.TB
	log  *logd.Server
	http *http.Client
	// scheme is that of the admin addresses.
	scheme string
}

func newWorld(t testing.TB) *world {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &world{t: t, log: logd.New(logd.Options{Seed: 1}), http: &http.Client{Transport: tr}, scheme: "http"}
}

func hashed(secret, name string, role settings.Role, workspaces ...string) settings.Token {
	sum := sha256.Sum256([]byte(secret))
	return settings.Token{SHA256: hex.EncodeToString(sum[:]), Name: name, Role: role, Workspaces: workspaces}
}

func testSettings(id string) *settings.Node {
	cfg := settings.Defaults()
	cfg.NodeID, cfg.Region, cfg.Zone = id, "kyushu", "kurume"
	cfg.Callers.Address = "127.0.0.1:0"
	cfg.Upstream.Address = "127.0.0.1:0"
	cfg.Inner.Address = "127.0.0.1:0"
	cfg.Inner.Advertised = "127.0.0.1:0"
	cfg.Admin.Address = "127.0.0.1:0"
	cfg.Log.URL = "http://127.0.0.1:1"
	cfg.Log.ReadWait = settings.Duration(20 * time.Millisecond)
	cfg.Timing.DrainNotice = 0
	cfg.Limits.TimelineSample = 1
	cfg.Tokens = []settings.Token{
		hashed("mori", "mori", settings.RoleOperator, "*"),
		hashed("abe", "abe", settings.RoleOperator, "chikugo"),
		hashed("view", "view", settings.RoleViewer, "chikugo"),
		hashed("caller", "caller", settings.RoleCaller, "chikugo"),
	}
	return cfg
}

// start runs a node until the test ends.
func (w *world) start(id string, change func(*settings.Node)) *Server {
	return w.startWith(id, w.log, change)
}

// startWith runs a node that has that log for itself.
func (w *world) startWith(id string, log logstore.Log, change func(*settings.Node)) *Server {
	cfg := testSettings(id)
	if change != nil {
		change(cfg)
	}
	must.NoError(w.t, cfg.Validate())
	s, err := Start(cfg, Options{Log: log, Logger: zerolog.Nop()})
	must.NoError(w.t, err)
	w.t.Cleanup(s.Kill)
	return s
}

// announce puts an upstream with that handler behind the node.
func (w *world) announce(s *Server, service string, h http.Handler) {
	up := httptest.NewServer(h)
	w.t.Cleanup(up.Close)
	w.announceAt(s, service, up.Listener.Addr().String())
}

func (w *world) announceAt(s *Server, service, addr string) {
	body, err := json.Marshal(node.Announcement{Service: service, Address: addr, Slots: 8})
	must.NoError(w.t, err)
	_, exit, _, _ := s.Addresses()
	req, err := http.NewRequest(http.MethodPut, "http://"+exit+"/v1/upstream", bytes.NewReader(body))
	must.NoError(w.t, err)
	status, _, _ := w.do(req)
	must.Eq(w.t, http.StatusOK, status)
}

func (w *world) do(req *http.Request) (int, http.Header, []byte) {
	resp, err := w.http.Do(req)
	must.NoError(w.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(w.t, err)
	return resp.StatusCode, resp.Header, body
}

// call makes a caller's GET for the service.
func (w *world) call(s *Server, service, token string) (int, http.Header, []byte) {
	callers, _, _, _ := s.Addresses()
	req, err := http.NewRequest(http.MethodGet, "http://"+callers+"/x", nil)
	must.NoError(w.t, err)
	req.Header.Set("Galena-Workspace", "chikugo")
	req.Header.Set("Galena-Service", service)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return w.do(req)
}

func (w *world) admin(s *Server, token string) adminpbconnect.AdminClient {
	_, _, _, addr := s.Addresses()
	return admin.NewClient(w.http, w.scheme+"://"+addr, token)
}

// until waits for what other goroutines bring about.
func (w *world) until(what string, ok func() bool) {
	w.t.Helper()
	must.Wait(w.t, wait.InitialSuccess(
		wait.BoolFunc(ok), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond),
	), must.Sprint(what))
}

// knows waits until each node routes to so many upstreams of the service.
func (w *world) knows(service string, n int, nodes ...*Server) {
	w.t.Helper()
	w.until("members of "+service, func() bool {
		for _, s := range nodes {
			if len(s.node.Table().Targets(service)) != n {
				return false
			}
		}
		return true
	})
}

// publish puts the template balanced and an instance for the service in force.
func (w *world) publish(s *Server, service string) *adminpb.Publication {
	w.t.Helper()
	if _, ok := s.node.Policy().Template("balanced", 0); !ok {
		doc, err := json.Marshal(libraryTemplate(w.t, "balanced"))
		must.NoError(w.t, err)
		resp, err := w.admin(s, "mori").PublishTemplate(context.Background(), connect.NewRequest(&adminpb.PublishTemplateRequest{
			Name: "balanced", DocumentJson: string(doc), ChangeId: "t-balanced", WaitPercent: 100, WaitMs: 5000,
		}))
		must.NoError(w.t, err)
		must.True(w.t, resp.Msg.Publication.Accepted)
	}
	pub, err := w.set(s, "mori", service, "first-"+service, 0, `{}`)
	must.NoError(w.t, err)
	must.True(w.t, pub.Accepted)
	return pub
}

func (w *world) set(s *Server, token, service, change string, basedOn uint64, values string) (*adminpb.Publication, error) {
	resp, err := w.admin(s, token).SetInstance(context.Background(), connect.NewRequest(&adminpb.SetInstanceRequest{
		Workspace: "chikugo", Service: service, Template: "balanced", ValuesJson: values, Merge: true,
		BasedOn: basedOn, ChangeId: change, WaitPercent: 100, WaitMs: 5000,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Publication, nil
}

// changes counts the operators' changes in the log, each copy of one. Nodes append records
// of their own at any time, such as that they take over slots.
func (w *world) changes() (count int) {
	w.t.Helper()
	from := int64(0)
	for {
		page, err := w.log.Read(w.t.Context(), from, logstore.MaxPageEntries, 0)
		must.NoError(w.t, err)
		if len(page.Entries) == 0 {
			return count
		}
		for i := range page.Entries {
			entry := &page.Entries[i]
			if entry.Record.Kind == logstore.KindTemplate || entry.Record.Kind == logstore.KindInstance {
				count++
			}
			from = entry.Offset + 1
		}
	}
}

func libraryTemplate(t testing.TB, name string) policy.Template {
	for _, x := range policy.Library() {
		if x.Name == name {
			return x
		}
	}
	t.Fatalf("no template %s", name)
	return policy.Template{}
}

// unjoinedLog takes everything but joins, as if they were lost on the way.
type unjoinedLog struct{ *logd.Server }

// Append implements logstore.Log.
func (l unjoinedLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	kept := slices.DeleteFunc(slices.Clone(records), func(r logstore.Record) bool { return r.Kind == logstore.KindJoin })
	if len(kept) == 0 {
		return 0, logstore.ErrUnavailable
	}
	return l.Server.Append(ctx, kept)
}

// publishNow publishes a template without waiting for the other nodes.
func (w *world) publishNow(s *Server) {
	w.t.Helper()
	doc, err := json.Marshal(libraryTemplate(w.t, "balanced"))
	must.NoError(w.t, err)
	resp, err := w.admin(s, "mori").PublishTemplate(context.Background(), connect.NewRequest(&adminpb.PublishTemplateRequest{
		Name: "balanced", DocumentJson: string(doc), ChangeId: "now",
	}))
	must.NoError(w.t, err)
	must.Eq(w.t, 1, int(resp.Msg.Publication.NodesInForce))
	must.Eq(w.t, 2, int(resp.Msg.Publication.NodesKnown))
}

// withDeadline is an operator's patience; nothing is measured by it.
func withDeadline(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 600*time.Millisecond)
}

func limitsOf(calls int64) proxy.Limits { return proxy.Limits{Calls: calls} }
