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

// publish appends a valid configuration change, a template of the library, and returns the
// version that it produces.
func (sim *planeSim) publish(id string) int64 {
	t := policy.Library()[0]
	t.Name = "t-" + id
	pub := policy.Publication{ID: id, Author: "op", Template: &t}
	rec, err := pub.Record(sim.now)
	must.NoError(sim.t, err)
	sim.append(rec)
	return int64(len(sim.entries))
}

func (n *planeNode) hasVersion(version int64) bool {
	return int64(n.plane.Policy().Version()) >= version
}

// Guards against a configuration change that does not reach all nodes during a log outage,
// although the reader of one zone has read it before.
func TestConfigSpreadsThroughPeersDuringLogOutage(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	sim.settle()
	sim.logDown["b"], sim.logDown["c"] = true, true
	version := sim.publish("x")
	sim.waitUntil(time.Second, "zone a has read the change", func() bool { return sim.mustNode("a-0").hasVersion(version) })
	sim.logDown[""] = true
	took := sim.waitUntil(9*time.Second, "all nodes have the version", func() bool {
		return sim.all(func(n *planeNode) bool { return n.hasVersion(version) })
	})
	t.Logf("last node after %v", took)
}

// Guards against a number of log readers that grows with the number of nodes. Only the reader
// and the standby of each zone may read, and all nodes must still receive changes and head
// observations.
func TestTwoReadersPerZoneKeepAllNodesCurrent(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	sim.settle()
	sim.reads = 0
	sim.run(time.Second)
	must.Eq(t, 2*3*int(time.Second/step), sim.reads)
	version := sim.publish("x")
	took := sim.waitUntil(2*time.Second, "all nodes have the version", func() bool {
		return sim.all(func(n *planeNode) bool { return n.hasVersion(version) })
	})
	t.Logf("last node after %v", took)
	sim.run(time.Second)
	must.True(t, sim.all(func(n *planeNode) bool {
		age, ok := n.plane.HeadAge(sim.now)
		return ok && age < 2*time.Second
	}))
}

// Guards against a replaced VM that cannot serve until a log outage ends, or that decides claims
// before it has seen every record.
func TestNodeStartsFromSeedPeerDuringLogOutage(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	version := sim.publish("x")
	sim.settle()
	sim.logDown[""] = true
	sim.run(5 * time.Second)
	old := sim.mustNode("b-1")
	old.up = false
	n := sim.start("b-1", "b", 2, "a-0:1")
	took := sim.waitUntil(9*time.Second, "configured and routed to by all nodes", func() bool {
		return n.hasVersion(version) && sim.all(func(o *planeNode) bool { return o.routesTo("b-1", 2) })
	})
	t.Logf("known and configured after %v", took)
	sim.run(30 * time.Second)
	must.True(t, sim.all(func(o *planeNode) bool { return o.routesTo("b-1", 2) && !o.routesTo("b-1", 1) }))
	sim.logDown[""] = false
	sim.waitUntil(30*time.Second, "listed as a member by all nodes", func() bool {
		return sim.all(func(o *planeNode) bool { return o.plane.Members().Live(n.identity()) })
	})
	sim.run(2 * time.Second)
	must.True(t, n.plane.Complete())
}

// Guards against a key that is claimed successfully twice. The state of a peer contains no
// claims, so a node that adopted it must read all records before it decides claims.
func TestPeerStateDoesNotCompleteClaims(t *testing.T) {
	sim := newPlaneSim(t, 2, "a")
	raw, err := json.Marshal(idempotency.Claim{KeyHash: 7, Node: "a-0", Incarnation: 1})
	must.NoError(t, err)
	sim.settle()
	sim.append(logstore.Record{ID: "claim", Kind: logstore.KindClaim, At: sim.now, Body: raw})
	for i := range 5000 {
		sim.append(logstore.Record{ID: fmt.Sprint("fill", i), Kind: logstore.KindDrain, At: sim.now})
	}
	sim.run(2 * time.Second)
	sim.logDown[""] = true
	n := sim.start("a-2", "a", 1, "a-0:1")
	sim.run(5 * time.Second)
	must.Eq(t, 3, len(n.plane.Endpoints()))
	must.False(t, n.plane.Complete())
	sim.logDown[""] = false
	sim.waitUntil(15*time.Second, "has read the skipped records", n.plane.Complete)
	winner, ok := n.plane.Replica().Claim(7)
	must.True(t, ok)
	must.Eq(t, "a-0", winner.Node)
}

// Guards against owners that lose their authority because the reader of their zone fails and
// their head observations become too old.
func TestReaderFailureKeepsHeadAgeBounded(t *testing.T) {
	sim := newPlaneSim(t, 5, "a", "b")
	sim.settle()
	first := sim.leaders("a")
	must.Len(t, 1, first)
	first[0].up = false
	var worst time.Duration
	for range 200 {
		sim.run(step)
		for _, n := range sim.nodes {
			if n.up && n.id.Zone == "a" {
				age, _ := n.plane.HeadAge(sim.now)
				worst = max(worst, age)
			}
		}
	}
	t.Logf("oldest head observation in the zone %v", worst)
	must.Less(t, 3*time.Second, worst)
	must.Len(t, 1, sim.leaders("a"))
	version := sim.publish("x")
	sim.waitUntil(2*time.Second, "all nodes have the version", func() bool {
		return sim.all(func(n *planeNode) bool { return n.hasVersion(version) })
	})
}

// Guards against calls routed to a crashed VM, which sends no drain or leave record. Nodes of
// all zones must remove it from routing within seconds, and one of them must evict it.
func TestDeadNodeIsRemovedFromRouting(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	sim.settle()
	sim.mustNode("b-2").up = false
	took := sim.waitUntil(10*time.Second, "removed from routing in its zone", func() bool {
		return sim.all(func(n *planeNode) bool { return n.id.Zone != "b" || !n.routesTo("b-2", 1) })
	})
	t.Logf("own zone after %v", took)
	took += sim.waitUntil(10*time.Second, "removed from routing in all zones", func() bool {
		return sim.all(func(n *planeNode) bool { return !n.routesTo("b-2", 1) })
	})
	t.Logf("all zones after %v", took)
	must.Eq(t, 1, sim.countRecords(logstore.KindEvict))
}

// Guards against a partitioned zone without the log whose nodes evict members or revert to an
// older configuration, and against nodes that do not catch up after the partition.
func TestPartitionedZoneCatchesUpWithoutRevert(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	old := sim.publish("x")
	sim.settle()
	sim.logDown["c"] = true
	sim.partitioned[[2]string{"a", "c"}], sim.partitioned[[2]string{"b", "c"}] = true, true
	sim.run(time.Second)
	version := sim.publish("y")
	sim.run(5 * time.Minute)
	must.True(t, sim.mustNode("a-0").hasVersion(version))
	must.False(t, sim.mustNode("c-0").hasVersion(version))
	must.True(t, sim.mustNode("c-0").hasVersion(old))
	must.True(t, sim.all(func(n *planeNode) bool { return len(n.plane.Endpoints()) == 12 }))
	must.Eq(t, 0, sim.countRecords(logstore.KindEvict))
	clear(sim.partitioned)
	clear(sim.logDown)
	took := sim.waitUntil(9*time.Second, "all nodes have the version", func() bool {
		return sim.all(func(n *planeNode) bool { return n.hasVersion(version) })
	})
	t.Logf("after %v", took)
}

// Guards against the eviction of nodes that still serve. In a zone that is split into halves,
// each half considers the other one dead.
func TestSplitZoneEvictsNoMember(t *testing.T) {
	sim := newPlaneSim(t, 6, "a", "b")
	sim.settle()
	for _, i := range []int{3, 4, 5} {
		sim.mustNode(fmt.Sprintf("a-%d", i)).location = "a2"
	}
	sim.partitioned[[2]string{"a", "a2"}] = true
	sim.run(2 * time.Minute)
	must.Eq(t, 0, sim.countRecords(logstore.KindEvict))
	clear(sim.partitioned)
	sim.waitUntil(30*time.Second, "all nodes route to all nodes again", func() bool {
		return sim.all(func(n *planeNode) bool { return len(n.plane.Endpoints()) == 12 })
	})
}

// Guards against new work routed to a stopping node that cannot write its leave record because
// of a log outage.
func TestDrainReachesPeersDuringLogOutage(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	sim.settle()
	sim.logDown[""] = true
	sim.run(10 * time.Second)
	sim.mustNode("b-3").plane.StartDrain(sim.now)
	took := sim.waitUntil(2*time.Second, "no node routes to it", func() bool {
		return sim.all(func(n *planeNode) bool { return !n.routesTo("b-3", 1) })
	})
	t.Logf("after %v", took)
}

// Guards against configuration and members that are lost when their records expire in the log.
func TestConfigAndMembersOutliveLogRetention(t *testing.T) {
	sim := newPlaneSim(t, 0)
	sim.retention = 30 * time.Minute
	sim.startZones(2, "a", "b")
	version := sim.publish("x")
	sim.settle()
	sim.run(2 * sim.retention)
	must.Greater(t, version, sim.oldest)
	n := sim.start("a-9", "a", 1)
	sim.waitUntil(10*time.Second, "new node has configuration and members", func() bool {
		return n.hasVersion(version) && n.plane.Members().Len() == 5
	})
	_, known := n.plane.Policy().Template("t-x", 0)
	must.True(t, known)
	snapshots := sim.countRecords(logstore.KindSnapshot)
	t.Logf("%d snapshots, %d joins in an hour", snapshots, sim.countRecords(logstore.KindJoin))
	must.Between(t, 8, snapshots, 32)
}

// Guards against crash records, and the clearing of them, that reach only the zone of the crash.
// They are sent by gossip during a log outage, and must not be repeated endlessly.
func TestCrashRecordsAndClearingReachAllNodes(t *testing.T) {
	sim := newPlaneSim(t, 4, "a", "b", "c")
	sim.settle()
	sim.logDown[""] = true
	records := sim.mustNode("b-3").guard.Crashed(sim.now, "b-3", 1, []quarantine.Fingerprint{7})
	must.Len(t, 1, records)
	allKnow := func(cleared bool) func() bool {
		return func() bool {
			return sim.all(func(n *planeNode) bool {
				known := n.guard.Snapshot(sim.now)
				return len(known) == 1 && known[0].Cleared == cleared
			})
		}
	}
	t.Logf("known after %v", sim.waitUntil(2*time.Second, "all nodes have the crash record", allKnow(false)))
	records[0].Cleared = true
	must.True(t, sim.mustNode("c-2").guard.Merge(sim.now, records[0]))
	t.Logf("cleared after %v", sim.waitUntil(2*time.Second, "all nodes have the cleared record", allKnow(true)))
	before := sim.mustNode("a-0").plane.Updates()
	sim.run(20 * time.Second)
	must.Less(t, before+200, sim.mustNode("a-0").plane.Updates())
}
