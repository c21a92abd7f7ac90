package quota

import "time"

// State is a workspace's quota as one node sees it.
type State struct {
	Workspace string  `json:"workspace"`
	Rate      float64 `json:"rate"`
	Burst     float64 `json:"burst"`
	// PartRate and PartDepth are of this node's bucket; 0 where it holds none.
	PartRate  float64 `json:"part_rate"`
	PartDepth float64 `json:"part_depth"`
	Tokens    float64 `json:"tokens"`
	// Spent and Refused count the requests that came here, since the start.
	Spent   int64 `json:"spent"`
	Refused int64 `json:"refused"`
}

// States returns all quotas, in no order.
func (l *Ledger) States(now time.Time) []State {
	accounts := *l.accounts.Load()
	out := make([]State, 0, len(accounts))
	for name, a := range accounts {
		a.mu.Lock()
		l.refreshLocked(now, a, name)
		a.bucket.fill(now)
		out = append(out, State{
			Workspace: name, Rate: a.limit.Rate, Burst: a.limit.Burst,
			PartRate: a.bucket.rate, PartDepth: a.bucket.depth, Tokens: a.bucket.tokens,
			Spent: a.spent, Refused: a.refused,
		})
		a.mu.Unlock()
	}
	return out
}
