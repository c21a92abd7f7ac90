package membership

import (
	"maps"
	"slices"
	"strings"
)

// maxTombstones bounds how many gone nodes a View remembers: three days of
// 1,400 replacements. A join older than that cannot still be on its way.
const maxTombstones = 4200

type tombstone struct {
	Incarnation uint64 `json:"i"`
	Offset      int64  `json:"o"`
}

// View is who is a member after a prefix of the log. It is immutable; Apply
// returns a new one. The zero View is empty.
type View struct {
	members map[string]Member // by node
	byAddr  map[string]string // inner address to node
	gone    map[string]tombstone
	version int64
}

// Version is the offset after the last record folded.
func (v *View) Version() int64 { return v.version }

// Len is the number of members.
func (v *View) Len() int { return len(v.members) }

// Member returns the member of a node.
func (v *View) Member(node string) (Member, bool) {
	m, ok := v.members[node]
	return m, ok
}

// Live reports whether exactly this incarnation is a member.
func (v *View) Live(id Identity) bool {
	m, ok := v.members[id.Node]
	return ok && m.Incarnation == id.Incarnation
}

// Gone reports whether this incarnation has left or was evicted.
func (v *View) Gone(id Identity) bool {
	t, ok := v.gone[id.Node]
	return ok && t.Incarnation >= id.Incarnation
}

// Members returns all members in order of their identity.
func (v *View) Members() []Member { return v.filter(func(Member) bool { return true }) }

// ByService returns the members that serve a service for a workspace; one
// without a workspace serves all.
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

// Narrow returns a view of the same version that keeps only some members. A
// node keeps its own zone and the services that its upstream calls.
func (v *View) Narrow(keep func(Member) bool) *View {
	n := &View{members: map[string]Member{}, byAddr: map[string]string{}, gone: v.gone, version: v.version}
	for node, m := range v.members {
		if keep(m) {
			n.members[node] = m
			n.byAddr[m.InnerAddr] = node
		}
	}
	return n
}

// Entry is a record with its offset.
type Entry struct {
	Offset int64
	Record Record
}

// Apply folds one record. A record below Version is ignored, so that a reader
// that starts again may deliver it twice.
func (v *View) Apply(offset int64, rec Record) *View {
	return v.ApplyAll([]Entry{{Offset: offset, Record: rec}})
}

// ApplyAll folds records in order and copies the view once.
func (v *View) ApplyAll(entries []Entry) *View {
	n := &View{
		members: maps.Clone(v.members),
		byAddr:  maps.Clone(v.byAddr),
		gone:    maps.Clone(v.gone),
		version: v.version,
	}
	n.init()
	for _, e := range entries {
		if e.Offset < n.version {
			continue
		}
		n.fold(e)
		n.version = e.Offset + 1
	}
	n.trim()
	return n
}

func (v *View) init() {
	if v.members == nil {
		v.members = make(map[string]Member)
	}
	if v.byAddr == nil {
		v.byAddr = make(map[string]string)
	}
	if v.gone == nil {
		v.gone = make(map[string]tombstone)
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

// join guards against a join that reaches the log after its process has ended:
// calls would go to an address where nobody, or someone else, listens. The
// incarnation decides, not the order: an older one never replaces a newer one
// of the same node or address, and one that has gone does not come back.
func (v *View) join(offset int64, m Member) {
	if t, ok := v.gone[m.Node]; ok && m.Incarnation <= t.Incarnation {
		return
	}
	if old, ok := v.members[m.Node]; ok && old.Incarnation > m.Incarnation {
		return
	}
	if node, ok := v.byAddr[m.InnerAddr]; ok && node != m.Node {
		if v.members[node].Incarnation > m.Incarnation {
			return
		}
		v.remove(offset, v.members[node].Identity)
	}
	if old, ok := v.members[m.Node]; ok {
		delete(v.byAddr, old.InnerAddr)
	}
	m.JoinedAt = m.JoinedAt.UTC().Round(0)
	v.members[m.Node] = m
	v.byAddr[m.InnerAddr] = m.Node
}

// remove drops exactly the named incarnation; a newer one stays.
func (v *View) remove(offset int64, id Identity) {
	if t, ok := v.gone[id.Node]; !ok || t.Incarnation < id.Incarnation {
		v.gone[id.Node] = tombstone{Incarnation: id.Incarnation, Offset: offset}
	}
	m, ok := v.members[id.Node]
	if !ok || m.Incarnation > id.Incarnation {
		return
	}
	delete(v.members, id.Node)
	delete(v.byAddr, m.InnerAddr)
}

// trim forgets the oldest tombstones by offset, so that every fold of the same
// records forgets the same ones.
func (v *View) trim() {
	if len(v.gone) <= maxTombstones {
		return
	}
	nodes := slices.Collect(maps.Keys(v.gone))
	slices.SortFunc(nodes, func(a, b string) int {
		if d := v.gone[a].Offset - v.gone[b].Offset; d != 0 {
			return int(d)
		}
		return strings.Compare(a, b)
	})
	for _, n := range nodes[:len(nodes)-maxTombstones] {
		delete(v.gone, n)
	}
}
