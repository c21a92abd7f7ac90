package retry

import (
	"errors"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func drawAttempt(t *rapid.T) Attempt {
	return Attempt{
		Code:            rapid.SampledFrom(append(result.Codes(), 9999)).Draw(t, "code"),
		AllFull:         rapid.Bool().Draw(t, "all full"),
		Idempotent:      rapid.Bool().Draw(t, "idempotent"),
		Remaining:       time.Duration(rapid.Int64Range(-1e9, 1e10).Draw(t, "remaining")),
		Reattached:      rapid.Bool().Draw(t, "reattached"),
		MayHaveRun:      rapid.Bool().Draw(t, "may have run"),
		Owner:           rapid.SampledFrom([]string{"", "10.0.0.1:7"}).Draw(t, "owner"),
		SameIncarnation: rapid.Bool().Draw(t, "same incarnation"),
		Number:          rapid.IntRange(0, 100).Draw(t, "number"),
		OwnerAsked:      rapid.IntRange(0, 5).Draw(t, "asked"),
		Rand:            rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed"))),
	}
}

// Guards against sending a call that may have run to another upstream, and against reporting it to
// the caller as not run.
func TestDecide_Safety(t *testing.T) {
	p := DefaultPolicy()
	rapid.Check(t, func(t *rapid.T) {
		a := drawAttempt(t)
		action, wait := Decide(a, p)
		provenNotRun := a.Code.Ran() == result.RanNo && !a.Reattached && !a.MayHaveRun
		if action == RetryOtherNode {
			must.True(t, a.Idempotent || provenNotRun)
			must.False(t, a.AllFull && a.Code.Ran() == result.RanNo)
		}
		if action == Reattach {
			must.True(t, a.SameIncarnation && !a.Reattached)
			must.Eq(t, result.RanUnknown, a.Code.Ran())
		}
		if action == AskOwner {
			must.Eq(t, result.OwnedElsewhere, a.Code)
			must.True(t, a.Owner != "" && a.OwnerAsked < p.MaxOwnerAsks)
		}
		if action != GiveUp {
			must.True(t, wait >= 0 && wait <= p.MaxBackoff && wait < a.Remaining)
		}
		if FinalCode(a).Ran() == result.RanNo {
			must.True(t, provenNotRun)
		}
	})
}

// Guards against a code that is assigned to the wrong class, and against a retry when too little
// time remains.
func TestDecide_Cases(t *testing.T) {
	tests := []struct {
		name string
		a    Attempt
		want Action
	}{
		{"answered", Attempt{Code: result.OK, Idempotent: true}, GiveUp},
		{"shed", Attempt{Code: result.Shed}, RetryOtherNode},
		{"shed everywhere", Attempt{Code: result.Shed, AllFull: true}, GiveUp},
		{"refused early", Attempt{Code: result.ShedEarly}, GiveUp},
		{"draining", Attempt{Code: result.Draining}, RetryOtherNode},
		{"no connection", Attempt{Code: result.Unreachable}, RetryOtherNode},
		{"deadline too near", Attempt{Code: result.DeadlineTooNear}, GiveUp},
		{"quarantined", Attempt{Code: result.Quarantined, Idempotent: true}, GiveUp},
		{"owner known", Attempt{Code: result.OwnedElsewhere, Owner: "a"}, AskOwner},
		{"owner unknown", Attempt{Code: result.OwnedElsewhere}, GiveUp},
		// The node of an upstream that has died refuses the service's calls until the upstream is
		// back. Without a retry on another node a third of the service's calls fail for that
		// second, although the other upstreams have capacity.
		{"upstream gone", Attempt{Code: result.NoUpstream}, RetryOtherNode},
		{"owners disagree", Attempt{Code: result.OwnedElsewhere, Owner: "a", OwnerAsked: DefaultPolicy().MaxOwnerAsks}, GiveUp},
		{"unresponsive connection", Attempt{Code: result.LostAnswer, SameIncarnation: true}, Reattach},
		{"unresponsive after re-attachment", Attempt{Code: result.LostAnswer, SameIncarnation: true, Reattached: true}, GiveUp},
		{"guard died, idempotent", Attempt{Code: result.LostAnswer, Idempotent: true}, RetryOtherNode},
		{"guard died", Attempt{Code: result.LostAnswer}, GiveUp},
		{"truncated response", Attempt{Code: result.AnswerCut, SameIncarnation: true}, Reattach},
		{"failed, idempotent", Attempt{Code: result.UpstreamFailed, Idempotent: true}, RetryOtherNode},
		{"failed twice", Attempt{Code: result.UpstreamFailed, Idempotent: true, Number: 1}, GiveUp},
		{"refused after re-attachment", Attempt{Code: result.Shed, Reattached: true}, GiveUp},
	}
	for _, tc := range tests {
		t.Run(tc.name, func(t *testing.T) {
			tc.a.Remaining = time.Second
			got, _ := Decide(tc.a, DefaultPolicy())
			must.Eq(t, tc.want, got)
			tc.a.Remaining = DefaultPolicy().MinRemaining
			got, _ = Decide(tc.a, DefaultPolicy())
			must.Eq(t, GiveUp, got)
		})
	}
}

// Guards against retries that add load because their waits do not grow, and against a wait before
// the first retry after an attempt at an unavailable node.
func TestDecide_Backoff(t *testing.T) {
	p := DefaultPolicy()
	a := Attempt{Code: result.Shed, Remaining: time.Minute}
	var waits []time.Duration
	for a.Number = range 9 {
		_, wait := Decide(a, p)
		waits = append(waits, wait/time.Millisecond)
	}
	must.Eq(t, []time.Duration{10, 20, 40, 80, 160, 320, 640, 1000, 1000}, waits)
	_, wait := Decide(Attempt{Code: result.Draining, Remaining: time.Minute}, p)
	must.Eq(t, 0, wait)
}

// Guards against retries that delay the recovery of a service. When every upstream fails, an
// allowance for each request lets retries multiply the load.
func TestThrottle_BoundsRetriesOfAllRequests(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := ThrottleConfig{
			MaxTokens:  rapid.Float64Range(1, 50).Draw(t, "tokens"),
			TokenRatio: rapid.Float64Range(0.001, 1).Draw(t, "ratio"),
		}
		must.NoError(t, cfg.Validate())
		th := NewThrottle(cfg)
		allowed, successes := 0, 0
		for _, ok := range rapid.SliceOfN(rapid.Bool(), 0, 400).Draw(t, "outcomes") {
			if ok {
				successes++
				th.Success()
				continue
			}
			th.Failure()
			if th.Allow() {
				allowed++
			}
		}
		must.True(t, float64(allowed) <= cfg.MaxTokens/2+cfg.TokenRatio*float64(successes))
	})
}

// Guards against a throttle that stays closed after the service has recovered.
func TestThrottle_ClosesAndReopens(t *testing.T) {
	th := NewThrottle(ThrottleConfig{MaxTokens: 10, TokenRatio: 0.5})
	for range 4 {
		th.Failure()
		must.True(t, th.Allow())
	}
	th.Failure()
	must.False(t, th.Allow())
	th.Success()
	must.True(t, th.Allow())
	must.Eq(t, 5.5, th.Tokens())
}

// Guards against a configuration error that does not name the field, its value and the bound.
func TestConfigs_Validate(t *testing.T) {
	must.NoError(t, DefaultThrottleConfig().Validate())
	must.NoError(t, DefaultPolicy().Validate())
	must.EqError(t, ThrottleConfig{MaxTokens: 10, TokenRatio: 2}.Validate(),
		"retry config: TokenRatio is 2, must be in [0.001, 1]")
	var field *FieldError
	p := DefaultPolicy()
	p.MaxBackoff = p.BaseBackoff - 1
	must.True(t, errors.As(p.Validate(), &field))
	must.Eq(t, "MaxBackoff", field.Field)
}
