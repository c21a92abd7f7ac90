package fleet

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// RelayFanOut bounds the nodes of a zone that read through one other node (see Sources). A zone of
// 412 nodes then has a tree of 4 levels, and the traffic of a node for its readers fits its byte
// budget for control traffic.
const RelayFanOut = 5

// Sources returns the nodes of a zone through which a node may read the data of the platform's
// store, the preferred one first; none for the node that reads from the store itself. zoneMembers
// are the other nodes of the zone.
//
// Load pattern: nodes restart all the time, and each would read each record from the store. To
// avoid this, the nodes of a zone are ordered by a hash of their names and form a tree: node i of
// the order, counted from 0, prefers node (i-1)/RelayFanOut. All nodes compute the same order, and
// a node reads only from nodes before it in that order. Nodes therefore never read from each other
// in a cycle, in which none would receive an update, even while their lists of members differ.
// Nodes that are about to stop, or have no upstream, are not sources.
func Sources(node string, zoneMembers []Member) []Member {
	candidates := preceding(node, zoneMembers)
	if len(candidates) == 0 {
		return nil
	}
	return rotate(candidates, (len(candidates)-1)/RelayFanOut)
}

// ZoneReader returns the node that reads the platform's store for a zone; other is false if it is the
// given node itself. zoneMembers are the other nodes of the zone.
func ZoneReader(node string, zoneMembers []Member) (reader Member, other bool) {
	candidates := preceding(node, zoneMembers)
	if len(candidates) == 0 {
		return Member{}, false
	}
	return candidates[0], true
}

// preceding returns the serving members before a node in the order of the zone, in that order.
func preceding(node string, zoneMembers []Member) []Member {
	own := nameHash(node)
	var members []Member
	for _, m := range zoneMembers {
		if m.State == Serving && compareNames(nameHash(m.Node), m.Node, own, node) < 0 {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, compareMembers)
	return members
}

func compareMembers(a, b Member) int {
	return compareNames(nameHash(a.Node), a.Node, nameHash(b.Node), b.Node)
}

// rotate returns a copy that starts with the member at index first and ends with the members
// before it.
func rotate(members []Member, first int) []Member {
	return append(slices.Clone(members[first:]), members[:first]...)
}

// compareNames orders names by hash, and names of equal hash by text.
func compareNames(hashA uint64, a string, hashB uint64, b string) int {
	return cmp.Or(cmp.Compare(hashA, hashB), cmp.Compare(a, b))
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name)) // never fails
	return h.Sum64()
}

// Collectors returns the nodes of a zone that may add up the reports of a node, the preferred one
// first; none if the node itself is preferred. A node that doesn't serve is no collector for others,
// so it prefers any that does. zoneMembers are the other nodes of the zone.
func Collectors(node string, serving bool, zoneMembers []Member) []Member {
	if serving {
		return preceding(node, zoneMembers)
	}
	members := slices.DeleteFunc(slices.Clone(zoneMembers), func(m Member) bool { return m.State != Serving })
	slices.SortFunc(members, compareMembers)
	return members
}

// ZoneName identifies an availability zone.
type ZoneName struct{ Region, Zone string }

// CollectorsByZone returns, for each zone with serving nodes, at most limit of them in the order in
// which they collect the reports of the zone. Its cost is linear in the number of all nodes.
func (r *Registry) CollectorsByZone(limit int) map[ZoneName][]Member {
	type ranked struct {
		hash   uint64
		member string
	}
	first := map[ZoneName][]ranked{}
	for name, m := range r.members {
		if m.State != Serving {
			continue
		}
		zone := ZoneName{m.Region, m.Zone}
		candidate, list := ranked{nameHash(name), name}, first[zone]
		i, _ := slices.BinarySearchFunc(list, candidate, func(a, b ranked) int {
			return compareNames(a.hash, a.member, b.hash, b.member)
		})
		if i < limit {
			first[zone] = slices.Insert(list[:min(len(list), limit-1)], i, candidate)
		}
	}
	out := make(map[ZoneName][]Member, len(first))
	for zone, list := range first {
		for _, x := range list {
			out[zone] = append(out[zone], r.members[x.member])
		}
	}
	return out
}

// OtherZoneCount returns the number of zones with serving nodes, without those of the given zone. Its cost is
// linear in the number of all nodes.
func (r *Registry) OtherZoneCount(region, zone string) int {
	zones := map[ZoneName]struct{}{}
	for _, m := range r.members {
		if m.State == Serving {
			zones[ZoneName{m.Region, m.Zone}] = struct{}{}
		}
	}
	delete(zones, ZoneName{region, zone})
	return len(zones)
}
