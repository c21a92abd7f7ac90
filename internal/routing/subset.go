package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// distance is the distance of an endpoint from the sending node.
type distance int

const (
	ownZone distance = iota
	ownRegion
	otherRegion
	distanceCount
)

// minTierPrefix is the minimum prefix of each more distant tier, so that the failure of a zone does
// not move all of its load to one remote endpoint.
const minTierPrefix = 4

func (s Self) distanceTo(ep *Endpoint) distance {
	switch {
	case ep.Region != s.Region:
		return otherRegion
	case ep.Zone != s.Zone:
		return ownRegion
	}
	return ownZone
}

// tier holds the targets of one service at one distance.
type tier struct {
	// targets is in this node's order of preference.
	targets []*Target
	// prefix is the number of targets that are normally used. The remaining ones are used only if
	// no target of the prefix has capacity, which bounds the number of connections.
	prefix int
}

// subsetHash orders endpoints for a node by rendezvous hashing. Adding or removing an endpoint does
// not reorder the others. Each node prefers a different subset, so the subsets of many nodes cover
// all endpoints evenly.
func subsetHash(self, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

// hashedTarget is a target with its sort keys.
type hashedTarget struct {
	target *Target
	hash   uint64
	node   string
}

// buildTiers groups targets by distance, orders them and sets the prefixes. The prefix of the own
// zone has up to size targets. The more distant tiers get what remains of size, but at least
// minTierPrefix targets each if they have so many.
func buildTiers(self Self, targets []*Target, size int) [distanceCount]tier {
	var groups [distanceCount][]hashedTarget
	for _, g := range targets {
		ep := g.endpoint.Load()
		d := self.distanceTo(ep)
		groups[d] = append(groups[d], hashedTarget{g, subsetHash(self.Node, ep.Node), ep.Node})
	}
	var tiers [distanceCount]tier
	remaining := size
	for d, group := range groups {
		slices.SortFunc(group, compareHashedTargets)
		t := &tiers[d]
		for _, r := range group {
			t.targets = append(t.targets, r.target)
		}
		t.prefix = min(len(group), max(remaining, minTierPrefix))
		remaining -= t.prefix
	}
	return tiers
}

// zoneTiers groups the targets of the more distant tiers by zone. Half of size is used in each zone.
func zoneTiers(tiers *[distanceCount]tier, size int) map[string]*tier {
	zones := map[string]*tier{}
	for d := ownRegion; d < distanceCount; d++ {
		for _, g := range tiers[d].targets {
			ep := g.endpoint.Load()
			name := ep.ZoneName()
			if zones[name] == nil {
				zones[name] = &tier{}
			}
			zones[name].targets = append(zones[name].targets, g)
		}
	}
	for _, t := range zones {
		t.prefix = min(len(t.targets), max(minTierPrefix, size/2))
	}
	return zones
}

func compareHashedTargets(a, b hashedTarget) int {
	switch {
	case a.hash > b.hash:
		return -1
	case a.hash < b.hash:
		return 1
	case a.node < b.node:
		return -1
	case a.node > b.node:
		return 1
	}
	return 0
}
