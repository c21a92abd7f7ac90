package timeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var floodBegins = time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)

// Guards against lines left out one by one, so that a failure has no line at its entry.
func TestFloodLeavesWholeTrees(t *testing.T) {
	const budget, entries, deep, seconds, perSecond = 100, 14, 3, 20, 2800
	atEntries, atDeep := samplers(entries, budget), samplers(deep, budget)
	type logged struct{ entry, deep bool }
	trees := map[string]*logged{}
	for second := range seconds {
		for i := range perSecond {
			at := floodBegins.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
			root := fmt.Sprintf("%016x", uint64(second*perSecond+i)*0x9e3779b97f4a7c15)
			tree := &logged{}
			tree.deep, _ = atDeep[i%deep].Keep(at, root+".1.4.2")
			tree.entry, _ = atEntries[i%entries].Keep(at.Add(30*time.Millisecond), root)
			trees[root] = tree
		}
	}
	deepest, whole := 0, 0
	for _, tree := range trees {
		if tree.deep {
			deepest++
		}
		if tree.deep && tree.entry {
			whole++
		}
	}
	must.Greater(t, seconds*deep*budget/8, deepest, must.Sprint("the budget is left unused"))
	must.GreaterEq(t, 0.9, float64(whole)/float64(deepest))
}

func samplers(n, budget int) []*TreeSampler {
	out := make([]*TreeSampler, n)
	for i := range out {
		out[i] = &TreeSampler{Budget: budget}
	}
	return out
}

// Guards against more lines a second than the budget, or trees kept by some nodes alone.
func TestTreeSamplerKeepsToItsBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 200).Draw(t, "budget")
		s, calm := &TreeSampler{Budget: budget}, true
		for second := range rapid.IntRange(1, 8).Draw(t, "seconds") {
			written := 0
			lines := rapid.IntRange(0, 4*budget).Draw(t, "lines")
			calm = calm && lines <= budget/2
			for i := range lines {
				keep, oneIn := s.Keep(floodBegins.Add(time.Duration(second)*time.Second), fmt.Sprint(second, "-", i))
				must.True(t, keep || !calm)
				if keep {
					written++
					must.EqOp(t, 0, hash(fmt.Sprint(second, "-", i))&uint32(oneIn-1))
				}
			}
			must.LessEq(t, budget, written)
		}
	})
}

// A flood ends. Some seconds later each failure is logged again.
func TestTreeSamplerRecovers(t *testing.T) {
	s := &TreeSampler{Budget: 100}
	for i := range 1_000_000 {
		s.Keep(floodBegins, fmt.Sprint(i))
	}
	must.Positive(t, s.halvings)
	var oneIn int
	for second := range maxHalvings + 1 {
		for i := range 10 {
			_, oneIn = s.Keep(floodBegins.Add(time.Duration(second+1)*time.Second), fmt.Sprint(i))
		}
	}
	must.EqOp(t, 1, oneIn)
}
