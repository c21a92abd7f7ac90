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

// testCluster is a stand-in for the log service and the nodes that use it.
type testCluster struct {
	t    testing.TB
	log  *logd.Server
	http *http.Client
	// scheme is the URL scheme of the admin addresses.
	scheme string
}

func newTestCluster(t testing.TB) *testCluster {
	tr := &http.Transport{}
	t.Cleanup(tr.CloseIdleConnections)
	return &testCluster{t: t, log: logd.New(logd.Options{Seed: 1}), http: &http.Client{Transport: tr}, scheme: "http"}
}

func hashedToken(secret, name string, role settings.Role, workspaces ...string) settings.Token {
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
		hashedToken("mori", "mori", settings.RoleOperator, "*"),
		hashedToken("abe", "abe", settings.RoleOperator, "chikugo"),
		hashedToken("view", "view", settings.RoleViewer, "chikugo"),
		hashedToken("caller", "caller", settings.RoleCaller, "chikugo"),
	}
	return cfg
}

// start starts a node and stops it when the test ends. configure may be nil.
func (cluster *testCluster) start(id string, configure func(*settings.Node)) *Server {
	return cluster.startWith(id, cluster.log, configure)
}

// startWith starts a node that uses the given log.
func (cluster *testCluster) startWith(id string, log logstore.Log, configure func(*settings.Node)) *Server {
	cfg := testSettings(id)
	if configure != nil {
		configure(cfg)
	}
	must.NoError(cluster.t, cfg.Validate())
	s, err := Start(cfg, Options{Log: log, Logger: zerolog.Nop()})
	must.NoError(cluster.t, err)
	cluster.t.Cleanup(s.Kill)
	return s
}

// announceUpstream starts an upstream with the handler and announces it to the node.
func (cluster *testCluster) announceUpstream(s *Server, service string, h http.Handler) {
	up := httptest.NewServer(h)
	cluster.t.Cleanup(up.Close)
	cluster.announceAddress(s, service, up.Listener.Addr().String())
}

// announceAddress announces an upstream at an address to the node.
func (cluster *testCluster) announceAddress(s *Server, service, addr string) {
	body, err := json.Marshal(node.Announcement{Service: service, Address: addr, Slots: 8})
	must.NoError(cluster.t, err)
	_, exitAddr, _, _ := s.Addresses()
	req, err := http.NewRequest(http.MethodPut, "http://"+exitAddr+"/v1/upstream", bytes.NewReader(body))
	must.NoError(cluster.t, err)
	status, _, _ := cluster.do(req)
	must.Eq(cluster.t, http.StatusOK, status)
}

func (cluster *testCluster) do(req *http.Request) (int, http.Header, []byte) {
	resp, err := cluster.http.Do(req)
	must.NoError(cluster.t, err)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	must.NoError(cluster.t, err)
	return resp.StatusCode, resp.Header, body
}

// call sends a caller's GET request to the service.
func (cluster *testCluster) call(s *Server, service, token string) (int, http.Header, []byte) {
	callersAddr, _, _, _ := s.Addresses()
	req, err := http.NewRequest(http.MethodGet, "http://"+callersAddr+"/x", nil)
	must.NoError(cluster.t, err)
	req.Header.Set("Galena-Workspace", "chikugo")
	req.Header.Set("Galena-Service", service)
	if token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	return cluster.do(req)
}

func (cluster *testCluster) admin(s *Server, token string) adminpbconnect.AdminClient {
	_, _, _, addr := s.Addresses()
	return admin.NewClient(cluster.http, cluster.scheme+"://"+addr, token)
}

// waitFor waits until the condition holds, and fails the test when it does not in time.
func (cluster *testCluster) waitFor(what string, condition func() bool) {
	cluster.t.Helper()
	must.Wait(cluster.t, wait.InitialSuccess(
		wait.BoolFunc(condition), wait.Timeout(20*time.Second), wait.Gap(5*time.Millisecond),
	), must.Sprint(what))
}

// awaitTargets waits until each node has n targets for the service in its routing table.
func (cluster *testCluster) awaitTargets(service string, n int, nodes ...*Server) {
	cluster.t.Helper()
	cluster.waitFor("each node has the expected number of targets for "+service, func() bool {
		for _, s := range nodes {
			if len(s.node.Table().Targets(service)) != n {
				return false
			}
		}
		return true
	})
}

// publishInstance publishes the template balanced, if missing, and an instance of it for the
// service.
func (cluster *testCluster) publishInstance(s *Server, service string) *adminpb.Publication {
	cluster.t.Helper()
	if _, ok := s.node.Policy().Template("balanced", 0); !ok {
		doc, err := json.Marshal(libraryTemplate(cluster.t, "balanced"))
		must.NoError(cluster.t, err)
		resp, err := cluster.admin(s, "mori").PublishTemplate(context.Background(), connect.NewRequest(&adminpb.PublishTemplateRequest{
			Name: "balanced", DocumentJson: string(doc), ChangeId: "t-balanced", WaitPercent: 100, WaitMs: 5000,
		}))
		must.NoError(cluster.t, err)
		must.True(cluster.t, resp.Msg.Publication.Accepted)
	}
	pub, err := cluster.setInstance(s, "mori", service, "first-"+service, 0, `{}`)
	must.NoError(cluster.t, err)
	must.True(cluster.t, pub.Accepted)
	return pub
}

func (cluster *testCluster) setInstance(s *Server, token, service, change string, basedOn uint64, values string) (*adminpb.Publication, error) {
	resp, err := cluster.admin(s, token).SetInstance(context.Background(), connect.NewRequest(&adminpb.SetInstanceRequest{
		Workspace: "chikugo", Service: service, Template: "balanced", ValuesJson: values, Merge: true,
		BasedOn: basedOn, ChangeId: change, WaitPercent: 100, WaitMs: 5000,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Publication, nil
}

// countChanges counts the template and instance records in the log, including duplicates.
// Other records are ignored because nodes append their own at any time, such as takeovers of
// slots.
func (cluster *testCluster) countChanges() (count int) {
	cluster.t.Helper()
	from := int64(0)
	for {
		page, err := cluster.log.Read(cluster.t.Context(), from, logstore.MaxPageEntries, 0)
		must.NoError(cluster.t, err)
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
	for _, template := range policy.Library() {
		if template.Name == name {
			return template
		}
	}
	t.Fatalf("no template %s", name)
	return policy.Template{}
}

// joinRejectingLog accepts all records except joins, so that a node never becomes a member in
// the log.
type joinRejectingLog struct{ *logd.Server }

// Append implements logstore.Log.
func (l joinRejectingLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	accepted := slices.DeleteFunc(slices.Clone(records), func(r logstore.Record) bool { return r.Kind == logstore.KindJoin })
	if len(accepted) == 0 {
		return 0, logstore.ErrUnavailable
	}
	return l.Server.Append(ctx, accepted)
}

// publishTemplate publishes a template and does not wait until the other nodes have it in
// force.
func (cluster *testCluster) publishTemplate(s *Server) {
	cluster.t.Helper()
	doc, err := json.Marshal(libraryTemplate(cluster.t, "balanced"))
	must.NoError(cluster.t, err)
	resp, err := cluster.admin(s, "mori").PublishTemplate(context.Background(), connect.NewRequest(&adminpb.PublishTemplateRequest{
		Name: "balanced", DocumentJson: string(doc), ChangeId: "now",
	}))
	must.NoError(cluster.t, err)
	must.Eq(cluster.t, 1, int(resp.Msg.Publication.NodesInForce))
	must.Eq(cluster.t, 2, int(resp.Msg.Publication.NodesKnown))
}

// shortDeadline returns a context with the deadline of an operator who does not wait for the
// end of an outage.
func shortDeadline(t *testing.T) (context.Context, context.CancelFunc) {
	return context.WithTimeout(t.Context(), 600*time.Millisecond)
}

// callLimit returns limits that bound only the number of calls.
func callLimit(calls int64) proxy.Limits { return proxy.Limits{Calls: calls} }
