package node

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// epoch is the start time of every test.
var epoch = time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)

// fakeRunner records the claims and runs that the guard starts. The test completes them.
type fakeRunner struct {
	claims, runs []*Call
	onRun        func(*Call)
}

func (r *fakeRunner) Claim(call *Call) { r.claims = append(r.claims, call) }

func (r *fakeRunner) Run(call *Call, _ time.Time) {
	r.runs = append(r.runs, call)
	if r.onRun != nil {
		r.onRun(call)
	}
}

// fakeAuthority permits every start, unless refuse is set and returns a refusal.
type fakeAuthority struct {
	claims bool
	refuse func() *result.Refusal
}

func (a *fakeAuthority) NeedsClaim(*Call) bool { return a.claims }

func (a *fakeAuthority) MayStart(time.Time, *Call) (time.Time, *result.Refusal) {
	if a.refuse == nil {
		return time.Time{}, nil
	}
	return time.Time{}, a.refuse()
}

// newGuard returns a guard whose upstream has the given slots and a short queue.
func newGuard(slots int, runner Runner, authority Authority) *Guard {
	cfg := DefaultGuardConfig()
	cfg.KeepDoneBytes = 64
	g := NewGuard(cfg, 1, runner, authority, epoch)
	g.UpstreamUp(epoch, limits(slots))
	return g
}

func limits(slots int) admission.Config {
	cfg := admission.DefaultConfig(slots)
	cfg.QueueLimit = 4
	cfg.Adapt = false
	return cfg
}

func newCall(id string, deadline time.Time) *Call {
	return &Call{
		Ctx: callctx.Context{
			RequestID: "r-" + id, CallID: id, Workspace: "w", Service: "s",
			Deadline: deadline, RootAdmitted: epoch,
		},
		Method: "POST", Target: "/" + id,
	}
}

func completeResponseOf(call *Call, body string) *Response {
	return &Response{CallID: call.Ctx.CallID, Code: result.OK, Status: 200, Body: []byte(body)}
}

func refusedWith(call *Call, code result.Code) *Response {
	return Refused(call.Ctx.CallID, result.Refuse(code, "%s", fmt.Sprintf("test: %s", code)))
}
