package retry

import (
	"cmp"
	"math/rand/v2"
	"testing"

	"github.com/shoenig/test/must"
)

// splitRule returns the part of an allowance that a child call receives.
type splitRule func(allowance int) int

var splitRules = []struct {
	name string
	rule splitRule
}{
	{"half up", func(allowance int) int { return (allowance + 1) / 2 }},
	{"half down", func(allowance int) int { return allowance / 2 }},
	{"half, keep 1", func(allowance int) int { return max(0, min((allowance+1)/2, allowance-1)) }},
	{"third up", func(allowance int) int { return (allowance + 2) / 3 }},
	{"all", func(allowance int) int { return allowance }},
	{"all but one", func(allowance int) int { return max(0, allowance-1) }},
	{"keep 1 if 2", func(allowance int) int { return min(allowance, max(1, allowance-1)) }},
	{"two thirds", func(allowance int) int { return (2*allowance + 2) / 3 }},
	{"one", func(allowance int) int { return min(allowance, 1) }},
	{"none", func(int) int { return 0 }},
}

// splitModel runs call trees sequentially. Each call above the leaves makes fanout child calls one
// after the other, and fails with the first child that fails.
type splitModel struct {
	rule    splitRule
	rng     *rand.Rand
	fanout  int
	depth   int
	refused float64 // probability that an attempt is refused without running
	lost    float64 // probability that a response is lost
	// leavesOnly limits refused and lost to the calls at the bottom of the tree.
	leavesOnly bool
	// nonIdempotent allows a retry only after an attempt that was itself refused.
	nonIdempotent bool
	spent         int
	attempts      int
}

// call runs one call and returns the unspent part of its allowance. failedChild is the position of
// the child that failed, 0 if none did.
func (m *splitModel) call(depth, allowance int) (unspent, failedChild int) {
	if depth == m.depth {
		return allowance, 0
	}
	for child := 1; child <= m.fanout; child++ {
		for {
			var outcome attemptOutcome
			allowance, outcome = m.attempt(depth, allowance)
			if outcome == succeeded {
				break
			}
			if allowance == 0 || m.nonIdempotent && outcome == failed {
				return allowance, child
			}
			allowance--
			m.spent++
		}
	}
	return allowance, 0
}

type attemptOutcome int

const (
	succeeded attemptOutcome = iota
	refused
	failed
)

func (m *splitModel) attempt(depth, allowance int) (unspent int, outcome attemptOutcome) {
	m.attempts++
	faultsApply := !m.leavesOnly || depth+1 == m.depth
	if faultsApply && m.rng.Float64() < m.refused {
		return allowance, refused
	}
	share := m.rule(allowance)
	unused, failedChild := m.call(depth+1, share)
	if faultsApply && m.rng.Float64() < m.lost {
		return allowance - share, failed
	}
	if failedChild != 0 {
		return allowance - share + unused, failed
	}
	return allowance - share + unused, succeeded
}

// measure returns the percentage of root requests that succeed and the attempts per root request.
// ok is false if a tree spent more than its allowance.
func (m *splitModel) measure(allowance int) (percent, attempts float64, ok bool) {
	const roots = 5000
	successes := 0
	ok = true
	for range roots {
		before := m.spent
		if _, failedChild := m.call(0, allowance); failedChild == 0 {
			successes++
		}
		ok = ok && m.spent-before <= allowance
	}
	return 100 * float64(successes) / roots, float64(m.attempts) / roots, ok
}

// Guards against a split rule under which an early call of a request uses up the whole allowance.
// The test compares the rule of Account.Split, "half up", with the other rules.
func TestSplitRule_HalfRoundedUp(t *testing.T) {
	settings := []splitModel{
		{fanout: 1, depth: 10, refused: 0.05, lost: 0.01},
		{fanout: 1, depth: 10, refused: 0.01, lost: 0.05},
		{fanout: 1, depth: 10, refused: 0.5, lost: 0, leavesOnly: true},
		{fanout: 1, depth: 10, refused: 0.3, lost: 0.1, leavesOnly: true},
		{fanout: 4, depth: 2, refused: 0.05, lost: 0.01},
		{fanout: 4, depth: 2, refused: 0.01, lost: 0.05},
		{fanout: 3, depth: 3, refused: 0.02, lost: 0.02},
		{fanout: 3, depth: 3, refused: 0.08, lost: 0.005, leavesOnly: true},
		{fanout: 10, depth: 1, refused: 0.05, lost: 0.05},
		{fanout: 1, depth: 10, refused: 0.05, lost: 0.001, nonIdempotent: true},
		{fanout: 1, depth: 10, refused: 0.5, lost: 0.001, leavesOnly: true, nonIdempotent: true},
		{fanout: 3, depth: 3, refused: 0.05, lost: 0.001, nonIdempotent: true},
		{fanout: 3, depth: 3, refused: 0.05, lost: 0.001},
	}
	// maxShortfall is the largest difference, in percentage points, between the success of the best
	// rule and that of each rule.
	maxShortfall := map[string]float64{}
	// minPercentWithLoss is the lowest success percentage where 5% of responses are lost.
	minPercentWithLoss := map[string]float64{}
	for _, allowance := range []int{4, 8} {
		for _, m := range settings {
			t.Logf("allowance %d fan-out %d depth %d refused %.3f lost %.3f leaves only %t not idempotent %t",
				allowance, m.fanout, m.depth, m.refused, m.lost, m.leavesOnly, m.nonIdempotent)
			percentByRule := map[string]float64{}
			best := 0.0
			for _, r := range splitRules {
				run := m
				run.rule, run.rng = r.rule, rand.New(rand.NewPCG(7, 7))
				percent, attempts, ok := run.measure(allowance)
				t.Logf("  %-12s succeeded %6.2f%%  attempts %.2f", r.name, percent, attempts)
				must.True(t, ok)
				percentByRule[r.name] = percent
				best = max(best, percent)
			}
			for name, percent := range percentByRule {
				maxShortfall[name] = max(maxShortfall[name], best-percent)
				if m.lost == 0.05 {
					minPercentWithLoss[name] = min(percent, cmp.Or(minPercentWithLoss[name], percent))
				}
			}
		}
	}
	for _, r := range splitRules {
		t.Logf("%-12s largest shortfall %6.2f points, lowest success with lost responses %6.2f%%", r.name, maxShortfall[r.name], minPercentWithLoss[r.name])
		if r.name != "two thirds" {
			must.True(t, maxShortfall["half up"] <= maxShortfall[r.name])
		}
	}
	// "two thirds" has a slightly smaller largest shortfall than "half up"; it occurs with calls
	// that are not idempotent. Where responses are lost, "two thirds" succeeds 9 points less often.
	must.Greater(t, minPercentWithLoss["two thirds"]+5, minPercentWithLoss["half up"])
	must.Less(t, maxShortfall["two thirds"]+2, maxShortfall["half up"])
}
