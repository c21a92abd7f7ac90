package admin_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/admin"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
	"github.com/galenagrade/galenagrade/internal/admin/admintest"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// fixture is a server with a fake backend and the calls that it refused.
type fixture struct {
	fake    *admintest.Fake
	srv     *httptest.Server
	mu      sync.Mutex
	refused []admin.RefusedAccess
}

func token(secret, name string, role settings.Role, workspaces ...string) settings.Token {
	sum := sha256.Sum256([]byte(secret))
	return settings.Token{SHA256: hex.EncodeToString(sum[:]), Name: name, Role: role, Workspaces: workspaces}
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{fake: admintest.New()}
	tokens, err := admin.NewTokens([]settings.Token{
		token("all", "platform", settings.RoleOperator, "*"),
		token("chi-op", "chikugo-op", settings.RoleOperator, "chikugo"),
		token("chi-view", "chikugo-view", settings.RoleViewer, "chikugo"),
		token("chi-call", "chikugo-caller", settings.RoleCaller, "chikugo"),
	})
	must.NoError(t, err)
	_, h := admin.NewHandler(b.fake, tokens, func(r admin.RefusedAccess) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.refused = append(b.refused, r)
	})
	b.srv = httptest.NewServer(h)
	t.Cleanup(b.srv.Close)
	return b
}

func (b *fixture) client(secret string) adminpbconnect.AdminClient {
	return admin.NewClient(b.srv.Client(), b.srv.URL, secret)
}

func setInstance(c adminpbconnect.AdminClient, workspace, change string, basedOn uint64) (*adminpb.Publication, error) {
	resp, err := c.SetInstance(context.Background(), connect.NewRequest(&adminpb.SetInstanceRequest{
		Workspace: workspace, Service: "letters", Template: "guarded",
		ValuesJson: `{"retries":2}`, ChangeId: change, BasedOn: basedOn,
	}))
	if err != nil {
		return nil, err
	}
	return resp.Msg.Publication, nil
}

// Guards against operators who change an instance of a workspace that their token doesn't cover, and
// against refused calls that are not reported.
func TestForeignWorkspaceIsRefusedAndRecorded(t *testing.T) {
	b := newFixture(t)
	_, err := setInstance(b.client("chi-op"), "yardstick", "c1", 0)
	must.Eq(t, connect.CodePermissionDenied, connect.CodeOf(err))
	list, err := b.client("all").ListInstances(t.Context(), connect.NewRequest(&adminpb.ListInstancesRequest{}))
	must.NoError(t, err)
	must.SliceEmpty(t, list.Msg.Instances)
	must.Len(t, 1, b.refused)
	must.Eq(t, "chikugo-op", b.refused[0].Name)
	must.Eq(t, "yardstick", b.refused[0].Workspace)
	must.StrHasSuffix(t, "/SetInstance", b.refused[0].Procedure)
}

// Guards against calls that are permitted without a token, the required role or access to all
// affected workspaces, and against permitted calls that are refused.
func TestAuthorizationByRoleAndWorkspace(t *testing.T) {
	b := newFixture(t)
	b.fake.Nodes["kurume-1"] = []string{"chikugo"}
	b.fake.Nodes["mixed-1"] = []string{"chikugo", "yardstick"}
	b.fake.Nodes["bare-1"] = nil
	b.fake.StatusResponse = &adminpb.StatusResponse{}
	drain := func(node string) func(adminpbconnect.AdminClient) error {
		return func(c adminpbconnect.AdminClient) error {
			_, err := c.Drain(t.Context(), connect.NewRequest(&adminpb.DrainRequest{NodeId: node}))
			return err
		}
	}
	calls := map[string]func(adminpbconnect.AdminClient) error{
		"status": func(c adminpbconnect.AdminClient) error {
			_, err := c.Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
			return err
		},
		"publish": func(c adminpbconnect.AdminClient) error {
			_, err := c.PublishTemplate(t.Context(), connect.NewRequest(&adminpb.PublishTemplateRequest{
				Name: "guarded", ChangeId: "x", DocumentJson: "{}",
			}))
			return err
		},
		"set": func(c adminpbconnect.AdminClient) error {
			_, err := setInstance(c, "chikugo", "c1", 0)
			return err
		},
		"drain own":   drain("kurume-1"),
		"drain mixed": drain("mixed-1"),
		"drain bare":  drain("bare-1"),
	}
	const ok, denied, unknown = connect.Code(0), connect.CodePermissionDenied, connect.CodeUnauthenticated
	cases := map[string]map[string]connect.Code{
		"all":      {"status": ok, "publish": ok, "set": ok, "drain own": ok, "drain mixed": ok, "drain bare": ok},
		"chi-op":   {"status": ok, "publish": denied, "set": ok, "drain own": ok, "drain mixed": denied, "drain bare": denied},
		"chi-view": {"status": ok, "publish": denied, "set": denied, "drain own": denied, "drain mixed": denied, "drain bare": denied},
		"chi-call": {"status": denied, "publish": denied, "set": denied, "drain own": denied, "drain mixed": denied, "drain bare": denied},
		"":         {"status": unknown, "publish": unknown, "set": unknown, "drain own": unknown, "drain mixed": unknown, "drain bare": unknown},
		"guess":    {"status": unknown, "publish": unknown, "set": unknown, "drain own": unknown, "drain mixed": unknown, "drain bare": unknown},
	}
	for secret, want := range cases {
		for name, code := range want {
			got := connect.Code(0)
			if err := calls[name](b.client(secret)); err != nil {
				got = connect.CodeOf(err)
			}
			must.Eq(t, code, got, must.Sprintf("%q calls %s", secret, name))
		}
	}
}

// Guards against lost updates when two operators change an instance based on the same version. The
// second change is rejected and the response names the first one. A resend of the first change
// doesn't create a new version.
func TestVersionConflictReportsAcceptedChange(t *testing.T) {
	b := newFixture(t)
	first, err := setInstance(b.client("chi-op"), "chikugo", "c1", 0)
	must.NoError(t, err)
	must.True(t, first.Accepted)
	second, err := setInstance(b.client("all"), "chikugo", "c2", 0)
	must.NoError(t, err)
	must.False(t, second.Accepted)
	must.Eq(t, "chikugo-op", second.LostToOperator)
	must.Eq(t, "c1", second.LostToChangeId)
	resent, err := setInstance(b.client("chi-op"), "chikugo", "c1", 0)
	must.NoError(t, err)
	must.Eq(t, first.Version, resent.Version)
}

// Guards against lists, timelines and event streams that contain data of workspaces that the token
// doesn't cover, or events that have no workspace. Each token covers as many events as the square of
// the number of members that it covers.
func TestListsAreLimitedToCoveredWorkspaces(t *testing.T) {
	b := newFixture(t)
	b.fake.MemberList = []*adminpb.Member{{NodeId: "k", Workspace: "chikugo"}, {NodeId: "l", Workspace: "yardstick"}}
	b.fake.EventList = []string{
		`{"kind":"call_refused","workspace":"chikugo"}`,
		`{"kind":"call_refused","workspace":"yardstick"}`,
		`{"kind":"log_unavailable"}`,
		`no json`,
	}
	for secret, want := range map[string]int{"all": 2, "chi-view": 1} {
		m, err := b.client(secret).Members(t.Context(), connect.NewRequest(&adminpb.MembersRequest{}))
		must.NoError(t, err)
		must.Len(t, want, m.Msg.Members)
		tl, err := b.client(secret).Timeline(t.Context(), connect.NewRequest(&adminpb.TimelineRequest{}))
		must.NoError(t, err)
		must.Len(t, want*want, tl.Msg.EventsJson)
		stream, err := b.client(secret).Events(t.Context(), connect.NewRequest(&adminpb.EventsRequest{}))
		must.NoError(t, err)
		got := 0
		for stream.Receive() {
			got++
		}
		must.NoError(t, stream.Err())
		must.Eq(t, want*want, got)
	}
}

// Guards against an unlimited number of open event streams.
func TestEventStreamsAreBounded(t *testing.T) {
	b := newFixture(t)
	b.fake.EventList = []string{`{}`}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	for range admin.MaxEventStreams {
		s, err := b.client("all").Events(ctx, connect.NewRequest(&adminpb.EventsRequest{Follow: true}))
		must.NoError(t, err)
		must.True(t, s.Receive())
	}
	s, err := b.client("all").Events(ctx, connect.NewRequest(&adminpb.EventsRequest{Follow: true}))
	must.NoError(t, err)
	must.False(t, s.Receive())
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(s.Err()))
}

// Guards against errors of invalid requests that don't name the invalid field.
func TestBadRequestsNameTheField(t *testing.T) {
	b := newFixture(t)
	c := b.client("all")
	cases := []struct {
		field string
		r     *adminpb.SetInstanceRequest
	}{
		{"workspace is empty", &adminpb.SetInstanceRequest{Service: "s"}},
		{"service is", &adminpb.SetInstanceRequest{Workspace: "w", Service: strings.Repeat("s", 200)}},
		{"change_id is empty", &adminpb.SetInstanceRequest{Workspace: "w", Service: "s"}},
		{"values_json is not a JSON object", &adminpb.SetInstanceRequest{Workspace: "w", Service: "s", ChangeId: "c", ValuesJson: "[]"}},
		{"wait_percent is 101", &adminpb.SetInstanceRequest{Workspace: "w", Service: "s", ChangeId: "c", ValuesJson: "{}", WaitPercent: 101}},
		{"wait_ms is -1", &adminpb.SetInstanceRequest{Workspace: "w", Service: "s", ChangeId: "c", ValuesJson: "{}", WaitMs: -1}},
	}
	for _, x := range cases {
		_, err := c.SetInstance(t.Context(), connect.NewRequest(x.r))
		must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
		must.ErrorContains(t, err, x.field)
	}
}

// Guards against RPC status codes that don't match the kind of a Backend error. The operator's
// command derives its exit code from them.
func TestBackendErrorKindsMapToCodes(t *testing.T) {
	b := newFixture(t)
	for want, err := range map[connect.Code]error{
		connect.CodeNotFound:        admin.NotFound("x"),
		connect.CodeInvalidArgument: admin.Invalid("x"),
		connect.CodeUnavailable:     admin.Unavailable("x"),
		connect.CodeAborted:         admin.Undecided("x"),
		connect.CodeInternal:        http.ErrBodyNotAllowed,
	} {
		b.fake.Fail = err
		_, got := b.client("all").Status(t.Context(), connect.NewRequest(&adminpb.StatusRequest{}))
		must.Eq(t, want, connect.CodeOf(got))
	}
}

// Guards against parsing other authorization schemes or overlong tokens as bearer tokens.
func TestBearer(t *testing.T) {
	must.Eq(t, "x", admin.Bearer("Bearer x"))
	must.Eq(t, "x", admin.Bearer("bearer  x "))
	must.Eq(t, "", admin.Bearer("Basic x"))
	must.Eq(t, "", admin.Bearer("Bearer "+strings.Repeat("x", 513)))
}
