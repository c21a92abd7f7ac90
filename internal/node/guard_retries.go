package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/retry"
)

// countRetryLocked counts the call towards the retry budget and refuses a retry that exceeds
// it. Only first attempts by external callers raise the budget: the calls that upstreams make
// increase with the retries of their callers, and a budget that grew with them would bound
// nothing.
func (g *Guard) countRetryLocked(now time.Time, call *Call) *result.Refusal {
	if !call.IsRetry {
		if call.Ctx.Depth == 0 {
			g.retryBudget.RecordFirstAttempt(now)
		}
		return nil
	}
	if g.retryBudget.TryRetry(now) {
		return nil
	}
	return result.Refuse(result.RetryBudgetExhausted, "this guard's share of the service's retry budget is used up")
}

// SetRetryBudget changes the retry budget.
func (g *Guard) SetRetryBudget(cfg retry.BudgetConfig) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryBudget.Reconfigure(cfg)
}

// RetryBudgetLeft returns how many retries the budget allows at now.
func (g *Guard) RetryBudgetLeft(now time.Time) float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.retryBudget.RetriesLeft(now)
}
