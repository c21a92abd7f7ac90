package quota

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is one that may hold parts of quotas.
type Node struct {
	Name string
	// Zone is its availability zone, unique over all regions.
	Zone string
	// Address is where other nodes ask it, IP:port.
	Address string
}

// Ring is which nodes there are. Of all nodes that know the same others, each finds the
// same holders. It is immutable.
type Ring struct {
	zones []ringZone
	nodes int
}

type ringZone struct {
	name string
	// nodes are ordered by their hashes.
	nodes  []Node
	hashes []uint64
}

// NewRing makes a ring of nodes with different names.
func NewRing(nodes []Node) *Ring {
	byZone := make(map[string]*ringZone)
	for _, n := range nodes {
		z := byZone[n.Zone]
		if z == nil {
			z = &ringZone{name: n.Zone}
			byZone[n.Zone] = z
		}
		z.nodes = append(z.nodes, n)
	}
	r := &Ring{nodes: len(nodes)}
	for _, z := range byZone {
		slices.SortFunc(z.nodes, func(a, b Node) int {
			return cmp.Or(cmp.Compare(hash(a.Name), hash(b.Name)), cmp.Compare(a.Name, b.Name))
		})
		for _, n := range z.nodes {
			z.hashes = append(z.hashes, hash(n.Name))
		}
		r.zones = append(r.zones, *z)
	}
	slices.SortFunc(r.zones, func(a, b ringZone) int { return cmp.Compare(a.name, b.name) })
	return r
}

func hash(parts ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// part is what one holder of a quota fills its bucket with.
type part struct {
	rate, depth float64
}

// zoneParts are the holders of a zone: so many from first on, in the ring's order.
type zoneParts struct {
	zone         *ringZone
	first, count int
	each         part
}

// leastDepth is the least that a bucket holds where a quota allows, in tokens: a quota that
// lies in many small buckets is refused to whoever meets the empty ones.
const leastDepth = 6

// split divides a quota among the zones by their nodes, and in a zone among as many
// holders as get a useful bucket each.
func (r *Ring) split(workspace string, l Limit, t Tolerance) []zoneParts {
	depth := l.depth(t)
	zones, total := r.holdingZones(workspace, depth)
	parts := make([]zoneParts, 0, len(zones))
	for _, z := range zones {
		share := float64(len(z.nodes)) / float64(total)
		count := min(max(int(share*depth/leastDepth), 1), len(z.nodes))
		h := hash(workspace, z.name)
		first := sort.Search(len(z.hashes), func(i int) bool { return z.hashes[i] >= h }) % len(z.nodes)
		parts = append(parts, zoneParts{
			zone: z, first: first, count: count,
			each: part{rate: l.Rate * share / float64(count), depth: share * depth / float64(count)},
		})
	}
	return parts
}

// holdingZones returns the zones that hold parts of a quota, and how many nodes they have.
// A zone whose part would be less than one token holds none.
func (r *Ring) holdingZones(workspace string, depth float64) (zones []*ringZone, nodes int) {
	for i := range r.zones {
		z := &r.zones[i]
		if depth*float64(len(z.nodes)) >= float64(r.nodes) {
			zones = append(zones, z)
			nodes += len(z.nodes)
		}
	}
	if len(zones) == 0 && len(r.zones) > 0 {
		z := &r.zones[hash(workspace)%uint64(len(r.zones))]
		return []*ringZone{z}, len(z.nodes)
	}
	return zones, nodes
}

// holds reports whether the node is one of the zone's holders.
func (p *zoneParts) holds(node string) bool {
	for i := range p.count {
		if p.at(i).Name == node {
			return true
		}
	}
	return false
}

// at returns the zone's holder i, counted from any.
func (p *zoneParts) at(i int) Node {
	return p.zone.nodes[(p.first+i%p.count)%len(p.zone.nodes)]
}

// choose returns up to so many holders that may be asked, from an offset on.
func (p *zoneParts) choose(offset, most int, may func(Node) bool) []Node {
	var out []Node
	for i := 0; i < p.count && len(out) < most; i++ {
		if n := p.at(offset + i); may(n) {
			out = append(out, n)
		}
	}
	return out
}
