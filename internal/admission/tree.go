package admission

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// treeAge is how long what a route's answers said is believed without a new one: ten
	// of the longest periods in which a guard moves its threshold, since one entry of
	// hundreds hears an answer a second.
	treeAge = 3 * time.Second
	// treeGain is the least weight of an answer: each of them met one guard's threshold,
	// and guards of one service differ. Seven answers at once move what is believed by
	// two thirds.
	treeGain = 0.15
	// treeMemory is how long an answer counts where few come.
	treeMemory = 300 * time.Millisecond
	// treeProbe is the share of requests let through against the threshold, so
	// that it shows when there is room again though every other one is refused.
	treeProbe = 0.02
	// treePause and treeSpread are when a refused caller may come back, in parts
	// of the latency objective: soon enough that an answer is still in time, and
	// spread so that the returns don't come as one wave.
	treePause  = 0.1
	treeSpread = 0.5
)

// TreeGate turns requests of one route away at their entry by what the services
// behind their upstream shed. The zero value is open. It is not safe for
// concurrent use.
//
// Load pattern: the deepest service of a chain is short of room and sheds
// calls from some rank on. All calls of a tree have the rank of its root, so a
// root of that rank will fail: after three services have worked for it, and
// beside other calls of its tree that took room and were in vain. Refused at its
// entry it costs nothing. The more entries there are, the fewer answers each one hears:
// an answer after a silence counts for more than one of many. Only what a route's own
// answers met counts against it: another route to the same service that calls nothing
// behind goes on.
type TreeGate struct {
	threshold float64
	at        time.Time
}

// ObserveThreshold takes the rank from which on services behind an upstream shed, as an
// answer of this route said; nothingShed where none do.
func (g *TreeGate) ObserveThreshold(now time.Time, shedsFrom uint32) {
	if g.at.IsZero() || now.Sub(g.at) > treeAge {
		g.threshold = nothingShed
	}
	gain := max(treeGain, 1-math.Exp(-now.Sub(g.at).Seconds()/treeMemory.Seconds()))
	g.at = now
	g.threshold += gain * (float64(shedsFrom) - g.threshold)
}

// Threshold returns the rank from which on requests are refused at now.
func (g *TreeGate) Threshold(now time.Time) uint32 {
	if g.at.IsZero() || now.Sub(g.at) > treeAge || g.threshold > nothingShed-1 {
		return nothingShed
	}
	return uint32(g.threshold)
}

// Admit returns a refusal when a request has to be rejected. u and v are
// random numbers in [0, 1).
func (g *TreeGate) Admit(now time.Time, level callctx.Level, hash uint32, objective time.Duration, u, v float64) *result.Refusal {
	threshold := g.Threshold(now)
	if Rank(level, hash) < threshold || u < treeProbe {
		return nil
	}
	pause := time.Duration(float64(objective) * (treePause + treeSpread*v))
	return result.Refuse(result.ShedEarly, "the services behind shed from rank %#08x on, as answers of this route said up to %v ago",
		threshold, now.Sub(g.at).Round(time.Millisecond)).After(max(pause, minRetryAfter))
}
