package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RelayFanOut is how many nodes of a zone read through one other at most: a zone of 412
// nodes is four deep, and what they cost a node fits its share of bytes for control.
const RelayFanOut = 5

// Sources returns the nodes of a zone through which a node may read what the platform's
// store has, the best one first; none for the node that reads the store itself. others
// are the other nodes of the zone.
//
// Load pattern: nodes restart all the time, and each would read each record from the
// store. Nodes of a zone are ordered by a hash of their names and form a tree. All nodes
// agree on the order, and whoever follows a node comes after it, so no circle of nodes
// waits for updates from itself while views of who is there differ. Nodes that are about
// to end, or have no upstream, are followed by nobody.
func Sources(node string, others []Member) []Member {
	own := nameHash(node)
	var before []Member
	for _, m := range others {
		if m.State == Serving && compareNames(nameHash(m.Node), m.Node, own, node) < 0 {
			before = append(before, m)
		}
	}
	if len(before) == 0 {
		return nil
	}
	slices.SortFunc(before, func(a, b Member) int {
		return compareNames(nameHash(a.Node), a.Node, nameHash(b.Node), b.Node)
	})
	return rotate(before, (len(before)-1)/RelayFanOut)
}

// rotate moves the member at first to the front; those before it go to the end.
func rotate(members []Member, first int) []Member {
	return append(slices.Clone(members[first:]), members[:first]...)
}

func compareNames(hashA uint64, a string, hashB uint64, b string) int {
	return cmp.Or(cmp.Compare(hashA, hashB), cmp.Compare(a, b))
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}
