package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// RefusedAccess describes a refused call for an auth_refused event of the timeline.
type RefusedAccess struct {
	// Name is the name of the token's identity. It is empty if the token is missing or unknown.
	Name string
	// Procedure is the path of the RPC method.
	Procedure string
	// Workspace is the requested workspace. It is empty if the call concerns all workspaces.
	Workspace string
	// Reason is the text of the error returned to the caller.
	Reason string
	// Peer is the network address of the caller.
	Peer string
}

// callerInfo contains the identity and origin of a call, as determined by the interceptor.
type callerInfo struct {
	identity  Identity
	procedure string
	peer      string
}

// callerKey is the context key of callerInfo.
type callerKey struct{}

// authenticator is the interceptor that authenticates each call and stores the caller in its context.
// It also authorizes calls and reports refused ones.
type authenticator struct {
	tokens    *Tokens
	onRefused func(RefusedAccess)
}

// WrapUnary implements connect.Interceptor.
func (a *authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, err := a.authenticate(ctx, req.Spec(), req.Peer(), req.Header())
		if err != nil {
			return nil, err
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (a *authenticator) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor.
func (a *authenticator) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		ctx, err := a.authenticate(ctx, conn.Spec(), conn.Peer(), conn.RequestHeader())
		if err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

// authenticate returns ctx with the caller. It refuses calls without a known token and tokens whose
// role has no access to the API.
func (a *authenticator) authenticate(ctx context.Context, spec connect.Spec, peer connect.Peer, header http.Header) (context.Context, error) {
	c := callerInfo{procedure: spec.Procedure, peer: peer.Addr}
	token := Bearer(header.Get("Authorization"))
	if token == "" {
		return nil, a.refuse(c, connect.CodeUnauthenticated, "", "no bearer token")
	}
	identity, ok := a.tokens.Lookup(token)
	if !ok {
		return nil, a.refuse(c, connect.CodeUnauthenticated, "", "token is not known")
	}
	c.identity = identity
	if identity.Role != settings.RoleViewer && identity.Role != settings.RoleOperator {
		return nil, a.refuse(c, connect.CodePermissionDenied, "", "role "+string(identity.Role)+" has no access to the administration API")
	}
	return context.WithValue(ctx, callerKey{}, c), nil
}

// refuse reports a refused call to onRefused and returns the error for the caller.
func (a *authenticator) refuse(c callerInfo, code connect.Code, workspace, reason string) error {
	a.onRefused(RefusedAccess{
		Name: c.identity.Name, Procedure: c.procedure, Workspace: workspace,
		Reason: reason, Peer: c.peer,
	})
	return connect.NewError(code, errors.New(reason))
}

// callerFromContext returns the caller of a call. Every handler runs behind the interceptor, which
// sets it. A context without a caller yields an identity that covers no workspace.
func callerFromContext(ctx context.Context) callerInfo {
	c, _ := ctx.Value(callerKey{}).(callerInfo)
	return c
}

// authorizeRole refuses the call if the caller lacks the role. The workspace is only reported with a
// refusal; authorize checks it.
func (a *authenticator) authorizeRole(ctx context.Context, role settings.Role, workspace string) error {
	c := callerFromContext(ctx)
	if role == settings.RoleOperator && c.identity.Role != settings.RoleOperator {
		return a.refuse(c, connect.CodePermissionDenied, workspace, "needs the role operator")
	}
	return nil
}

// authorize refuses the call if the caller lacks the role or access to the workspace. An empty
// workspace means all workspaces.
func (a *authenticator) authorize(ctx context.Context, role settings.Role, workspace string) (Identity, error) {
	c := callerFromContext(ctx)
	if err := a.authorizeRole(ctx, role, workspace); err != nil {
		return c.identity, err
	}
	if workspace == "" && !c.identity.CoversAll() {
		return c.identity, a.refuse(c, connect.CodePermissionDenied, workspace, "needs a token for all workspaces")
	}
	if workspace != "" && !c.identity.Covers(workspace) {
		return c.identity, a.refuse(c, connect.CodePermissionDenied, workspace, "token does not cover workspace "+workspace)
	}
	return c.identity, nil
}

// authorizeRead authorizes a read. Without a workspace it permits every authenticated caller; the
// handler then limits the response to the workspaces that the token covers.
func (a *authenticator) authorizeRead(ctx context.Context, workspace string) (Identity, error) {
	if workspace == "" {
		return callerFromContext(ctx).identity, nil
	}
	return a.authorize(ctx, settings.RoleViewer, workspace)
}
