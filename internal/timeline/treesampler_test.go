package timeline

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

var burstStart = time.Date(2026, 3, 6, 8, 0, 0, 0, time.UTC)

// Guards against dropping single lines instead of whole trees during a burst. Many failures logged
// by the nodes of a deeper service would then have no line at their entry nodes.
func TestTreeSamplerKeepsWholeTreesInBurst(t *testing.T) {
	const budget, entryNodes, deepNodes, seconds, perSecond = 100, 14, 3, 20, 2800
	entrySamplers, deepSamplers := newTreeSamplers(entryNodes, budget), newTreeSamplers(deepNodes, budget)
	type logged struct{ entry, deep bool }
	trees := map[string]*logged{}
	for second := range seconds {
		for i := range perSecond {
			at := burstStart.Add(time.Duration(second)*time.Second + time.Duration(i)*time.Second/perSecond)
			root := fmt.Sprintf("%016x", uint64(second*perSecond+i)*0x9e3779b97f4a7c15)
			tree := &logged{}
			tree.deep, _ = deepSamplers[i%deepNodes].Keep(at, root+".1.4.2")
			tree.entry, _ = entrySamplers[i%entryNodes].Keep(at.Add(30*time.Millisecond), root)
			trees[root] = tree
		}
	}
	loggedDeep, loggedBoth := 0, 0
	for _, tree := range trees {
		if tree.deep {
			loggedDeep++
		}
		if tree.deep && tree.entry {
			loggedBoth++
		}
	}
	must.Greater(t, seconds*deepNodes*budget/8, loggedDeep, must.Sprint("the budget is left unused"))
	must.GreaterEq(t, 0.9, float64(loggedBoth)/float64(loggedDeep))
}

func newTreeSamplers(n, budget int) []*TreeSampler {
	out := make([]*TreeSampler, n)
	for i := range out {
		out[i] = &TreeSampler{Budget: budget}
	}
	return out
}

// Guards against writing more lines per second than the budget, and against keeping a tree whose
// hash is outside of the reported share: a node that keeps the same share drops that tree.
func TestTreeSamplerStaysWithinBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(1, 200).Draw(t, "budget")
		s, withinHalfBudget := &TreeSampler{Budget: budget}, true
		for second := range rapid.IntRange(1, 8).Draw(t, "seconds") {
			written := 0
			lines := rapid.IntRange(0, 4*budget).Draw(t, "lines")
			withinHalfBudget = withinHalfBudget && lines <= budget/2
			for i := range lines {
				keep, oneIn := s.Keep(burstStart.Add(time.Duration(second)*time.Second), fmt.Sprint(second, "-", i))
				must.True(t, keep || !withinHalfBudget)
				if keep {
					written++
					must.EqOp(t, 0, hash(fmt.Sprint(second, "-", i))&uint32(oneIn-1))
				}
			}
			must.LessEq(t, budget, written)
		}
	})
}

// Guards against a sampler that still drops lines seconds after a burst has ended.
func TestTreeSamplerRecovers(t *testing.T) {
	s := &TreeSampler{Budget: 100}
	for i := range 1_000_000 {
		s.Keep(burstStart, fmt.Sprint(i))
	}
	must.Positive(t, s.maskBits)
	var oneIn int
	for second := range maxMaskBits + 1 {
		for i := range 10 {
			_, oneIn = s.Keep(burstStart.Add(time.Duration(second+1)*time.Second), fmt.Sprint(i))
		}
	}
	must.EqOp(t, 1, oneIn)
}
