package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a trial of the reserve that is decided by chance, on too few answers.
func TestReserveWaitsForItsAnswers(t *testing.T) {
	h := &reserve{}
	begun := time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)
	h.restart(begun)
	cfg := DefaultConfig(32)
	decidedWith := 0
	for i := range 200 {
		now := begun.Add(time.Duration(i+1) * 100 * time.Millisecond)
		h.answers += 6
		answers, before := h.answers, h.phase
		h.adjust(now, true, 300*time.Millisecond, cfg)
		if before == reserveMeasured && h.phase == reserveWatched {
			decidedWith = answers
			break
		}
	}
	must.GreaterEq(t, reserveAnswers, decidedWith)
}

// An upstream answers ten calls a second: nothing can be told from that, and a trial
// must end without keeping its step.
func TestReserveGivesUpOnFewAnswers(t *testing.T) {
	h := &reserve{before: 1000, phase: reserveMeasured, tried: 2}
	begun := time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)
	h.restart(begun)
	for i := range 100 {
		h.answers++
		h.adjust(begun.Add(time.Duration(i+1)*100*time.Millisecond), true, 300*time.Millisecond, DefaultConfig(32))
		if h.phase == reserveWatched {
			break
		}
	}
	must.EqOp(t, reserveWatched, h.phase)
	must.EqOp(t, 0, h.inForce())
}
