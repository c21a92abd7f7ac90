package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// horizonRecorder owns no keys and records the resend horizon that the node sets.
type horizonRecorder struct{ horizon time.Duration }

func (*horizonRecorder) Owner(string, uint64) string { return "" }

func (o *horizonRecorder) SetResendHorizon(d time.Duration) { o.horizon = d }

// publishedState returns the configuration with the template balanced and one instance of it.
func publishedState(t *testing.T, values map[string]string) *policy.State {
	s := policy.NewState()
	for _, tpl := range policy.Library() {
		if tpl.Name == "balanced" {
			s = publish(t, s, policy.Publication{ID: "t", Author: "op", Template: &tpl})
		}
	}
	return publish(t, s, policy.Publication{ID: "i", Author: "op", Instance: &policy.Instance{
		Workspace: "w", Service: "s", Template: "balanced", Revision: 1, Values: values,
	}})
}

func publish(t *testing.T, s *policy.State, p policy.Publication) *policy.State {
	rec, err := p.Record(epoch)
	must.NoError(t, err)
	return s.Apply(logstore.Entry{Offset: int64(s.Version()), Record: rec})
}

// Guards against keys that expire before the resend horizon of the template has passed.
func TestKeysAreRetainedForResendHorizonOfTemplate(t *testing.T) {
	runner, owners := &fakeRunner{}, &horizonRecorder{}
	n := New(Config{
		Clock: frozenClock{}, Runner: runner, Authority: &fakeAuthority{}, Owners: owners, Guard: DefaultGuardConfig(),
		Routing: routing.DefaultConfig(), Ring: timeline.NewRing("n", 16, &timeline.Clock{}),
	})
	n.SetPolicy(epoch, publishedState(t, map[string]string{"resend_horizon": "1h", "slow_start": "7s"}))
	n.UpstreamAnnounced(epoch, Announcement{Service: "s", Address: "127.0.0.1:1", Slots: 2})
	must.Eq(t, time.Hour, owners.horizon)

	send := func(id string, at time.Time) *Response {
		call := newCall(id, at.Add(time.Second))
		call.Ctx.Key = "letter-7"
		_, a := n.Guard().Arrive(at, call, func(*Response) {})
		return a
	}
	must.Nil(t, send("first", epoch))
	must.SliceLen(t, 1, runner.runs)
	n.Guard().Finish(epoch.Add(time.Second), "first", completeResponseOf(runner.runs[0], "issued"))
	late := epoch.Add(40 * time.Minute)
	n.Guard().Tick(late)
	resendResponse := send("again", late)
	must.SliceLen(t, 1, runner.runs)
	must.NotNil(t, resendResponse)
	must.NotEq(t, result.RanNo, resendResponse.Code.Ran())
	must.Eq(t, 7*time.Second, routingOverrides(n.Policy())["s"].SlowStart)
}

// Guards against a configuration change resetting the throttles of services that it does not
// affect. At the planned size the configuration changes every few seconds, and a throttle reset
// at each change would never limit retries in an outage.
func TestUnrelatedChangeKeepsThrottleState(t *testing.T) {
	n := New(Config{
		Clock: frozenClock{at: epoch}, Runner: &fakeRunner{}, Authority: &fakeAuthority{}, Guard: DefaultGuardConfig(),
		Routing: routing.DefaultConfig(), Throttle: retry.DefaultThrottleConfig(), Ring: timeline.NewRing("n", 16, &timeline.Clock{}),
	})
	state := publishedState(t, nil)
	n.SetPolicy(epoch, state)
	before := n.Throttle("s")
	for before.Allow() {
		before.Failure()
	}
	other := publish(t, state, policy.Publication{ID: "o", Author: "op", Instance: &policy.Instance{
		Workspace: "w", Service: "other", Template: "balanced", Revision: 1,
	}})
	n.SetPolicy(epoch, other)
	must.False(t, n.Throttle("s").Allow())
}
