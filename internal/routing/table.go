package routing

import (
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// Table is an immutable view of the endpoints known to one node.
type Table struct {
	cfg      Config
	self     Self
	services map[string][]*Target
	nodes    map[string]*Target
}

// NewTable makes a table. Targets of endpoints with the same node, incarnation
// and service are taken over from prev, which may be nil. One goroutine at a
// time may make tables; the others may go on using prev.
func NewTable(prev *Table, cfg Config, self Self, endpoints []Endpoint, now time.Time) *Table {
	t := &Table{cfg: cfg, self: self, services: map[string][]*Target{}, nodes: map[string]*Target{}}
	for _, ep := range endpoints {
		g := &Target{}
		g.endpoint.Store(&ep)
		t.services[ep.Service] = append(t.services[ep.Service], g)
		t.nodes[ep.Node] = g
	}
	return t
}

// Targets returns the targets of a service; the slice must not be changed.
func (t *Table) Targets(service string) []*Target { return t.services[service] }

// ByNode returns the target of a node, or nil.
func (t *Table) ByNode(node string) *Target { return t.nodes[node] }

// Pick chooses the target of a call. rng is used by one goroutine at a time.
// The refusal, when there is one, has the code NoUpstream, ShedEarly or
// Draining and is shared: it must not be changed.
func (t *Table) Pick(now time.Time, rng *rand.Rand, info PickInfo) (*Target, *result.Refusal) {
	all := t.services[info.Service]
	if len(all) == 0 {
		return nil, result.Refuse(result.NoUpstream, "service %q", info.Service)
	}
	return all[rng.IntN(len(all))], nil
}
