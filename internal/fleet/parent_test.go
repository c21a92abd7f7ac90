package fleet

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func zoneOf(n int) []Member {
	out := make([]Member, n)
	for i := range out {
		out[i] = Member{Node: fmt.Sprintf("vm-%d", i), State: Serving}
	}
	return out
}

func without(all []Member, i int) []Member {
	return append(append([]Member{}, all[:i]...), all[i+1:]...)
}

// levels returns the number of levels below the root in the shallowest tree of n nodes.
func levels(n int) (below int) {
	for width, capacity := 1, 1; capacity < n; below++ {
		width *= RelayFanOut
		capacity += width
	}
	return below
}

// Guards against a zone in which several nodes read from the store, a node with more than
// RelayFanOut readers, and a tree that is deeper than necessary.
func TestSourcesFormATree(t *testing.T) {
	for _, n := range []int{1, 2, 5, 25, 412} {
		all := zoneOf(n)
		parents, children, readers := map[string]string{}, map[string]int{}, 0
		for i := range all {
			sources := Sources(all[i].Node, without(all, i))
			if len(sources) == 0 {
				readers++
				continue
			}
			parents[all[i].Node] = sources[0].Node
			children[sources[0].Node]++
		}
		must.EqOp(t, 1, readers)
		for _, count := range children {
			must.LessEq(t, RelayFanOut, count)
		}
		for name := range parents {
			depth := 0
			for at, ok := parents[name]; ok; at, ok = parents[at] {
				depth++
			}
			must.LessEq(t, levels(n), depth)
		}
	}
}

// Guards against nodes that read from each other: neither would receive an update. Nodes know
// different parts of the zone, some of them in other states than Serving.
func TestSourcesHaveNoCycle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := zoneOf(rapid.IntRange(2, 30).Draw(t, "nodes"))
		parents := map[string]string{}
		for i := range all {
			var known []Member
			for j := range all {
				if i == j || rapid.IntRange(0, 3).Draw(t, "unknown") == 0 {
					continue
				}
				m := all[j]
				m.State = rapid.SampledFrom([]State{Serving, Serving, Stopping, Leaving, Gone}).Draw(t, "state")
				known = append(known, m)
			}
			if sources := Sources(all[i].Node, known); len(sources) > 0 {
				parents[all[i].Node] = rapid.SampledFrom(sources).Draw(t, "source").Node
			}
		}
		for start := range parents {
			steps := 0
			for at, ok := parents[start]; ok; at, ok = parents[at] {
				steps++
				must.LessEq(t, len(all), steps)
			}
		}
	})
}

// Guards against zones that ask another node for a zone's sums than the one that its nodes report to.
func TestOtherZonesAskTheCollector(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := zoneOf(rapid.IntRange(1, 30).Draw(t, "nodes"))
		r := NewRegistry()
		serving := 0
		for i := range all {
			all[i].State = rapid.SampledFrom([]State{Serving, Serving, Stopping, Gone}).Draw(t, "state")
			if all[i].State == Serving {
				serving++
			}
			r.Apply(all[i])
		}
		const limit = 4
		asked := r.CollectorsByZone(limit)[ZoneName{all[0].Region, all[0].Zone}]
		must.Len(t, min(serving, limit), asked)
		for i := range all {
			others := append(append([]Member{}, all[:i]...), all[i+1:]...)
			collectors := Collectors(all[i].Node, all[i].State == Serving, others)
			switch {
			case len(collectors) > 0:
				must.Eq(t, asked[0].Node, collectors[0].Node)
			case serving > 0:
				must.Eq(t, asked[0].Node, all[i].Node)
			}
		}
		must.Zero(t, r.OtherZoneCount(all[0].Region, all[0].Zone))
	})
}
