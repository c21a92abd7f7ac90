package proxy

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/h1"
	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

type wallClock struct{}

func (wallClock) Now() time.Time { return time.Now() }

// startFakeGuard starts a server that responds in place of a guard, and returns a function that sends
// calls to it.
func startFakeGuard(t *testing.T, serve func(l net.Listener, h *innerpb.CallHeader, w http.ResponseWriter)) func(callID string) *node.Response {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must.NoError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h, err := inner.DecodeCall(r.Header.Get(inner.HeaderCall))
		must.NoError(t, err)
		serve(l, h, w)
	})}
	go func() { _ = srv.Serve(l) }()
	peers := NewPeers(nil)
	peers.Bind(node.New(node.Config{Clock: wallClock{}, Ring: timeline.NewRing("n", 16, &timeline.Clock{})}))
	t.Cleanup(func() {
		peers.Close()
		_ = srv.Close()
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	t.Cleanup(cancel)
	return func(callID string) *node.Response {
		call := &node.Call{Ctx: callctx.Context{RequestID: callID, CallID: callID, Workspace: "w", Service: "s", Deadline: time.Now().Add(time.Minute)}, Method: "POST", Target: "/"}
		return peers.Send(ctx, routing.Endpoint{Node: "g", Addr: l.Addr().String()}, call)
	}
}

// writeInner writes a response as a guard does.
func writeInner(w http.ResponseWriter, resp *node.Response) {
	p := &Proxy{node: node.New(node.Config{Clock: wallClock{}, Ring: timeline.NewRing("g", 16, &timeline.Clock{})})}
	p.writeInner(w, &node.Call{}, resp)
}

func okResponse(callID string) *node.Response {
	return &node.Response{CallID: callID, Code: result.OK, Status: http.StatusOK}
}

// Guards against a call that ran but is reported as not run, because the dial of its re-attachment
// failed.
func TestDialErrorOfReattachIsNoRefusal(t *testing.T) {
	send := startFakeGuard(t, func(l net.Listener, h *innerpb.CallHeader, w http.ResponseWriter) {
		if h.GetCallId() == "kept" {
			writeInner(w, okResponse("kept"))
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		must.NoError(t, err)
		must.NoError(t, l.Close())
		must.NoError(t, conn.Close())
	})
	must.Eq(t, result.OK, send("kept").Code)
	must.Eq(t, result.LostAnswer, send("ran").Code)
	must.Eq(t, result.Unreachable, send("never sent").Code)
}

// Guards against targets that are ejected because callers leave while connections to them are opened.
func TestCallerThatLeavesIsNoFailureOfItsTarget(t *testing.T) {
	resp := sendFailure(context.Background(), &node.Call{}, &h1.Error{Stage: h1.StageConnect, Cause: context.Canceled})
	must.EqOp(t, result.Cancelled, resp.Code)
	must.True(t, neverArrived(resp))
}

// Guards against the refusal of the first transmission being returned while the second one runs: the
// caller would receive "not run" for a call that runs.
func TestRefusalOfFirstTransmissionIsNotFinal(t *testing.T) {
	reattached, refused := make(chan struct{}), make(chan struct{})
	send := startFakeGuard(t, func(_ net.Listener, h *innerpb.CallHeader, w http.ResponseWriter) {
		if h.GetReattach() {
			close(reattached)
			<-refused
			writeInner(w, okResponse("c"))
			return
		}
		<-reattached
		writeInner(w, node.Refused("c", result.Refuse(result.NoAuthority, "last head observation is too old")))
		close(refused)
	})
	must.Eq(t, result.OK, send("c").Code)
}
