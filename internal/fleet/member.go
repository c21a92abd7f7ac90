// Package fleet keeps what is known of the nodes of a deployment and of the
// upstreams beside them: the record that a node publishes about itself, the fold
// of all records into endpoints, and the order of what an upstream says of
// itself. It is pure: no I/O, no clock.
package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// State is what a node says of the upstream beside it.
type State string

const (
	// Serving means that the upstream takes work.
	Serving State = "serving"
	// Stopping means that the node is about to end while its upstream goes on. It
	// still takes what finds no other one: several nodes of a service may be
	// restarted while others of its upstreams leave.
	Stopping State = "stopping"
	// Leaving means that the upstream takes no new work.
	Leaving State = "leaving"
	// Gone means that there is no upstream, and none is to be tried.
	Gone State = "gone"
)

// Member is the record that a node publishes when it starts and when something
// about it changes. The newest record of a node is the one that counts.
type Member struct {
	Node string `json:"node"`
	// Incarnation is the start of the node's process in Unix nanoseconds; of two
	// records of a node the one with the greater incarnation is newer.
	Incarnation uint64 `json:"incarnation"`
	// Revision counts the records of one incarnation from 1.
	Revision uint64 `json:"revision"`
	Region   string `json:"region"`
	Zone     string `json:"zone"`
	// Address is where other nodes send calls, IP:port.
	Address string `json:"address"`
	Service string `json:"service"`
	// Upstream names the process of the upstream.
	Upstream string `json:"upstream,omitempty"`
	Slots    int    `json:"slots"`
	// ServesSince is when the upstream began to take work, in Unix milliseconds;
	// 0 means long ago. A fresh one is slow and gets its share by and by.
	ServesSince int64 `json:"serves_since,omitempty"`
	State       State `json:"state"`
}

// MaxMemberBytes bounds a member's record.
const MaxMemberBytes = 4 << 10

// Validate returns an error that names the first field out of bounds.
func (m *Member) Validate() error {
	switch {
	case !callctx.ValidName(m.Node):
		return fmt.Errorf("member: node is %q, must be a name", m.Node)
	case m.Incarnation == 0:
		return fmt.Errorf("member %s: incarnation is 0, must be above", m.Node)
	case m.Address == "":
		return fmt.Errorf("member %s: address is empty", m.Node)
	case !callctx.ValidName(m.Service):
		return fmt.Errorf("member %s: service is %q, must be a name", m.Node, m.Service)
	case !slices.Contains([]State{Serving, Stopping, Leaving, Gone}, m.State):
		return fmt.Errorf("member %s: state is %q, must be serving, stopping, leaving or gone", m.Node, m.State)
	case m.State == Serving && m.Slots < 1:
		return fmt.Errorf("member %s: slots are %d, must be at least 1", m.Node, m.Slots)
	}
	return nil
}

// Encode returns the record's bytes.
func (m *Member) Encode() ([]byte, error) { return json.Marshal(m) }

// DecodeMember reads a record. One that can't be read says nothing of any node.
func DecodeMember(raw []byte) (Member, error) {
	var m Member
	if len(raw) > MaxMemberBytes {
		return m, fmt.Errorf("member: record of %d bytes, must be at most %d", len(raw), MaxMemberBytes)
	}
	if err := json.Unmarshal(raw, &m); err != nil {
		return m, fmt.Errorf("member: %w", err)
	}
	return m, m.Validate()
}

// newer reports whether m replaces old.
func (m *Member) newer(old *Member) bool {
	return cmp.Or(cmp.Compare(m.Incarnation, old.Incarnation), cmp.Compare(m.Revision, old.Revision)) > 0
}

// Registry folds members. The order in which records arrive doesn't matter. It
// is not safe for concurrent use.
type Registry struct {
	members map[string]Member
	// changes counts the records that changed something.
	changes int
}

// NewRegistry returns a registry that knows nobody.
func NewRegistry() *Registry { return &Registry{members: make(map[string]Member)} }

// Apply takes a record and reports whether it changed anything.
func (r *Registry) Apply(m Member) bool {
	old, known := r.members[m.Node]
	if known && !m.newer(&old) {
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

// Len returns how many nodes are known.
func (r *Registry) Len() int { return len(r.members) }

// Members returns the newest record of each node, by name.
func (r *Registry) Members() []Member {
	out := make([]Member, 0, len(r.members))
	for _, name := range slices.Sorted(maps.Keys(r.members)) {
		out = append(out, r.members[name])
	}
	return out
}

// Changes counts the records that changed something.
func (r *Registry) Changes() int { return r.changes }

// Neighbours returns the newest records of the other nodes of a node's zone, by
// name. It looks at every node.
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

// OtherZones returns the newest records of the serving nodes of other zones, in no order.
func (r *Registry) OtherZones(region, zone string) []Member {
	var out []Member
	for _, m := range r.members {
		if m.State == Serving && (m.Zone != zone || m.Region != region) {
			out = append(out, m)
		}
	}
	return out
}

// Endpoints returns where calls may go. Of two nodes that claim one address the
// later one has it: the address of a VM that is gone is given to another.
func (r *Registry) Endpoints() []routing.Endpoint {
	holder := make(map[string]*Member, len(r.members))
	members := r.Members()
	for i := range members {
		m := &members[i]
		if held := holder[m.Address]; held == nil || m.Incarnation > held.Incarnation {
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
		Addr:        m.Address,
		Slots:       m.Slots,
		Joined:      time.UnixMilli(m.ServesSince),
		Draining:    m.State == Leaving,
		Fallback:    m.State == Stopping,
	}
}
