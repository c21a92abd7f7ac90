package inner

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb/innerpbconnect"
)

// echoControl responds to probes. from is the node ID in its responses; a test can set an invalid one.
type echoControl struct {
	innerpbconnect.UnimplementedControlHandler
	calls int
	from  string
}

func (e *echoControl) Probe(_ context.Context, r *connect.Request[innerpb.ProbeRequest]) (*connect.Response[innerpb.ProbeResponse], error) {
	e.calls++
	return connect.NewResponse(&innerpb.ProbeResponse{
		Sequence: r.Msg.Sequence, Reached: true, From: &innerpb.NodeRef{NodeId: e.from},
	}), nil
}

func controlPair(t *testing.T, h innerpbconnect.ControlHandler) innerpbconnect.ControlClient {
	_, handler := NewControlHandler(h)
	srv := httptest.NewServer(handler)
	t.Cleanup(srv.Close)
	return NewControlClient(srv.Client(), srv.URL)
}

// Guards against a message with a field out of bounds that reaches the handler, and against an error
// that does not name the field.
func TestControlRejectsFieldsOutOfBounds(t *testing.T) {
	h := &echoControl{from: "kurume-1"}
	c := controlPair(t, h)
	resp, err := c.Probe(t.Context(), connect.NewRequest(&innerpb.ProbeRequest{Sequence: 7}))
	must.NoError(t, err)
	must.Eq(t, 7, resp.Msg.Sequence)

	bad := []struct {
		name string
		msg  *innerpb.ProbeRequest
	}{
		{"from.node_id", &innerpb.ProbeRequest{From: &innerpb.NodeRef{NodeId: strings.Repeat("n", MaxTextLen+1)}}},
		{"timeout_us", &innerpb.ProbeRequest{TimeoutUs: -1}},
		{"liveness[0].age_us", &innerpb.ProbeRequest{Liveness: []*innerpb.Liveness{{AgeUs: -3}}}},
		{"liveness is 4097", &innerpb.ProbeRequest{Liveness: make([]*innerpb.Liveness, MaxListLen+1)}},
	}
	for _, b := range bad {
		for i := range b.msg.Liveness {
			if b.msg.Liveness[i] == nil {
				b.msg.Liveness[i] = &innerpb.Liveness{}
			}
		}
		_, err := c.Probe(t.Context(), connect.NewRequest(b.msg))
		must.Eq(t, connect.CodeInvalidArgument, connect.CodeOf(err))
		must.ErrorContains(t, err, b.name)
	}
	must.Eq(t, 1, h.calls)
}

// Guards against a faulty peer whose response fills the memory of the requester with a long name.
func TestClientChecksResponses(t *testing.T) {
	c := controlPair(t, &echoControl{from: strings.Repeat("n", MaxTextLen+1)})
	_, err := c.Probe(t.Context(), connect.NewRequest(&innerpb.ProbeRequest{}))
	must.ErrorContains(t, err, "from.node_id")
}

// Guards against a peer that fills the memory of a node with one large message.
func TestControlBoundsMessageSize(t *testing.T) {
	c := controlPair(t, &echoControl{})
	part := &innerpb.HandOverRequest{Entries: []*innerpb.KeyEntry{{Body: make([]byte, MaxControlBytes)}}}
	_, err := c.HandOver(t.Context(), connect.NewRequest(part))
	must.Eq(t, connect.CodeResourceExhausted, connect.CodeOf(err))
}
