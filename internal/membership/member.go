package membership

import (
	"cmp"
	"fmt"
	"time"
)

// Identity names one life of a node process. A process that starts again, on
// the same VM or at the same address, has a higher incarnation.
type Identity struct {
	Node        string `json:"n"`
	Incarnation uint64 `json:"i"`
}

// String returns node#incarnation.
func (id Identity) String() string { return fmt.Sprintf("%s#%d", id.Node, id.Incarnation) }

// IsZero reports whether the identity names nobody.
func (id Identity) IsZero() bool { return id == Identity{} }

// Compare orders by node, then incarnation.
func (id Identity) Compare(other Identity) int {
	return cmp.Or(cmp.Compare(id.Node, other.Node), cmp.Compare(id.Incarnation, other.Incarnation))
}

// Member is what a node says about itself and its upstream when it joins.
type Member struct {
	Identity
	Region string `json:"r,omitempty"`
	Zone   string `json:"z,omitempty"`
	// Workspace is empty when the upstream serves every workspace.
	Workspace string `json:"w,omitempty"`
	Service   string `json:"s,omitempty"`
	InnerAddr string `json:"a"`
	AdminAddr string `json:"aa,omitempty"`
	// Slots is how many calls the upstream runs at once.
	Slots int `json:"sl,omitempty"`
	// Connections is how many connections the upstream accepts.
	Connections int       `json:"c,omitempty"`
	JoinedAt    time.Time `json:"j"`
	Draining    bool      `json:"d,omitempty"`
}

// Record is a membership record of the log: Join, Leave or Evict.
type Record interface{ membershipRecord() }

// Join announces a member; a second Join of the same incarnation updates it.
type Join struct{ Member Member }

// Leave is the last record of a planned stop.
type Leave struct{ ID Identity }

// Evict removes an incarnation that its peers found dead. It says nothing
// about the process: one that still runs must join with a new incarnation.
type Evict struct {
	ID Identity
	By Identity
}

func (Join) membershipRecord()  {}
func (Leave) membershipRecord() {}
func (Evict) membershipRecord() {}
