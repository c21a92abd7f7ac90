package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/testclock"
)

// model is a deployment in virtual time whose callers ask for one workspace.
type model struct {
	*testclock.Clock
	rng       *rand.Rand
	limit     Limit
	tolerance Tolerance
	ring      *Ring
	nodes     []*modelNode
	// cutZone is cut off from the others; empty: none.
	cutZone string
	// asks is whether nodes ask each other.
	asks bool

	granted          []time.Time
	offered, refused int
	messages         int
}

type modelNode struct {
	Node
	ledger *Ledger
	// down and cut say that the node is not there, and that nobody reaches it.
	down, cut bool
	// left says that it is gone for good.
	left bool
}

const workspaceName = "north"

func newModel(seed uint64, zones, perZone int, limit Limit) *model {
	m := &model{
		Clock: testclock.New(time.Unix(1_000_000, 0)), rng: rand.New(rand.NewPCG(seed, 1)),
		limit: limit, tolerance: Tolerance{Window: 5 * time.Second, Overage: 0.1, Slack: 20}, asks: true,
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
		m.begin(n)
	}
	return m
}

// begin starts a process of the node.
func (m *model) begin(n *modelNode) {
	n.down = n.left
	n.ledger = NewLedger(n.Name, n.Zone)
	n.ledger.SetLimits(m.Now(), map[string]Limit{workspaceName: m.limit}, m.tolerance)
	n.ledger.SetRing(m.ring)
}

// restart ends the process of a node and starts another one.
func (m *model) restart(n *modelNode, after time.Duration) {
	n.down = true
	m.After(after, func() { m.begin(n) })
}

func (m *model) reaches(a, b *modelNode) bool {
	parted := a.Zone != b.Zone && (a.Zone == m.cutZone || b.Zone == m.cutZone)
	return !parted && !a.cut && !b.cut && !b.down
}

// request is one of a caller at a node.
func (m *model) request(n *modelNode) {
	if n.down {
		return
	}
	m.offered++
	got := n.ledger.Take(m.Now(), workspaceName, m.rng.Float64(), func(string) bool { return false })
	if got.Granted || m.asks && m.ask(n, got.Ask) {
		m.granted = append(m.granted, m.Now())
		return
	}
	m.refused++
	n.ledger.Refuse(m.Now(), workspaceName, m.rng.Float64())
}

func (m *model) ask(n *modelNode, holders []Node) bool {
	for _, h := range holders {
		m.messages++
		i := slices.IndexFunc(m.nodes, func(o *modelNode) bool { return o.Name == h.Name })
		if !m.reaches(n, m.nodes[i]) {
			n.ledger.MarkUnresponsive(m.Now(), h.Name)
			continue
		}
		granted, next := m.nodes[i].ledger.Grant(m.Now(), workspaceName)
		if granted {
			n.ledger.Granted(workspaceName)
			return true
		}
		n.ledger.Empty(m.Now(), workspaceName, h.Name, next)
	}
	return false
}

// load lets callers ask at a rate, at any node that at chooses.
func (m *model) load(rate float64, at func() *modelNode) {
	m.After(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), func() {
		m.request(at())
		m.load(rate, at)
	})
}

func (m *model) anywhere() *modelNode { return m.nodes[m.rng.IntN(len(m.nodes))] }

// most returns the most requests granted in any window.
func (m *model) most() int {
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
