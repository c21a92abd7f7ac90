package membership

import (
	"maps"
	"slices"
	"strings"
)

// maxTombstones limits the number of tombstones in a View: three days of 1,400 replacements each.
// A join record cannot be delayed for longer than that.
const maxTombstones = 4200

// tombstone is the highest incarnation of a node that has left or was evicted, with the offset of
// that record.
type tombstone struct {
	Incarnation uint64 `json:"i"`
	Offset      int64  `json:"o"`
}

// View is the set of members after a prefix of the log. It is immutable; Apply returns a new View.
// The zero View is empty.
type View struct {
	members    map[string]Member    // by node
	nodeByAddr map[string]string    // by inner address
	tombstones map[string]tombstone // by node
	version    int64
}

// Version returns the offset after the last folded record.
func (v *View) Version() int64 { return v.version }

// Len returns the number of members.
func (v *View) Len() int { return len(v.members) }

// Member returns the member with the given node name.
func (v *View) Member(node string) (Member, bool) {
	m, ok := v.members[node]
	return m, ok
}

// Live reports whether exactly this incarnation is a member.
func (v *View) Live(id Identity) bool {
	m, ok := v.members[id.Node]
	return ok && m.Incarnation == id.Incarnation
}

// Gone reports whether this incarnation, or a newer one of its node, has left or was evicted.
func (v *View) Gone(id Identity) bool {
	t, ok := v.tombstones[id.Node]
	return ok && t.Incarnation >= id.Incarnation
}

// Members returns all members in the order of their identities.
func (v *View) Members() []Member { return v.filter(func(Member) bool { return true }) }

// ByService returns the members that serve a service for a workspace. A member without a workspace
// serves all workspaces.
func (v *View) ByService(workspace, service string) []Member {
	return v.filter(func(m Member) bool {
		return m.Service == service && (m.Workspace == "" || m.Workspace == workspace)
	})
}

// InZone returns the members of a zone.
func (v *View) InZone(region, zone string) []Member {
	return v.filter(func(m Member) bool { return m.Region == region && m.Zone == zone })
}

func (v *View) filter(keep func(Member) bool) []Member {
	out := make([]Member, 0, 16)
	for _, m := range v.members {
		if keep(m) {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return a.Identity.Compare(b.Identity) })
	return out
}

// Narrow returns a view of the same version with the members for which keep returns true. A node
// keeps the members of its own zone and of the services that its upstream calls.
func (v *View) Narrow(keep func(Member) bool) *View {
	n := &View{members: map[string]Member{}, nodeByAddr: map[string]string{}, tombstones: v.tombstones, version: v.version}
	for node, m := range v.members {
		if keep(m) {
			n.members[node] = m
			n.nodeByAddr[m.InnerAddr] = node
		}
	}
	return n
}

// Entry is a record with its offset.
type Entry struct {
	Offset int64
	Record Record
}

// Apply folds one record. A record below Version is ignored, because a restarted reader may
// deliver a record twice.
func (v *View) Apply(offset int64, rec Record) *View {
	return v.ApplyAll([]Entry{{Offset: offset, Record: rec}})
}

// ApplyAll folds records in order. It copies the view only once.
func (v *View) ApplyAll(entries []Entry) *View {
	n := &View{
		members:    maps.Clone(v.members),
		nodeByAddr: maps.Clone(v.nodeByAddr),
		tombstones: maps.Clone(v.tombstones),
		version:    v.version,
	}
	n.init()
	for _, e := range entries {
		if e.Offset < n.version {
			continue
		}
		n.fold(e)
		n.version = e.Offset + 1
	}
	n.trimTombstones()
	return n
}

func (v *View) init() {
	if v.members == nil {
		v.members = make(map[string]Member)
	}
	if v.nodeByAddr == nil {
		v.nodeByAddr = make(map[string]string)
	}
	if v.tombstones == nil {
		v.tombstones = make(map[string]tombstone)
	}
}

func (v *View) fold(e Entry) {
	switch r := e.Record.(type) {
	case Join:
		v.join(e.Offset, r.Member)
	case Leave:
		v.remove(e.Offset, r.ID)
	case Evict:
		v.remove(e.Offset, r.ID)
	}
}

// join adds or updates a member. It ignores a join that reaches the log after its process has
// ended, since calls would go to an address at which no process, or another one, listens. The
// incarnation decides, not the order of the records: an older incarnation never replaces a newer
// one of the same node or address, and an incarnation that has left or was evicted is not added
// again.
func (v *View) join(offset int64, m Member) {
	if t, ok := v.tombstones[m.Node]; ok && m.Incarnation <= t.Incarnation {
		return
	}
	if old, ok := v.members[m.Node]; ok && old.Incarnation > m.Incarnation {
		return
	}
	if node, ok := v.nodeByAddr[m.InnerAddr]; ok && node != m.Node {
		if v.members[node].Incarnation > m.Incarnation {
			return
		}
		v.remove(offset, v.members[node].Identity)
	}
	if old, ok := v.members[m.Node]; ok {
		delete(v.nodeByAddr, old.InnerAddr)
	}
	m.JoinedAt = m.JoinedAt.UTC().Round(0)
	v.members[m.Node] = m
	v.nodeByAddr[m.InnerAddr] = m.Node
}

// remove removes exactly the given incarnation; a newer one is kept.
func (v *View) remove(offset int64, id Identity) {
	if t, ok := v.tombstones[id.Node]; !ok || t.Incarnation < id.Incarnation {
		v.tombstones[id.Node] = tombstone{Incarnation: id.Incarnation, Offset: offset}
	}
	m, ok := v.members[id.Node]
	if !ok || m.Incarnation > id.Incarnation {
		return
	}
	delete(v.members, id.Node)
	delete(v.nodeByAddr, m.InnerAddr)
}

// trimTombstones removes the tombstones with the lowest offsets, so that every fold of the same
// records removes the same ones.
func (v *View) trimTombstones() {
	if len(v.tombstones) <= maxTombstones {
		return
	}
	nodes := slices.Collect(maps.Keys(v.tombstones))
	slices.SortFunc(nodes, func(a, b string) int {
		if d := v.tombstones[a].Offset - v.tombstones[b].Offset; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	for _, n := range nodes[:len(nodes)-maxTombstones] {
		delete(v.tombstones, n)
	}
}
