package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a trial of the reserve that is decided by chance because it has too few
// responses.
func TestReserveTrialNeedsEnoughResponses(t *testing.T) {
	r := &reserve{}
	start := time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)
	r.restart(start)
	cfg := DefaultConfig(32)
	responsesAtDecision := 0
	for i := range 200 {
		now := start.Add(time.Duration(i+1) * 100 * time.Millisecond)
		r.responses += 6
		responses, before := r.responses, r.phase
		r.adjust(now, true, 300*time.Millisecond, cfg)
		if before == reserveMeasuring && r.phase == reserveBaseline {
			responsesAtDecision = responses
			break
		}
	}
	must.GreaterEq(t, reserveMinResponses, responsesAtDecision)
}

// Guards against a trial of the reserve that never ends, or keeps its step, because the upstream
// returns only 10 responses per second, too few for a decision.
func TestReserveTrialEndsOnFewResponses(t *testing.T) {
	r := &reserve{rateBefore: 1000, phase: reserveMeasuring, trialSlots: 2}
	start := time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)
	r.restart(start)
	for i := range 100 {
		r.responses++
		r.adjust(start.Add(time.Duration(i+1)*100*time.Millisecond), true, 300*time.Millisecond, DefaultConfig(32))
		if r.phase == reserveBaseline {
			break
		}
	}
	must.EqOp(t, reserveBaseline, r.phase)
	must.EqOp(t, 0, r.effective())
}
