package routing

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// distance of an endpoint from the choosing node.
type distance int

const (
	ownZone distance = iota
	ownRegion
	elsewhere
	distances
)

// minSpill is the least part of each more distant tier in the subset, so that
// a lost zone does not put all its load on one remote endpoint.
const minSpill = 4

func (s Self) distanceTo(ep *Endpoint) distance {
	switch {
	case ep.Region != s.Region:
		return elsewhere
	case ep.Zone != s.Zone:
		return ownRegion
	}
	return ownZone
}

// tier is the targets of one service at one distance.
type tier struct {
	// targets are in this node's order of preference.
	targets []*Target
	// prefix is how many of them are normally used. The rest are reached
	// only when none of the prefix has room, so connections stay bounded.
	prefix int
}

// subsetHash orders endpoints for a node by rendezvous hashing: a change of one
// endpoint moves no other, and each node prefers another subset, so that the
// subsets of many nodes cover all endpoints evenly.
func subsetHash(self, node string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(self)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(node)
	return d.Sum64()
}

type ranked struct {
	target *Target
	hash   uint64
	node   string
}

// buildTiers groups targets by distance, orders them and sizes the prefixes:
// the own zone takes what it can of size, the next tiers the rest.
func buildTiers(self Self, targets []*Target, size int) [distances]tier {
	var groups [distances][]ranked
	for _, g := range targets {
		ep := g.endpoint.Load()
		d := self.distanceTo(ep)
		groups[d] = append(groups[d], ranked{g, subsetHash(self.Node, ep.Node), ep.Node})
	}
	var tiers [distances]tier
	left := size
	for d, group := range groups {
		slices.SortFunc(group, compareRanked)
		t := &tiers[d]
		for _, r := range group {
			t.targets = append(t.targets, r.target)
		}
		t.prefix = min(len(group), max(left, minSpill))
		left -= t.prefix
	}
	return tiers
}

func compareRanked(a, b ranked) int {
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
