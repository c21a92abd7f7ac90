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

// server implements the Admin service with a Backend.
type server struct {
	backend Backend
	auth    *authenticator
	// streamSlots is a semaphore with one element for each open event stream.
	streamSlots chan struct{}
}

// NewHandler returns the path and the handler of the administration API. It calls onRefused for
// every call that is refused for lack of a token, a role or a workspace. onRefused must not block.
func NewHandler(b Backend, tokens *Tokens, onRefused func(RefusedAccess)) (string, http.Handler) {
	s := &server{
		backend:     b,
		auth:        &authenticator{tokens: tokens, onRefused: onRefused},
		streamSlots: make(chan struct{}, MaxEventStreams),
	}
	return adminpbconnect.NewAdminHandler(s,
		connect.WithReadMaxBytes(4*MaxDocumentBytes),
		connect.WithSendMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(s.auth),
	)
}

// ListTemplates implements the service. All workspaces share the templates, so any viewer may read
// them.
func (s *server) ListTemplates(ctx context.Context, _ *connect.Request[adminpb.ListTemplatesRequest]) (*connect.Response[adminpb.ListTemplatesResponse], error) {
	list, err := s.backend.ListTemplates(ctx)
	return toResponse(&adminpb.ListTemplatesResponse{Templates: list}, err)
}

// ShowTemplate implements the service.
func (s *server) ShowTemplate(ctx context.Context, r *connect.Request[adminpb.ShowTemplateRequest]) (*connect.Response[adminpb.ShowTemplateResponse], error) {
	var check requestValidator
	check.required("name", r.Msg.Name)
	if check.err != nil {
		return nil, check.err
	}
	return toResponse(s.backend.ShowTemplate(ctx, r.Msg.Name, r.Msg.Version))
}

// PublishTemplate implements the service. A template affects all workspaces, so the token must cover
// all of them.
func (s *server) PublishTemplate(ctx context.Context, r *connect.Request[adminpb.PublishTemplateRequest]) (*connect.Response[adminpb.PublishResponse], error) {
	id, err := s.auth.authorize(ctx, settings.RoleOperator, "")
	if err != nil {
		return nil, err
	}
	var check requestValidator
	check.required("name", r.Msg.Name)
	check.required("change_id", r.Msg.ChangeId)
	check.object("document_json", r.Msg.DocumentJson)
	check.wait(r.Msg.WaitPercent, r.Msg.WaitMs)
	if check.err != nil {
		return nil, check.err
	}
	pub, err := s.backend.PublishTemplate(ctx, id.Name, r.Msg)
	return toResponse(&adminpb.PublishResponse{Publication: pub}, err)
}

// ListInstances implements the service.
func (s *server) ListInstances(ctx context.Context, r *connect.Request[adminpb.ListInstancesRequest]) (*connect.Response[adminpb.ListInstancesResponse], error) {
	id, err := s.auth.authorizeRead(ctx, r.Msg.Workspace)
	if err != nil {
		return nil, err
	}
	list, err := s.backend.ListInstances(ctx, r.Msg.Workspace)
	list = filterCovered(id, list, (*adminpb.InstanceSummary).GetWorkspace)
	return toResponse(&adminpb.ListInstancesResponse{Instances: list}, err)
}

// ShowInstance implements the service.
func (s *server) ShowInstance(ctx context.Context, r *connect.Request[adminpb.ShowInstanceRequest]) (*connect.Response[adminpb.ShowInstanceResponse], error) {
	if err := s.authorizeInstance(ctx, settings.RoleViewer, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	return toResponse(s.backend.ShowInstance(ctx, r.Msg))
}

// SetInstance implements the service.
func (s *server) SetInstance(ctx context.Context, r *connect.Request[adminpb.SetInstanceRequest]) (*connect.Response[adminpb.PublishResponse], error) {
	if err := s.authorizeInstance(ctx, settings.RoleOperator, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	var check requestValidator
	check.name("template", r.Msg.Template)
	check.required("change_id", r.Msg.ChangeId)
	check.object("values_json", r.Msg.ValuesJson)
	check.wait(r.Msg.WaitPercent, r.Msg.WaitMs)
	if check.err != nil {
		return nil, check.err
	}
	pub, err := s.backend.SetInstance(ctx, callerFromContext(ctx).identity.Name, r.Msg)
	return toResponse(&adminpb.PublishResponse{Publication: pub}, err)
}

// DiffInstance implements the service.
func (s *server) DiffInstance(ctx context.Context, r *connect.Request[adminpb.DiffInstanceRequest]) (*connect.Response[adminpb.DiffInstanceResponse], error) {
	if err := s.authorizeInstance(ctx, settings.RoleViewer, r.Msg.Workspace, r.Msg.Service); err != nil {
		return nil, err
	}
	var check requestValidator
	check.name("template", r.Msg.Template)
	check.object("values_json", r.Msg.ValuesJson)
	if check.err != nil {
		return nil, check.err
	}
	return toResponse(s.backend.DiffInstance(ctx, r.Msg))
}

// authorizeInstance validates the names of an instance and authorizes access to its workspace.
func (s *server) authorizeInstance(ctx context.Context, role settings.Role, workspace, service string) error {
	var check requestValidator
	check.required("workspace", workspace)
	check.required("service", service)
	if check.err != nil {
		return check.err
	}
	_, err := s.auth.authorize(ctx, role, workspace)
	return err
}

// Status implements the service. The response contains no data about the traffic of a single
// workspace, so any viewer may read it.
func (s *server) Status(ctx context.Context, r *connect.Request[adminpb.StatusRequest]) (*connect.Response[adminpb.StatusResponse], error) {
	if _, err := s.auth.authorizeRead(ctx, r.Msg.Workspace); err != nil {
		return nil, err
	}
	return toResponse(s.backend.Status(ctx, r.Msg))
}

// Members implements the service.
func (s *server) Members(ctx context.Context, r *connect.Request[adminpb.MembersRequest]) (*connect.Response[adminpb.MembersResponse], error) {
	id, err := s.auth.authorizeRead(ctx, r.Msg.Workspace)
	if err != nil {
		return nil, err
	}
	list, err := s.backend.Members(ctx, r.Msg)
	list = filterCovered(id, list, (*adminpb.Member).GetWorkspace)
	return toResponse(&adminpb.MembersResponse{Members: list}, err)
}

// Drain implements the service. The token must cover all workspaces that the node serves.
func (s *server) Drain(ctx context.Context, r *connect.Request[adminpb.DrainRequest]) (*connect.Response[adminpb.DrainResponse], error) {
	var check requestValidator
	check.required("node_id", r.Msg.NodeId)
	check.text("reason", r.Msg.Reason)
	check.wait(0, r.Msg.WaitMs)
	if check.err != nil {
		return nil, check.err
	}
	if err := s.auth.authorizeRole(ctx, settings.RoleOperator, ""); err != nil {
		return nil, err
	}
	workspaces, err := s.backend.NodeWorkspaces(ctx, r.Msg.NodeId)
	if err != nil {
		return nil, connectError(err)
	}
	if len(workspaces) == 0 {
		// A node without an upstream serves no workspace. Only a token for all workspaces may drain
		// it.
		workspaces = []string{""}
	}
	for _, w := range workspaces {
		if _, err := s.auth.authorize(ctx, settings.RoleOperator, w); err != nil {
			return nil, err
		}
	}
	return toResponse(s.backend.Drain(ctx, callerFromContext(ctx).identity.Name, r.Msg))
}

// filterCovered returns the elements of list whose workspace the identity covers.
func filterCovered[T any](id Identity, list []T, workspace func(T) string) []T {
	var kept []T
	for _, x := range list {
		if id.Covers(workspace(x)) {
			kept = append(kept, x)
		}
	}
	return kept
}

// toResponse converts the result of a Backend to the result of a handler.
func toResponse[T any](msg *T, err error) (*connect.Response[T], error) {
	if err != nil {
		return nil, connectError(err)
	}
	if msg == nil {
		return nil, connect.NewError(connect.CodeInternal, errors.New("the node returned no response message"))
	}
	return connect.NewResponse(msg), nil
}
