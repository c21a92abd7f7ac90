package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// fakeRouter routes to some upstreams of one service.
type fakeRouter struct {
	table    *routing.Table
	throttle *retry.Throttle
	ids      int
}

func newFakeRouter(upstreams int, now time.Time) *fakeRouter {
	var endpoints []routing.Endpoint
	for i := range upstreams {
		name := fmt.Sprintf("n%d", i)
		endpoints = append(endpoints, routing.Endpoint{Node: name, Incarnation: 1, Zone: "z", Service: "s", Addr: "addr-" + name, Slots: 10, Joined: now.Add(-time.Hour)})
	}
	table := routing.NewTable(nil, routing.DefaultConfig(), routing.Self{Node: "entry", Zone: "z"}, endpoints, now)
	return &fakeRouter{table: table, throttle: retry.NewThrottle(retry.DefaultThrottleConfig())}
}

func (r *fakeRouter) Table() *routing.Table                                  { return r.table }
func (r *fakeRouter) Owner(*Call) string                                     { return "" }
func (r *fakeRouter) Throttle(string) *retry.Throttle                        { return r.throttle }
func (r *fakeRouter) RetryPolicy() retry.Policy                              { return retry.DefaultPolicy() }
func (r *fakeRouter) CrashRecords(time.Time, *Call) []quarantine.CrashRecord { return nil }
func (r *fakeRouter) ReportCrash(_ time.Time, _ *Call, _ *Response)          {}
func (r *fakeRouter) NodeAt(_, addr string) string                           { return addr[len("addr-"):] }
func (r *fakeRouter) NewID() string                                          { r.ids++; return fmt.Sprintf("id%d", r.ids) }

// sentAttempt is one attempt and the outcome of its response.
type sentAttempt struct {
	id, node string
	ran      result.Ran
	complete bool
}

// drawResponse draws the response of an attempt. The unused allowance that it reports may exceed
// the allowance that was lent to the attempt.
func drawResponse(t *rapid.T, action Action) *Response {
	code := rapid.SampledFrom([]result.Code{
		result.OK, result.UpstreamFailed, result.Shed, result.QueueExpired, result.UpstreamShed, result.Draining,
		result.Unreachable, result.LostAnswer, result.AnswerCut, result.AnswerMismatch, result.OwnedElsewhere,
		result.HandedBack, result.Quarantined, result.OutcomeUnknown, result.NoAuthority, result.DeadlinePassed, result.CancelledRunning,
	}).Draw(t, "code")
	if code == result.OK || code == result.UpstreamFailed && rapid.Bool().Draw(t, "whole") {
		a := completeResponseOf(action.Attempt, "x")
		a.Code = code
		return a
	}
	a := refusedWith(action.Attempt, code)
	a.Refusal.Owner = "addr-n1"
	a.Refusal.AllFull = rapid.IntRange(0, 4).Draw(t, "all full") == 0
	a.Refusal.RetryAfter = 50 * time.Millisecond
	a.UnusedAllowance = rapid.IntRange(0, 9).Draw(t, "unused")
	if code == result.LostAnswer && rapid.Bool().Draw(t, "crashed") {
		a.Crashed = 7
	}
	return a
}

// Guards against retries beyond the allowance, and against a refusal with `ran: no` although an
// attempt may have run, for any sequence of responses.
func TestDispatchProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		router := newFakeRouter(rapid.IntRange(1, 5).Draw(t, "upstreams"), epoch)
		allowance := rapid.IntRange(0, 6).Draw(t, "allowance")
		call := newCall("root", epoch.Add(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms"))*time.Millisecond))
		call.Ctx.Idempotent = rapid.Bool().Draw(t, "idempotent")
		account := retry.NewAccount(allowance)
		d := NewDispatch(router, rand.New(rand.NewPCG(1, uint64(allowance))), call, account)
		now, final, attempts := epoch, (*Response)(nil), []sentAttempt(nil)
		bound := 1 + allowance + retry.DefaultPolicy().MaxOwnerAsks + handback.MaxPerCall
		for final == nil {
			switch action := d.Next(now); action.Kind {
			case ActionDone:
				final = action.Response
			case ActionPause:
				now = now.Add(action.Pause)
			case ActionSend:
				if lent := action.Attempt.Allowance; lent > allowance {
					t.Fatalf("lent %d of %d", lent, allowance)
				}
				now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "took")) * time.Millisecond)
				a := drawResponse(t, action)
				attempts = append(attempts, sentAttempt{action.Attempt.Ctx.CallID, action.Target.Endpoint().Node, a.Code.Ran(), a.Complete()})
				d.Observe(now, a)
			}
			if len(attempts) > bound {
				t.Fatalf("%d attempts, bound %d", len(attempts), bound)
			}
		}
		checkDispatch(t, d, account, allowance, attempts, final)
	})
}

func checkDispatch(t *rapid.T, d *Dispatch, account *retry.Account, allowance int, attempts []sentAttempt, final *Response) {
	if d.retries+account.Balance() > allowance {
		t.Fatalf("%d retries and %d left, allowance %d", d.retries, account.Balance(), allowance)
	}
	ids := map[string]bool{}
	mayHaveRun := 0
	for _, a := range attempts {
		if ids[a.id] {
			t.Fatalf("call ID %s was used by 2 attempts", a.id)
		}
		ids[a.id] = true
		if a.ran != result.RanNo {
			mayHaveRun++
		}
	}
	if !final.Complete() && final.Code.Ran() == result.RanNo && mayHaveRun > 0 {
		t.Fatalf("%d attempts may have run, the caller gets %d %s", mayHaveRun, int(final.Code), final.Code)
	}
	if !d.call.Ctx.Idempotent && mayHaveRun > 1 {
		t.Fatalf("%d attempts of a call that is not idempotent may have run", mayHaveRun)
	}
	if final.Complete() && !attempts[len(attempts)-1].complete {
		t.Fatalf("the final response is complete, the response of the last attempt is not")
	}
}

// Guards against a refusal of the second attempt hiding that the first one may have run.
func TestRefusalAfterLostAnswerReturnsLostAnswer(t *testing.T) {
	call := newCall("root", epoch.Add(time.Minute))
	call.Ctx.Idempotent = true
	d := NewDispatch(newFakeRouter(3, epoch), rand.New(rand.NewPCG(1, 1)), call, retry.NewAccount(2))
	now := epoch
	for _, code := range []result.Code{result.LostAnswer, result.Shed, result.Shed} {
		action := d.Next(now)
		for action.Kind == ActionPause {
			now = now.Add(action.Pause)
			action = d.Next(now)
		}
		must.EqOp(t, ActionSend, action.Kind)
		a := refusedWith(action.Attempt, code)
		a.UnusedAllowance = action.Attempt.Allowance
		d.Observe(now, a)
	}
	action := d.Next(now)
	must.EqOp(t, ActionDone, action.Kind)
	must.EqOp(t, result.LostAnswer, action.Response.Code)
}
