package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// A chain that answers nothing under pressure and everything after it looks
// better than it is: the late answers were served by upstreams that had healed.
func TestGoodputCountsAnswersGivenUnderPressure(t *testing.T) {
	w := &World{deployment: Chikugo()}
	ph := phases{pressure: time.Second, heal: 2 * time.Second, end: 3 * time.Second}
	answered := func(arrived, latency time.Duration) *Outcome {
		return &Outcome{Arrived: arrived, Latency: latency, Good: true}
	}
	outcomes := []*Outcome{
		answered(900*time.Millisecond, 200*time.Millisecond),
		answered(1500*time.Millisecond, 100*time.Millisecond),
		answered(1900*time.Millisecond, time.Second),
		{Arrived: 1600 * time.Millisecond},
	}
	r := Result{Capacity: 4}
	w.measureGoodput(&r, outcomes, ph)
	must.Eq(t, 0.5, r.Goodput)
	must.Eq(t, 2.0/3, r.CriticalServed)
}

// A caller whose last sending was refused as not run, but an earlier one lost,
// doesn't know whether its letter was issued.
func TestKeyedOutcomes(t *testing.T) {
	letter := Request{Service: "letters", Method: post}
	sent := func(code result.Code) Sending { return Sending{Code: int(code), Ran: code.Ran()} }
	for _, c := range []struct {
		sends            []Sending
		refused, unknown int
	}{
		{[]Sending{sent(result.NoAuthority)}, 1, 0},
		{[]Sending{sent(result.LostAnswer), sent(result.NoAuthority)}, 0, 1},
		{[]Sending{{}, sent(result.Shed)}, 0, 1},
		{[]Sending{sent(result.NoAuthority), sent(result.Shed)}, 0, 0},
		{[]Sending{sent(result.UpstreamFailed)}, 0, 0},
	} {
		var r Result
		measureKinds(&r, []*Outcome{{Kind: letter, Sends: c.sends}}, phases{})
		must.Eq(t, c.refused, r.RefusedNonIdempotent)
		must.Eq(t, c.unknown, r.UnknownOutcomes)
	}
}
