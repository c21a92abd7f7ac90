package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Identity identifies one incarnation of a node's process. A process that starts again, on the
// same VM or at the same address, has a higher incarnation.
type Identity struct {
	Node        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// String returns the identity as node#incarnation.
func (id Identity) String() string { return fmt.Sprintf("%s#%d", id.Node, id.Incarnation) }

// IsZero reports whether the identity is empty.
func (id Identity) IsZero() bool { return id == Identity{} }

// Compare orders identities by node, then by incarnation.
func (id Identity) Compare(other Identity) int {
	return cmp.Or(cmp.Compare(id.Node, other.Node), cmp.Compare(id.Incarnation, other.Incarnation))
}

// Member describes a node and its upstream, as the node reports them when it joins.
type Member struct {
	Identity
	Region string `json:"r,omitempty"`
	Zone   string `json:"z,omitempty"`
	// Workspace is empty if the upstream serves every workspace.
	Workspace string `json:"w,omitempty"`
	Service   string `json:"s,omitempty"`
	InnerAddr string `json:"a"`
	AdminAddr string `json:"aa,omitempty"`
	// Slots is the number of calls that the upstream runs concurrently.
	Slots int `json:"sl,omitempty"`
	// Connections is the number of connections that the upstream accepts.
	Connections int       `json:"c,omitempty"`
	JoinedAt    time.Time `json:"j"`
	Draining    bool      `json:"d,omitempty"`
}

// Record is a membership record of the log: Join, Leave or Evict.
type Record interface{ membershipRecord() }

// Join adds a member; a second Join of the same incarnation updates it.
type Join struct{ Member Member }

// Leave removes an incarnation. It is the last record of a planned stop.
type Leave struct{ ID Identity }

// Evict removes an incarnation that its peers found dead. It does not show that the process has
// stopped: a process that still runs must join again with a new incarnation.
type Evict struct {
	ID Identity
	// By is the process that wrote the record.
	By Identity
}

func (Join) membershipRecord()  {}
func (Leave) membershipRecord() {}
func (Evict) membershipRecord() {}
