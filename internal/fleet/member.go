// Package fleet holds the state of the nodes of a deployment and of their upstreams: the record
// that a node publishes about itself, the computation of routing endpoints from all records, and
// the tracking of the local upstream's process by its reports. It is pure: no I/O, no clock.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// State is the state of a node's upstream as the node publishes it.
type State string

const (
	// Serving means that the upstream accepts work.
	Serving State = "serving"
	// Stopping means that the node is about to stop while its upstream continues. The node still
	// accepts calls for which no other upstream of the service is available. This occurs when some
	// nodes of a service restart while the upstreams of its other nodes leave.
	Stopping State = "stopping"
	// Leaving means that the upstream accepts no new work.
	Leaving State = "leaving"
	// Gone means that the node has no upstream, so that no call is sent to it.
	Gone State = "gone"
)

// Member is the record that a node publishes when it starts and when one of the fields changes.
// Only the newest record of a node is valid.
type Member struct {
	Node string `json:"node"`
	// Incarnation is the start time of the node's process in Unix nanoseconds. Of two records of
	// a node the one with the greater incarnation is newer.
	Incarnation uint64 `json:"incarnation"`
	// Revision numbers the records of one incarnation, starting at 1.
	Revision uint64 `json:"revision"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// Address accepts calls from other nodes, IP:port.
	Address string `json:"address"`
	Service string `json:"service"`
	// Upstream identifies the process of the upstream.
	Upstream string `json:"upstream,omitempty"`
	// StartedAt is the start time of that process in Unix milliseconds; 0 if it reports none.
	StartedAt int64 `json:"started_at,omitempty"`
	// Left is true if that process accepts no new work, whatever State says of the node.
	Left bool `json:"left,omitempty"`
	// Predecessors are those of History.
	Predecessors []processRecord `json:"predecessors,omitempty"`
	Slots        int             `json:"slots"`
	// ServesSince is the time at which the upstream began to accept work, in Unix milliseconds; 0
	// means that its slow start is over. A new process is slow, so routing raises its share of the
	// calls gradually after this time.
	ServesSince int64 `json:"serves_since,omitempty"`
	State       State `json:"state"`
}

// processRecord is the stored form of a routing.Process.
type processRecord struct {
	ID        string `json:"id"`
	StartedAt int64  `json:"started_at,omitempty"`
}

// MaxMemberBytes bounds the encoded size of a Member.
const MaxMemberBytes = 4 << 10

// SetHistory sets the fields that say what the node knows of the processes of its upstream.
func (m *Member) SetHistory(h History) {
	m.Upstream, m.StartedAt, m.Left = h.Process.ID, h.Process.StartedAt, h.Left
	m.Predecessors = nil
	for _, p := range h.Predecessors {
		m.Predecessors = append(m.Predecessors, processRecord(p))
	}
}

// History returns what the node knew of the processes of its upstream. Records of earlier versions
// tell a departure by the state alone.
func (m *Member) History() History {
	h := History{Process: routing.Process{ID: m.Upstream, StartedAt: m.StartedAt}, Left: m.Left || m.State == Leaving}
	for _, p := range m.Predecessors {
		h.Predecessors = append(h.Predecessors, routing.Process(p))
	}
	return h
}

// Encode returns the record as JSON.
func (m *Member) Encode() ([]byte, error) { return json.Marshal(m) }

// DecodeMember decodes and validates a record. A record with an error is to be ignored: it has no
// valid information about any node.
func DecodeMember(raw []byte, now time.Time) (Member, error) {
	var m Member
	if len(raw) > MaxMemberBytes {
		return m, fmt.Errorf("member: record of %d bytes, must be at most %d", len(raw), MaxMemberBytes)
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, fmt.Errorf("decode member record: %w", err)
	}
	return m, m.Validate(now)
}

// Newer reports whether m replaces old.
func (m *Member) Newer(old *Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.Revision, old.Revision)) > 0
}

// Claims reports whether m, which the node with the record own did not write, would hide that node: it has
// its name, or its address, and is newer.
func (m *Member) Claims(own *Member) bool {
	if m.Node == own.Node {
		return m.Newer(own)
	}
	return m.Address == own.Address && m.State != Gone && m.Incarnation > own.Incarnation
}

// Registry holds the newest record of each node. The result does not depend on the order in which
// records arrive. It is not safe for concurrent use.
type Registry struct {
	members map[string]Member
	// changes is the number of records that changed the registry.
	changes int
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry { return &Registry{members: make(map[string]Member)} }

// Apply stores a record if it is newer than the stored one, and reports whether it is.
func (r *Registry) Apply(m Member) bool {
	old, known := r.members[m.Node]
	if known && !m.Newer(&old) {
		return false
	}
	r.members[m.Node] = m
	r.changes++
	return true
}

// Member returns the newest record of a node.
func (r *Registry) Member(node string) (m Member, known bool) {
	m, known = r.members[node]
	return m, known
}

// Len returns the number of nodes.
func (r *Registry) Len() int { return len(r.members) }

// Members returns the newest record of each node, ordered by name.
func (r *Registry) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[name])
	}
	return out
}

// Changes returns the number of records that changed the registry.
func (r *Registry) Changes() int { return r.changes }

// Neighbours returns the newest records of the other nodes in a node's zone, ordered by name. Its
// cost is linear in the number of all nodes.
func (r *Registry) Neighbours(node, region, zone string) []Member {
	var out []Member
	for name, m := range r.members {
		if m.Zone == zone && m.Region == region && name != node {
			out = append(out, m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Node, b.Node) })
	return out
}

// OtherZones returns the newest records of the serving nodes in other zones, in no particular
// order.
func (r *Registry) OtherZones(region, zone string) []Member {
	var out []Member
	for _, m := range r.members {
		if m.State == Serving && (m.Zone != zone || m.Region != region) {
			out = append(out, m)
		}
	}
	return out
}

// Endpoints returns the endpoints to which calls may be sent. If two nodes have the same address,
// only the one with the greater incarnation has an endpoint. This occurs when the address of a
// removed VM is assigned to another VM.
func (r *Registry) Endpoints() []routing.Endpoint {
	holder := make(map[string]*Member, len(r.members))
	members := r.Members()
	for i := range members {
		m := &members[i]
		if current := holder[m.Address]; current == nil || m.Incarnation > current.Incarnation {
			holder[m.Address] = m
		}
	}
	out := make([]routing.Endpoint, 0, len(members))
	for i := range members {
		m := &members[i]
		if m.State == Gone || holder[m.Address] != m {
			continue
		}
		out = append(out, m.endpoint())
	}
	return out
}

func (m *Member) endpoint() routing.Endpoint {
	return routing.Endpoint{
		Node:        m.Node,
		Incarnation: m.Incarnation,
		Region:      m.Region,
		Zone:        m.Zone,
		Service:     m.Service,
		Upstream:    m.Upstream,
		Addr:        m.Address,
		Slots:       m.Slots,
		Joined:      time.UnixMilli(m.ServesSince),
		Draining:    m.State == Leaving,
		Fallback:    m.State == Stopping,
	}
}
