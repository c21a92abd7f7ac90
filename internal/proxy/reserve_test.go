package proxy

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// roomService is an entry node, and guards of a service that answer requests for room with handlers.
func roomService(t *testing.T, guards ...http.HandlerFunc) (*Proxy, *treeGate) {
	c := newCluster(t)
	entry := c.startNode(nil, nil)
	var endpoints []routing.Endpoint
	for i, handler := range guards {
		srv := httptest.NewServer(handler)
		t.Cleanup(srv.Close)
		endpoints = append(endpoints, routing.Endpoint{Node: fmt.Sprintf("g%d", i), Zone: "z", Service: "tracker", Addr: srv.Listener.Addr().String(), Slots: 4, Incarnation: 1})
	}
	entry.node.SetEndpoints(time.Now(), endpoints)
	p := New(entry.node, entry.peers, entry.upstream)
	p.SetReserve(true, 1)
	gates := treeGates{metrics: metrics.New(1)}
	gate := gates.forRoute("h", "/letters/")
	named := &node.Response{Code: result.OK, ShedThreshold: room.TightThreshold, SheddingService: "tracker"}
	gate.observe(time.Now(), rootCall(callctx.LevelNormal), named)
	return p, gate
}

func respond(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(body)) }
}

func askedCall() *node.Call {
	call := rootCall(callctx.LevelNormal)
	call.Ctx.Deadline = time.Now().Add(time.Minute)
	return call
}

// Guards against trees that are begun although the scarce service has no room, and against refusals that
// don't say so.
func TestTreeIsRefusedWithoutRoom(t *testing.T) {
	p, gate := roomService(t, respond(`{"reason":"no_room","retry_ms":250,"threshold":5,"tight":true}`))
	refusal, decided := gate.reserve(context.Background(), p, askedCall(), time.Second)
	must.True(t, decided)
	must.EqOp(t, result.ShedEarly, refusal.Code)
	must.EqOp(t, 250*time.Millisecond, refusal.RetryAfter)
	must.StrContains(t, refusal.Detail, "service tracker has no room")
	must.StrContains(t, refusal.Detail, "no_room")
}

// Guards against granted trees whose calls don't carry the grant.
func TestGrantedTreeCarriesItsGrant(t *testing.T) {
	p, gate := roomService(t, respond(`{"granted":true,"threshold":5,"tight":true}`))
	call := askedCall()
	refusal, decided := gate.reserve(context.Background(), p, call, time.Second)
	must.True(t, decided)
	must.Nil(t, refusal)
	must.EqOp(t, node.RoomGrant{Kind: gate.kind, Services: "tracker"}, call.Room)
	must.EqOp(t, call.Room, decodeRoom(encodeRoom(call.Room)))
}

// Guards against trees that are begun because one guard grants room while most of them say that trees
// fail, and against refusing requests that their callers may repeat.
func TestGrantOfOneGuardIsNotEnoughWhileTreesFail(t *testing.T) {
	failing := respond(`{"reason":"trees_fail","retry_ms":250,"threshold":4294967295,"tight":true}`)
	granting := respond(`{"granted":true,"threshold":4294967295,"tight":true}`)
	p, gate := roomService(t, failing, failing, failing, failing, granting)
	begun := 0
	for range 200 {
		if refusal, _ := gate.reserve(context.Background(), p, askedCall(), time.Second); refusal == nil {
			begun++
		}
	}
	must.Less(t, 20, begun)
	p, gate = roomService(t, granting)
	repeatable := askedCall()
	repeatable.Ctx.Idempotent = true
	refusal, _ := gate.reserve(context.Background(), p, repeatable, time.Second)
	must.Nil(t, refusal)
}

// Guards against requests that stall, or are refused, because guards are dead, of an older version or
// answer nonsense: the threshold that responses bring decides then.
func TestThresholdDecidesIfNoGuardAnswers(t *testing.T) {
	silent := func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }
	for name, handler := range map[string]http.HandlerFunc{"older version": http.NotFound, "nonsense": respond(`{"retry_ms":-1}`), "silent": silent} {
		p, gate := roomService(t, handler, handler, handler)
		started, unanswered := time.Now(), p.node.Metrics().Count(metrics.RoomUnanswered)
		_, decided := gate.reserve(context.Background(), p, askedCall(), time.Second)
		must.False(t, decided, must.Sprint(name))
		must.Less(t, time.Second, time.Since(started), must.Sprint(name))
		must.EqOp(t, unanswered+1, p.node.Metrics().Count(metrics.RoomUnanswered), must.Sprint(name))
	}
}

// Guards against a tree that is begun, or a further guard that is asked, for a caller that left while a guard
// was asked for room.
func TestNoTreeIsBegunForACallerThatLeftDuringTheWaitForRoom(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	p, gate := roomService(t, func(_ http.ResponseWriter, r *http.Request) { leave(); <-r.Context().Done() })
	call, asked := askedCall(), p.node.Metrics().Count(metrics.RoomAsked)
	refusal, decided := gate.reserve(ctx, p, call, time.Second)
	must.Nil(t, refusal)
	must.False(t, decided)
	must.EqOp(t, asked+1, p.node.Metrics().Count(metrics.RoomAsked))
	must.EqOp(t, result.Cancelled, p.run(ctx, call, retry.NewAccount(4)).Code)
}

// Guards against a request for each tree to a service that is no longer scarce.
func TestServiceWithRoomIsNotAskedAgain(t *testing.T) {
	p, gate := roomService(t, respond(`{"granted":true,"threshold":4294967295}`))
	_, decided := gate.reserve(context.Background(), p, askedCall(), time.Second)
	must.True(t, decided)
	_, decided = gate.reserve(context.Background(), p, askedCall(), time.Second)
	must.False(t, decided)
}

// Guards against a guard that promises room asked of another node, or answers an invalid request.
func TestServeRoomChecksItsRequests(t *testing.T) {
	c := newCluster(t)
	n := c.startNode(nil, nil)
	p := New(n.node, n.peers, n.upstream)
	ask := func(query string) int {
		w := httptest.NewRecorder()
		p.ServeRoom(w, httptest.NewRequest(http.MethodPost, RoomPath+"?"+query, nil))
		return w.Code
	}
	valid := (&room.Request{Kind: 1, Rank: 2, Objective: time.Second}).Encode()
	must.EqOp(t, http.StatusMisdirectedRequest, ask("of=other&"+valid))
	must.EqOp(t, http.StatusBadRequest, ask("of=n0&kind=NaN"))
	must.EqOp(t, http.StatusServiceUnavailable, ask("of=n0&"+valid))
	p.SetReserve(true, 1)
	c.startUpstream(n, "tracker", 4, func(http.ResponseWriter, *http.Request) {})
	must.EqOp(t, http.StatusOK, ask("of=n0&"+valid))
}

// Guards against a crash, or a grant without a kind, from the header of another node.
func FuzzDecodeRoom(f *testing.F) {
	for _, seed := range []string{"1 tracker", "0 tracker", "1 a b c", "1 a b c d e", "1 a  b", "4294967296 tracker", "1", "", "1 \x00", "-1 tracker", "NaN tracker"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		grant := decodeRoom(text)
		must.EqOp(t, grant.Kind == 0, grant.Services == "")
	})
}
