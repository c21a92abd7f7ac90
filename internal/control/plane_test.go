package control_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/idempotency"
	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/policy"
	"github.com/galenagrade/galenagrade/internal/quarantine"
)

// publish appends an accepted configuration: a template of the library.
func (w *planeWorld) publish(id string) int64 {
	t := policy.Library()[0]
	t.Name = "t-" + id
	pub := policy.Publication{ID: id, Author: "op", Template: &t}
	rec, err := pub.Record(w.now)
	must.NoError(w.t, err)
	w.append(rec)
	return int64(len(w.entries))
}

func (n *planeNode) configured(version int64) bool {
	return int64(n.plane.Policy().Version()) >= version
}

// Guards against a change known to one zone's reader alone that waits for the log's return.
func TestConfigFollowsThroughPeersWithLogOut(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	w.settle()
	w.logCut["b"], w.logCut["c"] = true, true
	version := w.publish("x")
	w.until(time.Second, "zone a reads it", func() bool { return w.named("a-0").configured(version) })
	w.logCut[""] = true
	took := w.until(9*time.Second, "every node follows", func() bool {
		return w.all(func(n *planeNode) bool { return n.configured(version) })
	})
	t.Logf("last node after %v", took)
}

// Guards against readers of the log that grow with the number of nodes.
func TestFewReadTheLogAndAllFollow(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	w.settle()
	w.reads = 0
	w.run(time.Second)
	must.Eq(t, 2*3*int(time.Second/step), w.reads)
	version := w.publish("x")
	took := w.until(2*time.Second, "every node follows", func() bool {
		return w.all(func(n *planeNode) bool { return n.configured(version) })
	})
	t.Logf("last node after %v", took)
	w.run(time.Second)
	must.True(t, w.all(func(n *planeNode) bool {
		age, ok := n.plane.HeadAge(w.now)
		return ok && age < 2*time.Second
	}))
}

// Guards against a replaced VM that can't serve until the log is back, or decides claims too early.
func TestNodeStartsWithLogOutFromSeedPeer(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	version := w.publish("x")
	w.settle()
	w.logCut[""] = true
	w.run(5 * time.Second)
	old := w.named("b-1")
	old.up = false
	n := w.start("b-1", "b", 2, "a-0:1")
	took := w.until(9*time.Second, "serves everyone", func() bool {
		return n.configured(version) && w.all(func(o *planeNode) bool { return o.routes("b-1", 2) })
	})
	t.Logf("known and configured after %v", took)
	w.run(30 * time.Second)
	must.True(t, w.all(func(o *planeNode) bool { return o.routes("b-1", 2) && !o.routes("b-1", 1) }))
	w.logCut[""] = false
	w.until(30*time.Second, "joined in the log", func() bool {
		return w.all(func(o *planeNode) bool { return o.plane.Members().Live(n.identity()) })
	})
	w.run(2 * time.Second)
	must.True(t, n.plane.Whole())
}

// Guards against a key that wins twice because a peer's state lacked the first claim.
func TestStateOfPeerLeavesClaimsOpen(t *testing.T) {
	w := newPlaneWorld(t, 2, "a")
	raw, err := json.Marshal(idempotency.Claim{KeyHash: 7, Node: "a-0", Incarnation: 1})
	must.NoError(t, err)
	w.settle()
	w.append(logstore.Record{ID: "claim", Kind: logstore.KindClaim, At: w.now, Body: raw})
	for i := range 5000 {
		w.append(logstore.Record{ID: fmt.Sprint("fill", i), Kind: logstore.KindDrain, At: w.now})
	}
	w.run(2 * time.Second)
	w.logCut[""] = true
	n := w.start("a-2", "a", 1, "a-0:1")
	w.run(5 * time.Second)
	must.Eq(t, 3, len(n.plane.Endpoints()))
	must.False(t, n.plane.Whole())
	w.logCut[""] = false
	w.until(15*time.Second, "reads what it missed", n.plane.Whole)
	holder, ok := n.plane.Replica().Claim(7)
	must.True(t, ok)
	must.Eq(t, "a-0", holder.Node)
}

// Guards against owners of a zone losing their authority with the zone's reader.
func TestReaderDiesAndAnotherTakesOver(t *testing.T) {
	w := newPlaneWorld(t, 5, "a", "b")
	w.settle()
	first := w.leaders("a")
	must.Len(t, 1, first)
	first[0].up = false
	var worst time.Duration
	for range 200 {
		w.run(step)
		for _, n := range w.nodes {
			if n.up && n.id.Zone == "a" {
				age, _ := n.plane.HeadAge(w.now)
				worst = max(worst, age)
			}
		}
	}
	t.Logf("oldest proof in the zone %v", worst)
	must.Less(t, 3*time.Second, worst)
	must.Len(t, 1, w.leaders("a"))
	version := w.publish("x")
	w.until(2*time.Second, "the zone follows", func() bool {
		return w.all(func(n *planeNode) bool { return n.configured(version) })
	})
}

// A VM ends without a word. Calls must stop being sent to it within seconds,
// also from other zones, and its record goes. Cause: nobody announces a crash.
func TestDeadNodeLeavesRouting(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	w.settle()
	w.named("b-2").up = false
	took := w.until(10*time.Second, "left out of routing in its zone", func() bool {
		return w.all(func(n *planeNode) bool { return n.id.Zone != "b" || !n.routes("b-2", 1) })
	})
	t.Logf("own zone after %v", took)
	took += w.until(10*time.Second, "left out everywhere", func() bool {
		return w.all(func(n *planeNode) bool { return !n.routes("b-2", 1) })
	})
	t.Logf("all zones after %v", took)
	must.Eq(t, 1, w.kinds(logstore.KindEvict))
}

// Guards against a partitioned zone that evicts members, or goes back to an older configuration.
func TestPartitionedZoneRejoinsWithoutRevert(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	old := w.publish("x")
	w.settle()
	w.logCut["c"] = true
	w.cut[[2]string{"a", "c"}], w.cut[[2]string{"b", "c"}] = true, true
	w.run(time.Second)
	version := w.publish("y")
	w.run(5 * time.Minute)
	must.True(t, w.named("a-0").configured(version))
	must.False(t, w.named("c-0").configured(version))
	must.True(t, w.named("c-0").configured(old))
	must.True(t, w.all(func(n *planeNode) bool { return len(n.plane.Endpoints()) == 12 }))
	must.Eq(t, 0, w.kinds(logstore.KindEvict))
	clear(w.cut)
	clear(w.logCut)
	took := w.until(9*time.Second, "the zone follows", func() bool {
		return w.all(func(n *planeNode) bool { return n.configured(version) })
	})
	t.Logf("after %v", took)
}

// Guards against nodes evicted by their own half of a split zone although they serve.
func TestSplitZoneEvictsNobody(t *testing.T) {
	w := newPlaneWorld(t, 6, "a", "b")
	w.settle()
	for _, i := range []int{3, 4, 5} {
		w.named(fmt.Sprintf("a-%d", i)).side = "a2"
	}
	w.cut[[2]string{"a", "a2"}] = true
	w.run(2 * time.Minute)
	must.Eq(t, 0, w.kinds(logstore.KindEvict))
	clear(w.cut)
	w.until(30*time.Second, "all route to all again", func() bool {
		return w.all(func(n *planeNode) bool { return len(n.plane.Endpoints()) == 12 })
	})
}

// Guards against new work sent to a stopping node whose leave record can't be written.
func TestDrainReachesPeersWithLogOut(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	w.settle()
	w.logCut[""] = true
	w.run(10 * time.Second)
	w.named("b-3").plane.StartDrain(w.now)
	took := w.until(2*time.Second, "nobody sends it work", func() bool {
		return w.all(func(n *planeNode) bool { return !n.routes("b-3", 1) })
	})
	t.Logf("after %v", took)
}

// Guards against configuration and members that are lost when the log drops old records.
func TestNothingExpiresWithTheLog(t *testing.T) {
	w := newPlaneWorld(t, 0)
	w.retention = 30 * time.Minute
	w.startZones(2, "a", "b")
	version := w.publish("x")
	w.settle()
	w.run(2 * w.retention)
	must.Greater(t, version, w.oldest)
	n := w.start("a-9", "a", 1)
	w.until(10*time.Second, "configuration and members", func() bool {
		return n.configured(version) && n.plane.Members().Len() == 5
	})
	_, known := n.plane.Policy().Template("t-x", 0)
	must.True(t, known)
	snapshots := w.kinds(logstore.KindSnapshot)
	t.Logf("%d snapshots, %d joins in an hour", snapshots, w.kinds(logstore.KindJoin))
	must.Between(t, 8, snapshots, 32)
}

// Guards against suspicion of a crashing request that stays in the zone of the crash.
func TestSuspectsAndTheirClearingReachEveryone(t *testing.T) {
	w := newPlaneWorld(t, 4, "a", "b", "c")
	w.settle()
	w.logCut[""] = true
	records := w.named("b-3").guard.Crashed(w.now, "b-3", 1, []quarantine.Fingerprint{7})
	must.Len(t, 1, records)
	knows := func(cleared bool) func() bool {
		return func() bool {
			return w.all(func(n *planeNode) bool {
				known := n.guard.Snapshot(w.now)
				return len(known) == 1 && known[0].Cleared == cleared
			})
		}
	}
	t.Logf("known after %v", w.until(2*time.Second, "everyone knows", knows(false)))
	records[0].Cleared = true
	must.True(t, w.named("c-2").guard.Merge(w.now, records[0]))
	t.Logf("cleared after %v", w.until(2*time.Second, "everyone knows it is cleared", knows(true)))
	before := w.named("a-0").plane.Updates()
	w.run(20 * time.Second)
	must.Less(t, before+200, w.named("a-0").plane.Updates())
}
