package admin

import (
	"context"

	"connectrpc.com/connect"

	"github.com/galenagrade/galenagrade/internal/admin/adminpb/adminpbconnect"
)

// NewClient returns a client of the API at baseURL that sends token with every
// call. Nothing is sent as Authorization when token is empty.
func NewClient(c connect.HTTPClient, baseURL, token string) adminpbconnect.AdminClient {
	return adminpbconnect.NewAdminClient(c, baseURL,
		connect.WithReadMaxBytes(MaxMessageBytes),
		connect.WithInterceptors(bearer(token)),
	)
}

// bearer adds the Authorization header.
type bearer string

// WrapUnary implements connect.Interceptor.
func (b bearer) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if b != "" {
			req.Header().Set("Authorization", "Bearer "+string(b))
		}
		return next(ctx, req)
	}
}

// WrapStreamingClient implements connect.Interceptor.
func (b bearer) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return func(ctx context.Context, spec connect.Spec) connect.StreamingClientConn {
		conn := next(ctx, spec)
		if b != "" {
			conn.RequestHeader().Set("Authorization", "Bearer "+string(b))
		}
		return conn
	}
}

// WrapStreamingHandler implements connect.Interceptor.
func (b bearer) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}
