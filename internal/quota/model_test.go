package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/testclock"
)

// model simulates, in virtual time, the nodes of a deployment and the callers of one workspace.
type model struct {
	*testclock.Clock
	rng       *rand.Rand
	limit     Limit
	tolerance Tolerance
	ring      *Ring
	nodes     []*modelNode
	// partitionedZone is partitioned from the other zones; empty for none.
	partitionedZone string
	// requestsTokens enables token requests between nodes.
	requestsTokens bool

	granted          []time.Time
	offered, refused int
	messages         int
}

type modelNode struct {
	Node
	ledger *Ledger
	// down nodes have no running process; unreachable nodes are isolated from all other nodes.
	down, unreachable bool
	// removed nodes do not restart.
	removed bool
}

const workspaceName = "north"

func newModel(seed uint64, zones, perZone int, limit Limit) *model {
	m := &model{
		Clock: testclock.New(time.Unix(1_000_000, 0)), rng: rand.New(rand.NewPCG(seed, 1)),
		limit: limit, tolerance: Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, requestsTokens: true,
	}
	var all []Node
	for z := range zones {
		for i := range perZone {
			all = append(all, Node{Name: fmt.Sprintf("n-%d-%d", z, i), Zone: fmt.Sprintf("z%d", z)})
		}
	}
	m.ring = NewRing(all)
	for _, n := range all {
		m.nodes = append(m.nodes, &modelNode{Node: n})
	}
	for _, n := range m.nodes {
		m.startProcess(n)
	}
	return m
}

// startProcess starts a process on the node.
func (m *model) startProcess(n *modelNode) {
	n.down = n.removed
	n.ledger = NewLedger(n.Name, n.Zone)
	n.ledger.SetLimits(m.Now(), map[string]Limit{workspaceName: m.limit}, m.tolerance)
	n.ledger.SetRing(m.ring)
}

// restart stops the process of a node and starts another one after a delay.
func (m *model) restart(n *modelNode, after time.Duration) {
	n.down = true
	m.After(after, func() { m.startProcess(n) })
}

func (m *model) reaches(a, b *modelNode) bool {
	partitioned := a.Zone != b.Zone && (a.Zone == m.partitionedZone || b.Zone == m.partitionedZone)
	return !partitioned && !a.unreachable && !b.unreachable && !b.down
}

// request simulates a request of a caller at a node.
func (m *model) request(n *modelNode) {
	if n.down {
		return
	}
	m.offered++
	decision := n.ledger.Take(m.Now(), workspaceName, m.rng.Float64(), func(string) bool { return false })
	if decision.Granted || m.requestsTokens && m.requestToken(n, decision.Holders) {
		m.granted = append(m.granted, m.Now())
		return
	}
	m.refused++
	n.ledger.Refuse(m.Now(), workspaceName, m.rng.Float64())
}

// requestToken requests a token from the holders in turn.
func (m *model) requestToken(n *modelNode, holders []Node) bool {
	for _, h := range holders {
		m.messages++
		i := slices.IndexFunc(m.nodes, func(o *modelNode) bool { return o.Name == h.Name })
		if !m.reaches(n, m.nodes[i]) {
			n.ledger.MarkUnresponsive(m.Now(), h.Name)
			continue
		}
		granted, untilNext := m.nodes[i].ledger.Grant(m.Now(), workspaceName)
		if granted {
			n.ledger.RecordGrant(workspaceName)
			return true
		}
		n.ledger.MarkEmpty(m.Now(), workspaceName, h.Name, untilNext)
	}
	return false
}

// load sends requests at a rate, each to a node that pickNode returns.
func (m *model) load(rate float64, pickNode func() *modelNode) {
	m.After(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		m.request(pickNode())
		m.load(rate, pickNode)
	})
}

func (m *model) randomNode() *modelNode { return m.nodes[m.rng.IntN(len(m.nodes))] }

// maxInWindow returns the greatest number of requests granted in any window.
func (m *model) maxInWindow() int {
	most, from := 0, 0
	for to := range m.granted {
		for m.granted[to].Sub(m.granted[from]) >= m.tolerance.Window {
			from++
		}
		most = max(most, to-from+1)
	}
	return most
}

func (m *model) refusedShare() float64 { return float64(m.refused) / float64(max(m.offered, 1)) }
