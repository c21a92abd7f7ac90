package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// countLocked counts the call towards the budget of repeats. Only firsts that
// callers sent count for it: the calls that upstreams make grow with the repeats
// of their callers, and a budget that grew with them would bound nothing.
func (g *Guard) countLocked(now time.Time, call *Call) *result.Refusal {
	if !call.Repeat {
		if call.Ctx.Depth == 0 {
			g.repeats.First(now)
		}
		return nil
	}
	if g.repeats.Repeat(now) {
		return nil
	}
	return result.Refuse(result.RepeatsSpent, "this guard's part of the repeats that the service may get is used up")
}

// SetRepeats puts other bounds of repeats in force.
func (g *Guard) SetRepeats(cfg retry.BudgetConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.Reconfigure(cfg)
}

// RepeatsLeft returns how many repeats the budget allows at now.
func (g *Guard) RepeatsLeft(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.Left(now)
}
