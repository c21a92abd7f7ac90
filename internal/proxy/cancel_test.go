package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// Guards against an attempt sent for a caller who has left.
func TestCallerLeavesBetweenAttempts(t *testing.T) {
	ctx, leave := context.WithCancel(context.Background())
	var attempts atomic.Int32
	w := newWorld(t)
	entry := w.start(nil, nil)
	services := map[*testNode]string{}
	for range 2 {
		guard := w.start(nil, func(http.Handler) http.Handler {
			return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
				attempts.Add(1)
				h := &innerpb.AnswerHeader{CallId: callID(t, r), Code: uint32(result.Shed), UnusedAllowance: 2}
				rw.Header().Set(inner.HeaderAnswer, inner.EncodeAnswer(h))
			})
		})
		services[guard] = "letters"
	}
	w.connect(services)
	call := newLetter()
	d := node.NewDispatch(entry.node, rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(4))
	p := New(entry.node, entry.peers, entry.upstream)
	order := d.Next(time.Now())
	d.Observe(time.Now(), p.send(ctx, order))
	leave()
	answer := p.follow(ctx, call, d)
	must.EqOp(t, result.Cancelled, answer.Code)
	must.EqOp(t, 1, attempts.Load())
}

func newLetter() *node.Call {
	call := &node.Call{Method: "POST", Target: "/path", Body: []byte("a")}
	call.Ctx.CallID, call.Ctx.RequestID = "letter", "letter"
	call.Ctx.Workspace, call.Ctx.Service = workspace, "letters"
	call.Ctx.Deadline = time.Now().Add(giveUp)
	return call
}
