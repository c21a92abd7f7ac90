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
	if !call.IsRetry {
		if call.Ctx.Depth == 0 {
			g.repeats.RecordFirstAttempt(now)
		}
		return nil
	}
	if g.repeats.TryRetry(now) {
		return nil
	}
	return result.Refuse(result.RetryBudgetExhausted, "this guard's part of the repeats that the service may get is used up")
}

// SetRetryBudget puts other bounds of repeats in force.
func (g *Guard) SetRetryBudget(cfg retry.BudgetConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeats.Reconfigure(cfg)
}

// RetryBudgetLeft returns how many repeats the budget allows at now.
func (g *Guard) RetryBudgetLeft(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.repeats.RetriesLeft(now)
}
