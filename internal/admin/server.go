package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb"
	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// server implements the Admin service over a Backend.
type server struct {
	backend   Backend
	auth      *authenticator
	followers chan struct{}
}

// NewHandler returns the path and the handler of the administration API.
// onRefused hears of every call that lacked a token, a role or a workspace;
// it must not block.
func NewHandler(b Backend, tokens *Tokens, onRefused func(RefusedAccess)) (string, http.Handler) {
	s := &server{
		backend:   b,
		auth:      &authenticator{tokens: tokens, onRefused: onRefused},
		followers: make(chan struct{}, MaxFollowers),
	}
	return adminpbconnect.NewAdminHandler(s,
		connect.WithReadMaxBytes(4*MaxDocumentBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(s.auth),
	)
}

// ListTemplates implements the service. Templates are shared: any viewer may
// read them.
func (s *server) ListTemplates(ctx context.Context, _ *connect.Request[adminpb.ListTemplatesRequest]) (*connect.Response[adminpb.ListTemplatesResponse], error) {
	list, err := s.backend.ListTemplates(ctx)
	return answer(&adminpb.ListTemplatesResponse{Templates: list}, err)
}

// ShowTemplate implements the service.
func (s *server) ShowTemplate(ctx context.Context, r *connect.Request[adminpb.ShowTemplateRequest]) (*connect.Response[adminpb.ShowTemplateResponse], error) {
	var p problems
	p.required("name", r.Msg.Name)
	if p.err != nil {
		return nil, p.err
	}
	return answer(s.backend.ShowTemplate(ctx, r.Msg.Name, r.Msg.Version))
}

// PublishTemplate implements the service. A template concerns every
// workspace, so the token must cover all.
func (s *server) PublishTemplate(ctx context.Context, r *connect.Request[adminpb.PublishTemplateRequest]) (*connect.Response[adminpb.PublishResponse], error) {
	id, err := s.auth.allow(ctx, settings.RoleOperator, "")
	if err != nil {
		return nil, err
	}
	var p problems
	p.required("name", r.Msg.Name)
	p.required("change_id", r.Msg.ChangeId)
	p.object("document_json", r.Msg.DocumentJson)
	p.wait(r.Msg.WaitPercent, r.Msg.WaitMs)
	if p.err != nil {
		return nil, p.err
	}
	pub, err := s.backend.PublishTemplate(ctx, id.Name, r.Msg)
	return answer(&adminpb.PublishResponse{Publication: pub}, err)
}

// ListInstances implements the service.
func (s *server) ListInstances(ctx context.Context, r *connect.Request[adminpb.ListInstancesRequest]) (*connect.Response[adminpb.ListInstancesResponse], error) {
	id, err := s.auth.allowListed(ctx, r.Msg.Workspace)
	if err != nil {
		return nil, err
	}
	list, err := s.backend.ListInstances(ctx, r.Msg.Workspace)
	list = covered(id, list, (*adminpb.InstanceSummary).GetWorkspace)
	return answer(&adminpb.ListInstancesResponse{Instances: list}, err)
}

// ShowInstance implements the service.
func (s *server) ShowInstance(ctx context.Context, r *connect.Request[adminpb.ShowInstanceRequest]) (*connect.Response[adminpb.ShowInstanceResponse], error) {
	if err := s.checkInstance(ctx, settings.RoleViewer, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	return answer(s.backend.ShowInstance(ctx, r.Msg))
}

// SetInstance implements the service.
func (s *server) SetInstance(ctx context.Context, r *connect.Request[adminpb.SetInstanceRequest]) (*connect.Response[adminpb.PublishResponse], error) {
	if err := s.checkInstance(ctx, settings.RoleOperator, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	var p problems
	p.name("template", r.Msg.Template)
	p.required("change_id", r.Msg.ChangeId)
	p.object("values_json", r.Msg.ValuesJson)
	p.wait(r.Msg.WaitPercent, r.Msg.WaitMs)
	if p.err != nil {
		return nil, p.err
	}
	pub, err := s.backend.SetInstance(ctx, callerOf(ctx).identity.Name, r.Msg)
	return answer(&adminpb.PublishResponse{Publication: pub}, err)
}

// DiffInstance implements the service.
func (s *server) DiffInstance(ctx context.Context, r *connect.Request[adminpb.DiffInstanceRequest]) (*connect.Response[adminpb.DiffInstanceResponse], error) {
	if err := s.checkInstance(ctx, settings.RoleViewer, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	var p problems
	p.name("template", r.Msg.Template)
	p.object("values_json", r.Msg.ValuesJson)
	if p.err != nil {
		return nil, p.err
	}
	return answer(s.backend.DiffInstance(ctx, r.Msg))
}

func (s *server) checkInstance(ctx context.Context, role settings.Role, workspace, service string) error {
	var p problems
	p.required("workspace", workspace)
	p.required("service", service)
	if p.err != nil {
		return p.err
	}
	_, err := s.auth.allow(ctx, role, workspace)
	return err
}

// Status implements the service. It says nothing of a single workspace's
// traffic, so any viewer may ask.
func (s *server) Status(ctx context.Context, r *connect.Request[adminpb.StatusRequest]) (*connect.Response[adminpb.StatusResponse], error) {
	if _, err := s.auth.allowListed(ctx, r.Msg.Workspace); err != nil {
		return nil, err
	}
	return answer(s.backend.Status(ctx, r.Msg))
}

// Members implements the service.
func (s *server) Members(ctx context.Context, r *connect.Request[adminpb.MembersRequest]) (*connect.Response[adminpb.MembersResponse], error) {
	id, err := s.auth.allowListed(ctx, r.Msg.Workspace)
	if err != nil {
		return nil, err
	}
	list, err := s.backend.Members(ctx, r.Msg)
	list = covered(id, list, (*adminpb.Member).GetWorkspace)
	return answer(&adminpb.MembersResponse{Members: list}, err)
}

// Drain implements the service. The token must cover every workspace that the
// node serves.
func (s *server) Drain(ctx context.Context, r *connect.Request[adminpb.DrainRequest]) (*connect.Response[adminpb.DrainResponse], error) {
	var p problems
	p.required("node_id", r.Msg.NodeId)
	p.text("reason", r.Msg.Reason)
	p.wait(0, r.Msg.WaitMs)
	if p.err != nil {
		return nil, p.err
	}
	if err := s.auth.allowRole(ctx, settings.RoleOperator, ""); err != nil {
		return nil, err
	}
	workspaces, err := s.backend.NodeWorkspaces(ctx, r.Msg.NodeId)
	if err != nil {
		return nil, connectError(err)
	}
	if len(workspaces) == 0 {
		// A node without an upstream serves no workspace: only a token for
		// all may drain it.
		workspaces = []string{""}
	}
	for _, w := range workspaces {
		if _, err := s.auth.allow(ctx, settings.RoleOperator, w); err != nil {
			return nil, err
		}
	}
	return answer(s.backend.Drain(ctx, callerOf(ctx).identity.Name, r.Msg))
}

// covered leaves out what a token doesn't cover.
func covered[T any](id Identity, list []T, workspace func(T) string) []T {
	var kept []T
	for _, x := range list {
		if id.Covers(workspace(x)) {
			kept = append(kept, x)
		}
	}
	return kept
}

func answer[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connectError(err)
	}
	if msg == nil {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the node gave no answer"))
	}
	return connect.NewResponse(msg), nil
}
