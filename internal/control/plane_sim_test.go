package control_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/control"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// step is the simulated time between two ticks of every node.
const step = 100 * time.Millisecond

// planeSim simulates many planes, the log and the network in one goroutine.
type planeSim struct {
	t           *testing.T
	now         time.Time
	entries     []logstore.Entry
	heads       []headChange       // history of the log's head
	logDown     map[string]bool    // by location; "" means every node
	partitioned map[[2]string]bool // pairs of locations without a connection
	nodes       []*planeNode
	reads       int
	// retention is the retention of the log, also configured in the nodes.
	retention time.Duration
	oldest    int64            // first offset that has not expired
	version   map[string]int64 // newest configuration version by node
}

// headChange is the head of the log from a time on.
type headChange struct {
	at   time.Time
	head int64
}

type planeNode struct {
	sim        *planeSim
	id         node.Identity
	plane      *control.Plane
	up         bool
	location   string // part of the network; the node's zone unless a test moves it
	pending    *pendingRequest
	next       int64 // offset of the next entry that the follower must receive
	headReadAt time.Time
	guard      *quarantine.Tracker
}

// pendingRequest is an exchange request that a peer holds.
type pendingRequest struct {
	peer control.Peer
	sent time.Time
	req  *innerpb.ExchangeRequest
}

func newPlaneSim(t *testing.T, perZone int, zones ...string) *planeSim {
	sim := &planeSim{
		t: t, now: time.Unix(1_700_000_000, 0), logDown: map[string]bool{},
		partitioned: map[[2]string]bool{}, version: map[string]int64{}, retention: 24 * time.Hour,
	}
	sim.startZones(perZone, zones...)
	return sim
}

func (sim *planeSim) startZones(perZone int, zones ...string) {
	for _, z := range zones {
		for i := range perZone {
			sim.start(fmt.Sprintf("%s-%d", z, i), z, 1)
		}
	}
}

func (sim *planeSim) start(name, zone string, incarnation uint64, seeds ...string) *planeNode {
	id := node.Identity{Node: name, Incarnation: incarnation, Region: "r", Zone: zone, InnerAddr: name + ":1"}
	rng := rand.New(rand.NewPCG(uint64(len(sim.nodes)), incarnation))
	n := &planeNode{sim: sim, id: id, up: true, location: zone, guard: quarantine.New(quarantine.DefaultConfig())}
	n.plane = control.NewPlane(control.DefaultPlaneConfig(sim.retention), id, seeds, rng, sim.now)
	n.plane.SetFollower(n)
	n.plane.SetMember(membership.Member{
		Identity: membership.Identity{Node: name, Incarnation: incarnation}, Region: "r", Zone: zone,
		Service: "s", InnerAddr: id.InnerAddr, Slots: 10, JoinedAt: sim.now.UTC(),
	})
	sim.nodes = append(sim.nodes, n)
	return n
}

// Applied checks that every entry is received exactly once and in order.
func (n *planeNode) Applied(_ time.Time, entries []logstore.Entry) {
	for _, e := range entries {
		must.Eq(n.sim.t, n.next, e.Offset, must.Sprint(n.id.Node))
		n.next++
	}
}

// Truncated implements control.Follower.
func (n *planeNode) Truncated() { n.next = n.sim.oldest }

// ObserveHead checks that every entry that was in the log at readAt has an offset below head.
func (n *planeNode) ObserveHead(readAt time.Time, head int64) {
	must.GreaterEq(n.sim.t, n.sim.headAt(readAt), head, must.Sprintf("%s: head observation with age %v", n.id.Node, n.sim.now.Sub(readAt)))
	n.headReadAt = readAt
}

// headAt returns the head of the log just before t.
func (sim *planeSim) headAt(t time.Time) int64 {
	var head int64
	for _, h := range sim.heads {
		if h.at.Before(t) {
			head = h.head
		}
	}
	return head
}

func (sim *planeSim) append(rec logstore.Record) {
	sim.entries = append(sim.entries, logstore.Entry{Offset: int64(len(sim.entries)), Record: rec})
	sim.heads = append(sim.heads, headChange{sim.now, int64(len(sim.entries))})
}

func (sim *planeSim) logUp(n *planeNode) bool { return !sim.logDown[""] && !sim.logDown[n.location] }

func (sim *planeSim) nodeAt(addr string) *planeNode {
	for _, n := range sim.nodes {
		if n.up && n.id.InnerAddr == addr {
			return n
		}
	}
	return nil
}

// reachable returns the running node at addr; nil if there is none or it cannot be reached from
// from.
func (sim *planeSim) reachable(from *planeNode, addr string) *planeNode {
	to := sim.nodeAt(addr)
	if to == nil || sim.partitioned[[2]string{from.location, to.location}] || sim.partitioned[[2]string{to.location, from.location}] {
		return nil
	}
	return to
}

// run advances the simulation by d.
func (sim *planeSim) run(d time.Duration) {
	for end := sim.now.Add(d); sim.now.Before(end); {
		sim.now = sim.now.Add(step)
		for int(sim.oldest) < len(sim.heads) && sim.now.Sub(sim.heads[sim.oldest].at) > sim.retention {
			sim.oldest++
		}
		for _, n := range sim.nodes {
			if n.up {
				n.tick()
			}
		}
	}
}

// waitUntil advances the simulation until ok returns true, and returns the simulated time that
// this took. It fails the test after limit.
func (sim *planeSim) waitUntil(limit time.Duration, condition string, ok func() bool) time.Duration {
	start := sim.now
	for !ok() {
		must.Less(sim.t, limit, sim.now.Sub(start), must.Sprint(condition))
		sim.run(step)
	}
	return sim.now.Sub(start)
}

// tick performs one step of a node: read, timers, exchange and crash records. It checks that the
// node's configuration is never reverted.
func (n *planeNode) tick() {
	sim := n.sim
	from, reads := n.plane.ReadFrom(sim.now)
	if reads && !sim.logUp(n) {
		n.plane.OnReadFailed()
	}
	if reads && sim.logUp(n) && from < sim.oldest {
		n.plane.OnTruncated(sim.oldest)
	} else if reads && sim.logUp(n) {
		sim.reads++
		n.plane.OnPage(sim.now, sim.now, logstore.Page{
			Entries: sim.entries[from:], Next: int64(len(sim.entries)), Head: int64(len(sim.entries)), Oldest: sim.oldest,
		})
	}
	n.perform(n.plane.Tick(sim.now))
	n.exchange()
	for _, peer := range n.plane.ReaderTargets(sim.now) {
		n.sendRequest(peer, 0)
	}
	for _, s := range n.plane.TakeCrashRecords() {
		n.guard.Merge(sim.now, s)
	}
	n.plane.SetCrashRecords(sim.now, n.guard.Snapshot(sim.now))
	version := int64(n.plane.Policy().Version())
	if version == 0 {
		return // a starting node without configuration rejects calls
	}
	must.GreaterEq(sim.t, sim.version[n.id.Node], version, must.Sprint("configuration reverted"))
	sim.version[n.id.Node] = version
}

func (n *planeNode) perform(actions []control.Action) {
	sim := n.sim
	for _, a := range actions {
		switch a := a.(type) {
		case control.AppendRecord:
			if sim.logUp(n) {
				sim.append(a.Record)
			}
		case control.SendProbe:
			to := sim.reachable(n, a.To.Addr)
			var from membership.Identity
			if to != nil {
				from = to.identity()
			}
			n.perform(n.plane.OnProbe(sim.now, a.To.ID, from, to != nil))
		case control.SendProbeVia:
			n.plane.OnProbeVia(sim.now, a.Target.ID, n.probeVia(a.Helper, a.Target))
		case control.CheckEvict:
			alive := false
			for _, h := range a.Helpers {
				alive = alive || n.probeVia(h, a.Target)
			}
			n.perform(n.plane.OnEvictChecked(sim.now, a.Target.ID, alive))
		}
	}
}

func (n *planeNode) identity() membership.Identity {
	return membership.Identity{Node: n.id.Node, Incarnation: n.id.Incarnation}
}

// probeVia reports whether helper reaches target.
func (n *planeNode) probeVia(helper, target control.Peer) bool {
	h := n.sim.reachable(n, helper.Addr)
	if h == nil {
		return false
	}
	to := n.sim.reachable(h, target.Addr)
	return to != nil && to.identity() == target.ID
}

// exchange keeps one exchange request held at a peer, as the server does.
func (n *planeNode) exchange() {
	sim := n.sim
	if pending := n.pending; pending != nil {
		to := sim.reachable(n, pending.peer.Addr)
		switch {
		case to == nil:
			if sim.now.Sub(pending.sent) > 2*time.Second {
				n.plane.OnRequestFailed(sim.now, pending.peer)
				n.pending = nil
			}
			return
		case n.plane.RequestDue():
		case to.plane.ResponseDue(sim.now, pending.sent, pending.req):
			n.deliverResponse(to, pending)
		default:
			return
		}
		n.pending = nil
	}
	if peer, ok := n.plane.NextExchange(sim.now); ok {
		n.pending = n.sendRequest(peer, 1500*time.Millisecond)
	}
}

// sendRequest sends an exchange request; with a hold of 0 the peer responds immediately.
func (n *planeNode) sendRequest(peer control.Peer, hold time.Duration) *pendingRequest {
	sim := n.sim
	pending := &pendingRequest{peer: peer, sent: sim.now, req: n.plane.NewRequest(sim.now, hold)}
	to := sim.reachable(n, peer.Addr)
	if to == nil {
		if sim.nodeAt(peer.Addr) == nil {
			n.plane.OnRequestFailed(sim.now, peer) // connection refused
			return nil
		}
		return pending // lost in the network
	}
	to.plane.OnRequest(sim.now, pending.req)
	if hold > 0 {
		return pending
	}
	n.deliverResponse(to, pending)
	return nil
}

// deliverResponse passes the response of to for the pending request to n, and the state of to if
// n requires it.
func (n *planeNode) deliverResponse(to *planeNode, pending *pendingRequest) {
	sim := n.sim
	if n.plane.OnResponse(sim.now, pending.sent, pending.peer, to.plane.NewResponse(sim.now, pending.sent, pending.req)) {
		state, err := to.plane.State(sim.now)
		must.NoError(sim.t, err)
		must.NoError(sim.t, n.plane.OnState(sim.now, state))
	}
}

// all reports whether f returns true for every running node.
func (sim *planeSim) all(f func(n *planeNode) bool) bool {
	for _, n := range sim.nodes {
		if n.up && !f(n) {
			return false
		}
	}
	return true
}

// routesTo reports whether n routes calls to the given incarnation of a node.
func (n *planeNode) routesTo(name string, incarnation uint64) bool {
	for _, e := range n.plane.Endpoints() {
		if e.Node == name && e.Incarnation == incarnation && !e.Draining {
			return true
		}
	}
	return false
}

// settle runs until every node lists all nodes as members, then for another 20 s.
func (sim *planeSim) settle() {
	sim.waitUntil(20*time.Second, "all nodes joined", func() bool {
		return sim.all(func(n *planeNode) bool { return n.plane.Members().Len() == len(sim.nodes) })
	})
	sim.run(20 * time.Second)
}

func (sim *planeSim) mustNode(name string) *planeNode {
	for _, n := range sim.nodes {
		if n.id.Node == name && n.up {
			return n
		}
	}
	sim.t.Fatalf("no node %s", name)
	return nil
}

func (sim *planeSim) leaders(zone string) (found []*planeNode) {
	for _, n := range sim.nodes {
		if n.up && n.id.Zone == zone && n.plane.IsLeader() {
			found = append(found, n)
		}
	}
	return found
}

func (sim *planeSim) countRecords(kind logstore.Kind) (count int) {
	for _, e := range sim.entries {
		if e.Record.Kind == kind {
			count++
		}
	}
	return count
}
