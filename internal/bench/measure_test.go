package bench

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Guards against goodput that counts responses given after the end of pressure, which
// recovered upstreams served. A system that responds to nothing during pressure and to
// everything afterwards would look good.
func TestGoodputCountsResponsesByCompletionTime(t *testing.T) {
	w := &World{deployment: Chikugo()}
	ph := phases{pressure: time.Second, recovery: 2 * time.Second, end: 3 * time.Second}
	outcome := func(arrived, latency time.Duration) *Outcome {
		return &Outcome{Arrived: arrived, Latency: latency, Good: true}
	}
	outcomes := []*Outcome{
		outcome(900*time.Millisecond, 200*time.Millisecond),
		outcome(1500*time.Millisecond, 100*time.Millisecond),
		outcome(1900*time.Millisecond, time.Second),
		{Arrived: 1600 * time.Millisecond},
	}
	r := Result{Capacity: 4}
	w.measureGoodput(&r, outcomes, ph)
	must.Eq(t, 0.5, r.Goodput)
	must.Eq(t, 2.0/3, r.CriticalServed)
}

// Guards against a request that counts as refused although its outcome is unknown: the
// last attempt was refused without running, but an earlier one got no response.
func TestKeyedOutcomes(t *testing.T) {
	letter := Request{Service: "letters", Method: post}
	attempt := func(code result.Code) Attempt { return Attempt{Code: int(code), Ran: code.Ran()} }
	for _, c := range []struct {
		attempts         []Attempt
		refused, unknown int
	}{
		{[]Attempt{attempt(result.NoAuthority)}, 1, 0},
		{[]Attempt{attempt(result.LostAnswer), attempt(result.NoAuthority)}, 0, 1},
		{[]Attempt{{}, attempt(result.Shed)}, 0, 1},
		{[]Attempt{attempt(result.NoAuthority), attempt(result.Shed)}, 0, 0},
		{[]Attempt{attempt(result.UpstreamFailed)}, 0, 0},
	} {
		var r Result
		measureIdempotency(&r, []*Outcome{{Kind: letter, Attempts: c.attempts}}, phases{})
		must.Eq(t, c.refused, r.RefusedNonIdempotent)
		must.Eq(t, c.unknown, r.UnknownOutcomes)
	}
}
