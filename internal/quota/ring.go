package quota

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Node is a node that may hold parts of quotas.
type Node struct {
	Name string
	// Zone is the node's availability zone; the name is unique over all regions.
	Zone string
	// Address receives the token requests of other nodes, IP:port.
	Address string
}

// Ring has the nodes of all zones, ordered by hash. Rings of the same nodes give the same holders
// on every node. It is immutable.
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

// NewRing returns a ring of nodes, which must have different names.
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

// hash returns a hash of strings, with a separator after each.
func hash(parts ...string) uint64 {
	var h xxhash.Digest
	h.Reset()
	for _, p := range parts {
		_, _ = h.WriteString(p)
		_, _ = h.Write([]byte{0})
	}
	return h.Sum64()
}

// part is the rate and the depth of one holder's bucket.
type part struct {
	rate, depth float64
}

// zoneHolders has the holders of a quota in one zone: count nodes in the order of the ring,
// starting at index first. Each holder has the part perHolder.
type zoneHolders struct {
	zone         *ringZone
	first, count int
	perHolder    part
}

// minDepth is the least depth in tokens of a bucket when the part of a zone is divided among several
// holders. A zone whose part is smaller has a single holder. A quota divided into many small buckets
// refuses the requests that arrive at empty buckets while others have tokens.
const minDepth = 6

// split divides a quota among the zones in proportion to their nodes. In each zone it uses as
// many holders as get a bucket of at least minDepth.
func (r *Ring) split(workspace string, l Limit, t Tolerance) []zoneHolders {
	depth := l.depth(t)
	zones, total := r.holdingZones(workspace, depth)
	holders := make([]zoneHolders, 0, len(zones))
	for _, z := range zones {
		share := float64(len(z.nodes)) / float64(total)
		count := min(max(int(share*depth/minDepth), 1), len(z.nodes))
		h := hash(workspace, z.name)
		first := sort.Search(len(z.hashes), func(i int) bool { return z.hashes[i] >= h }) % len(z.nodes)
		holders = append(holders, zoneHolders{
			zone: z, first: first, count: count,
			perHolder: part{rate: l.Rate * share / float64(count), depth: share * depth / float64(count)},
		})
	}
	return holders
}

// holdingZones returns the zones that hold parts of a quota, and the sum of their nodes. A zone
// whose part would be less than 1 token holds no part. If every zone's part would be less than 1
// token, the hash of the workspace selects one zone.
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
func (p *zoneHolders) holds(node string) bool {
	for i := range p.count {
		if p.holder(i).Name == node {
			return true
		}
	}
	return false
}

// holder returns holder i of the zone, modulo their number.
func (p *zoneHolders) holder(i int) Node {
	return p.zone.nodes[(p.first+i%p.count)%len(p.zone.nodes)]
}

// choose returns up to limit eligible holders, starting at offset.
func (p *zoneHolders) choose(offset, limit int, eligible func(Node) bool) []Node {
	var out []Node
	for i := 0; i < p.count && len(out) < limit; i++ {
		if n := p.holder(offset + i); eligible(n) {
			out = append(out, n)
		}
	}
	return out
}
