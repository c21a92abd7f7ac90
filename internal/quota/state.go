package quota

import "time"

// State is the quota of a workspace and its use on one node.
type State struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	// PartRate and PartDepth describe this node's bucket; both are 0 if it holds no part.
	PartRate  float64 `json:"part_rate"`
	PartDepth float64 `json:"part_depth"`
	Tokens    float64 `json:"tokens"`
	// Spent and Refused count the requests that arrived at this node since its process started.
	Spent   int64 `json:"spent"`
	Refused int64 `json:"refused"`
}

// States returns the state of all quotas, in no particular order.
func (l *Ledger) States(now time.Time) []State {
	accounts := *l.accounts.Load()
	out := make([]State, 0, len(accounts))
	for name, a := range accounts {
		a.mu.Lock()
		l.refreshLocked(now, a, name)
		a.bucket.refill(now)
		out = append(out, State{
			Workspace: name, Rate: a.limit.Rate, Burst: a.limit.Burst,
			PartRate: a.bucket.rate, PartDepth: a.bucket.depth, Tokens: a.bucket.tokens,
			Spent: a.spent, Refused: a.refused,
		})
		a.mu.Unlock()
	}
	return out
}
