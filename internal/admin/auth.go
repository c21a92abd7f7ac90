package admin

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/settings"
)

// RefusedAccess describes a refused call, for the timeline (auth_refused).
type RefusedAccess struct {
	// Name is whom the token stands for; empty when it isn't known.
	Name      string
	Procedure string
	// Workspace is the one asked for; empty when the call concerns all.
	Workspace string
	Reason    string
	Peer      string
}

// caller is what the interceptor learned of who calls.
type caller struct {
	identity  Identity
	procedure string
	peer      string
}

type callerKey struct{}

// authenticator puts the caller into the context or refuses the call.
type authenticator struct {
	tokens    *Tokens
	onRefused func(RefusedAccess)
}

// WrapUnary implements connect.Interceptor.
func (a *authenticator) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		ctx, err := a.admit(ctx, req.Spec(), req.Peer(), req.Header())
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
		ctx, err := a.admit(ctx, conn.Spec(), conn.Peer(), conn.RequestHeader())
		if err != nil {
			return err
		}
		return next(ctx, conn)
	}
}

func (a *authenticator) admit(ctx context.Context, spec connect.Spec, peer connect.Peer, h http.Header) (context.Context, error) {
	c := caller{procedure: spec.Procedure, peer: peer.Addr}
	token := Bearer(h.Get("Authorization"))
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

func (a *authenticator) refuse(c caller, code connect.Code, workspace, reason string) error {
	a.onRefused(RefusedAccess{
		Name: c.identity.Name, Procedure: c.procedure, Workspace: workspace,
		Reason: reason, Peer: c.peer,
	})
	return connect.NewError(code, errors.New(reason))
}

// callerOf returns who calls. Every handler runs behind the interceptor; a
// context without a caller covers nothing.
func callerOf(ctx context.Context) caller {
	c, _ := ctx.Value(callerKey{}).(caller)
	return c
}

// allowRole refuses a caller without the role.
func (a *authenticator) allowRole(ctx context.Context, role settings.Role, workspace string) error {
	c := callerOf(ctx)
	if role == settings.RoleOperator && c.identity.Role != settings.RoleOperator {
		return a.refuse(c, connect.CodePermissionDenied, workspace, "needs the role operator")
	}
	return nil
}

// allow refuses a caller without the role or the workspace. An empty
// workspace stands for all of them.
func (a *authenticator) allow(ctx context.Context, role settings.Role, workspace string) (Identity, error) {
	c := callerOf(ctx)
	if err := a.allowRole(ctx, role, workspace); err != nil {
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

// allowListed is allow for reading: without a workspace the caller gets what
// the token covers.
func (a *authenticator) allowListed(ctx context.Context, workspace string) (Identity, error) {
	if workspace == "" {
		return callerOf(ctx).identity, nil
	}
	return a.allow(ctx, settings.RoleViewer, workspace)
}
