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

// step is the harness's time between two turns of every node.
const step = 100 * time.Millisecond

// planeWorld drives many planes, the log and the network in one goroutine.
type planeWorld struct {
	t       *testing.T
	now     time.Time
	entries []logstore.Entry
	heads   []headAt        // history of the log's end
	logCut  map[string]bool // by zone; "" cuts everyone
	cut     map[[2]string]bool
	nodes   []*planeNode
	reads   int
	// retention is the log's and the nodes'; what is older has expired.
	retention time.Duration
	oldest    int64
	version   map[string]int64 // newest configuration seen by node
}

type headAt struct {
	at   time.Time
	head int64
}

type planeNode struct {
	w     *planeWorld
	id    node.Identity
	plane *control.Plane
	up    bool
	side  string // where it is on the network; its zone unless moved
	asked *question
	next  int64 // strict order of what the follower got
	proof time.Time
	guard *quarantine.Tracker
}

type question struct {
	peer control.Peer
	sent time.Time
	q    *innerpb.ExchangeRequest
}

func newPlaneWorld(t *testing.T, perZone int, zones ...string) *planeWorld {
	w := &planeWorld{
		t: t, now: time.Unix(1_700_000_000, 0), logCut: map[string]bool{},
		cut: map[[2]string]bool{}, version: map[string]int64{}, retention: 24 * time.Hour,
	}
	w.startZones(perZone, zones...)
	return w
}

func (w *planeWorld) startZones(perZone int, zones ...string) {
	for _, z := range zones {
		for i := range perZone {
			w.start(fmt.Sprintf("%s-%d", z, i), z, 1)
		}
	}
}

func (w *planeWorld) start(name, zone string, incarnation uint64, seeds ...string) *planeNode {
	id := node.Identity{Node: name, Incarnation: incarnation, Region: "r", Zone: zone, InnerAddr: name + ":1"}
	rng := rand.New(rand.NewPCG(uint64(len(w.nodes)), incarnation))
	n := &planeNode{w: w, id: id, up: true, side: zone, guard: quarantine.New(quarantine.DefaultConfig())}
	n.plane = control.NewPlane(control.DefaultPlaneConfig(w.retention), id, seeds, rng, w.now)
	n.plane.SetFollower(n)
	n.plane.SetMember(membership.Member{
		Identity: membership.Identity{Node: name, Incarnation: incarnation}, Region: "r", Zone: zone,
		Service: "s", InnerAddr: id.InnerAddr, Slots: 10, JoinedAt: w.now.UTC(),
	})
	w.nodes = append(w.nodes, n)
	return n
}

// Applied checks that no entry is missed or comes twice.
func (n *planeNode) Applied(_ time.Time, entries []logstore.Entry) {
	for _, e := range entries {
		must.Eq(n.w.t, n.next, e.Offset, must.Sprint(n.id.Node))
		n.next++
	}
}

func (n *planeNode) Truncated() { n.next = n.w.oldest }

// ObserveHead checks that whatever was in the log at t0 lies below the head.
func (n *planeNode) ObserveHead(t0 time.Time, head int64) {
	must.GreaterEq(n.w.t, n.w.headAt(t0), head, must.Sprintf("%s: proof from %v", n.id.Node, n.w.now.Sub(t0)))
	n.proof = t0
}

func (w *planeWorld) headAt(t time.Time) int64 {
	var head int64
	for _, h := range w.heads {
		if h.at.Before(t) {
			head = h.head
		}
	}
	return head
}

func (w *planeWorld) append(rec logstore.Record) {
	w.entries = append(w.entries, logstore.Entry{Offset: int64(len(w.entries)), Record: rec})
	w.heads = append(w.heads, headAt{w.now, int64(len(w.entries))})
}

func (w *planeWorld) logUp(n *planeNode) bool { return !w.logCut[""] && !w.logCut[n.side] }

func (w *planeWorld) at(addr string) *planeNode {
	for _, n := range w.nodes {
		if n.up && n.id.InnerAddr == addr {
			return n
		}
	}
	return nil
}

// reach returns who answers at an address, nil when nobody does.
func (w *planeWorld) reach(from *planeNode, addr string) *planeNode {
	to := w.at(addr)
	if to == nil || w.cut[[2]string{from.side, to.side}] || w.cut[[2]string{to.side, from.side}] {
		return nil
	}
	return to
}

func (w *planeWorld) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(step)
		for int(w.oldest) < len(w.heads) && w.now.Sub(w.heads[w.oldest].at) > w.retention {
			w.oldest++
		}
		for _, n := range w.nodes {
			if n.up {
				n.turn()
			}
		}
	}
}

// until runs on and returns how long it took; it fails after limit.
func (w *planeWorld) until(limit time.Duration, what string, ok func() bool) time.Duration {
	start := w.now
	for !ok() {
		must.Less(w.t, limit, w.now.Sub(start), must.Sprint(what))
		w.run(step)
	}
	return w.now.Sub(start)
}

func (n *planeNode) turn() {
	w := n.w
	from, reads := n.plane.ReadFrom(w.now)
	if reads && !w.logUp(n) {
		n.plane.OnReadFailed()
	}
	if reads && w.logUp(n) && from < w.oldest {
		n.plane.OnTruncated(w.oldest)
	} else if reads && w.logUp(n) {
		w.reads++
		n.plane.OnPage(w.now, w.now, logstore.Page{
			Entries: w.entries[from:], Next: int64(len(w.entries)), Head: int64(len(w.entries)), Oldest: w.oldest,
		})
	}
	n.perform(n.plane.Tick(w.now))
	n.exchange()
	for _, peer := range n.plane.ReaderTargets(w.now) {
		n.ask(peer, 0)
	}
	for _, s := range n.plane.TakeCrashRecords() {
		n.guard.Merge(w.now, s)
	}
	n.plane.SetCrashRecords(w.now, n.guard.Snapshot(w.now))
	version := int64(n.plane.Policy().Version())
	if version == 0 {
		return // a starting node without configuration refuses calls
	}
	must.GreaterEq(w.t, w.version[n.id.Node], version, must.Sprint("configuration reverted"))
	w.version[n.id.Node] = version
}

func (n *planeNode) perform(actions []control.Action) {
	w := n.w
	for _, a := range actions {
		switch a := a.(type) {
		case control.AppendRecord:
			if w.logUp(n) {
				w.append(a.Record)
			}
		case control.SendProbe:
			to := w.reach(n, a.To.Addr)
			var from membership.Identity
			if to != nil {
				from = to.identity()
			}
			n.perform(n.plane.OnProbe(w.now, a.To.ID, from, to != nil))
		case control.SendProbeVia:
			n.plane.OnProbeVia(w.now, a.Target.ID, n.via(a.Helper, a.Target))
		case control.CheckEvict:
			alive := false
			for _, h := range a.Helpers {
				alive = alive || n.via(h, a.Target)
			}
			n.perform(n.plane.OnEvictChecked(w.now, a.Target.ID, alive))
		}
	}
}

func (n *planeNode) identity() membership.Identity {
	return membership.Identity{Node: n.id.Node, Incarnation: n.id.Incarnation}
}

func (n *planeNode) via(helper, target control.Peer) bool {
	h := n.w.reach(n, helper.Addr)
	if h == nil {
		return false
	}
	to := n.w.reach(h, target.Addr)
	return to != nil && to.identity() == target.ID
}

// exchange holds one question at a peer, as the server does.
func (n *planeNode) exchange() {
	w := n.w
	if q := n.asked; q != nil {
		to := w.reach(n, q.peer.Addr)
		switch {
		case to == nil:
			if w.now.Sub(q.sent) > 2*time.Second {
				n.plane.OnRequestFailed(w.now, q.peer)
				n.asked = nil
			}
			return
		case n.plane.RequestDue():
		case to.plane.ResponseDue(w.now, q.sent, q.q):
			n.answered(to, q)
		default:
			return
		}
		n.asked = nil
	}
	if peer, ok := n.plane.NextExchange(w.now); ok {
		n.asked = n.ask(peer, 1500*time.Millisecond)
	}
}

// ask sends a question; with a hold of 0 it is answered at once.
func (n *planeNode) ask(peer control.Peer, hold time.Duration) *question {
	w := n.w
	q := &question{peer: peer, sent: w.now, q: n.plane.NewRequest(w.now, hold)}
	to := w.reach(n, peer.Addr)
	if to == nil {
		if w.at(peer.Addr) == nil {
			n.plane.OnRequestFailed(w.now, peer) // refused
			return nil
		}
		return q // lost on the way
	}
	to.plane.OnRequest(w.now, q.q)
	if hold > 0 {
		return q
	}
	n.answered(to, q)
	return nil
}

func (n *planeNode) answered(to *planeNode, q *question) {
	w := n.w
	if n.plane.OnResponse(w.now, q.sent, q.peer, to.plane.NewResponse(w.now, q.sent, q.q)) {
		state, err := to.plane.State(w.now)
		must.NoError(w.t, err)
		must.NoError(w.t, n.plane.OnState(w.now, state))
	}
}

// all reports whether f holds for every node that runs.
func (w *planeWorld) all(f func(n *planeNode) bool) bool {
	for _, n := range w.nodes {
		if n.up && !f(n) {
			return false
		}
	}
	return true
}

// routes reports whether n routes calls to a life of a node.
func (n *planeNode) routes(name string, incarnation uint64) bool {
	for _, e := range n.plane.Endpoints() {
		if e.Node == name && e.Incarnation == incarnation && !e.Draining {
			return true
		}
	}
	return false
}

func (w *planeWorld) settle() {
	w.until(20*time.Second, "all joined", func() bool {
		return w.all(func(n *planeNode) bool { return n.plane.Members().Len() == len(w.nodes) })
	})
	w.run(20 * time.Second)
}

func (w *planeWorld) named(name string) *planeNode {
	for _, n := range w.nodes {
		if n.id.Node == name && n.up {
			return n
		}
	}
	w.t.Fatalf("no node %s", name)
	return nil
}

func (w *planeWorld) leaders(zone string) (found []*planeNode) {
	for _, n := range w.nodes {
		if n.up && n.id.Zone == zone && n.plane.IsLeader() {
			found = append(found, n)
		}
	}
	return found
}

func (w *planeWorld) kinds(kind logstore.Kind) (count int) {
	for _, e := range w.entries {
		if e.Record.Kind == kind {
			count++
		}
	}
	return count
}
