package admin

import (
	"context"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
)

// NewClient returns a client of the API at baseURL that sends token with every call. If token is
// empty, calls have no Authorization header.
func NewClient(c connect.HTTPClient, baseURL, token string) adminpbconnect.AdminClient {
	return adminpbconnect.NewAdminClient(c, baseURL,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(bearerToken(token)),
	)
}

// bearerToken is an interceptor that sets the Authorization header.
type bearerToken string

// WrapUnary implements connect.Interceptor.
func (b bearerToken) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if b != "" {
			req.Header().Set("Authorization", "Bearer "+string(b))
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearerToken) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		if b != "" {
			conn.RequestHeader().Set("Authorization", "Bearer "+string(b))
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearerToken) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
