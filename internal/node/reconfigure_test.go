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

// noOwners records the horizon that a node asks for.
type noOwners struct{ horizon time.Duration }

func (*noOwners) Owner(string, uint64) string { return "" }

func (o *noOwners) SetResendHorizon(d time.Duration) { o.horizon = d }

// published is the state after the template balanced and one instance of it.
func published(t *testing.T, values map[string]string) *policy.State {
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

// Guards against keys forgotten before the horizon that the template promises.
func TestKeysAreRememberedForTheHorizonOfTheTemplate(t *testing.T) {
	runner, owners := &fakeRunner{}, &noOwners{}
	n := New(Config{
		Clock: stillClock{}, Runner: runner, Authority: &fakeAuthority{}, Owners: owners, Guard: DefaultGuardConfig(),
		Routing: routing.DefaultConfig(), Ring: timeline.NewRing("n", 16, &timeline.Clock{}),
	})
	n.SetPolicy(epoch, published(t, map[string]string{"resend_horizon": "1h", "slow_start": "7s"}))
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
	n.Guard().Finish(epoch.Add(time.Second), "first", wholeAnswerOf(runner.runs[0], "issued"))
	late := epoch.Add(40 * time.Minute)
	n.Guard().Tick(late)
	again := send("again", late)
	must.SliceLen(t, 1, runner.runs)
	must.NotNil(t, again)
	must.NotEq(t, result.RanNo, again.Code.Ran())
	must.Eq(t, 7*time.Second, routingOverrides(n.Policy())["s"].SlowStart)
}

// Configuration changes every few seconds at the planned size. A throttle that
// began anew at each of them would never hold retries back in an outage.
func TestThrottleOutlivesChangesThatDoNotConcernIt(t *testing.T) {
	n := New(Config{
		Clock: stillClock{at: epoch}, Runner: &fakeRunner{}, Authority: &fakeAuthority{}, Guard: DefaultGuardConfig(),
		Routing: routing.DefaultConfig(), Throttle: retry.DefaultThrottleConfig(), Ring: timeline.NewRing("n", 16, &timeline.Clock{}),
	})
	state := published(t, nil)
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
