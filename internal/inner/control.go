package inner

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
)

// MaxControlBytes limits one message of the Control service in either direction. The largest
// messages carry one part of a node's state (FetchState) or of a hand-over of keys (HandOver). The
// senders limit a part to a quarter of MaxControlBytes.
const MaxControlBytes = 4 << 20

// NewControlHandler returns the path and the handler of the Control service. Messages that exceed
// MaxControlBytes or have a field out of bounds are rejected before they reach h.
func NewControlHandler(h innerpbconnect.ControlHandler) (string, http.Handler) {
	return innerpbconnect.NewControlHandler(h,
		connect.WithReadMaxBytes(MaxControlBytes),
		connect.WithSendMaxBytes(MaxControlBytes),
		connect.WithInterceptors(checkInterceptor{}),
	)
}

// NewControlClient returns a client of the node at baseURL. Responses are subject to the limits of
// NewControlHandler. Requests are sent uncompressed: most are smaller than the headers that would
// announce the compression.
func NewControlClient(c connect.HTTPClient, baseURL string) innerpbconnect.ControlClient {
	return innerpbconnect.NewControlClient(c, baseURL,
		connect.WithReadMaxBytes(MaxControlBytes),
		connect.WithSendMaxBytes(MaxControlBytes),
		connect.WithInterceptors(checkInterceptor{}),
	)
}

// checkInterceptor checks received messages: requests at a server, responses at a client.
type checkInterceptor struct{}

// WrapUnary implements connect.Interceptor.
func (checkInterceptor) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		if !req.Spec().IsClient {
			if err := checkAny(req.Any()); err != nil {
				return nil, connect.NewError(connect.CodeInvalidArgument, err)
			}
			return next(ctx, req)
		}
		resp, err := next(ctx, req)
		if err != nil {
			return nil, err
		}
		if err := checkAny(resp.Any()); err != nil {
			return nil, connect.NewError(connect.CodeInternal, err)
		}
		return resp, nil
	}
}

// WrapStreamingClient implements connect.Interceptor; Control has no streams.
func (checkInterceptor) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler implements connect.Interceptor; Control has no streams.
func (checkInterceptor) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return next
}

func checkAny(v any) error {
	m, ok := v.(proto.Message)
	if !ok {
		return nil
	}
	return CheckMessage(m)
}
