package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// simZone simulates a zone with one detector per node. The clocks are exact, and the ticks of each
// node have their own phase.
type simZone struct {
	ids         []Identity
	detectors   map[Identity]*Detector
	dead        map[Identity]bool
	partitioned map[Identity]bool // all messages to and from these nodes are lost
	now         time.Time
	events      []event
	evicts      map[Identity]time.Time
	probes      int
}

// event is a function that the simulation calls at a time.
type event struct {
	at time.Time
	f  func()
}

func newZone(n int, phase func(i int) time.Duration) *simZone {
	z := &simZone{detectors: map[Identity]*Detector{}, dead: map[Identity]bool{}, partitioned: map[Identity]bool{}, now: epoch, evicts: map[Identity]time.Time{}}
	for i := range n {
		z.ids = append(z.ids, Identity{Node: fmt.Sprintf("n%03d", i), Incarnation: 1})
	}
	for i, id := range z.ids {
		d := NewDetector(DefaultDetectorConfig(), id)
		d.SetPeers(z.ids, z.ids[0])
		z.detectors[id] = d
		z.after(phase(i), func() { z.tick(id) })
	}
	return z
}

func (z *simZone) after(d time.Duration, f func()) {
	e := event{z.now.Add(d), f}
	i, _ := slices.BinarySearchFunc(z.events, e, func(a, b event) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	z.events = slices.Insert(z.events, i, e)
}

func (z *simZone) run(d time.Duration) {
	end := z.now.Add(d)
	for len(z.events) > 0 && !z.events[0].at.After(end) {
		e := z.events[0]
		z.events = z.events[1:]
		z.now = e.at
		e.f()
	}
	z.now = end
}

func (z *simZone) reachable(a, b Identity) bool {
	return !z.dead[a] && !z.dead[b] && !z.partitioned[a] && !z.partitioned[b]
}

func (z *simZone) tick(id Identity) {
	if z.dead[id] {
		return
	}
	d := z.detectors[id]
	z.after(time.Second, func() { z.tick(id) })
	for _, a := range d.Tick(z.now) {
		switch a := a.(type) {
		case Probe:
			z.probe(id, a.To)
		case Exchange:
			if z.reachable(id, a.With) {
				parentFindings := z.detectors[a.With].Findings(z.now)
				z.after(time.Millisecond, func() { z.detectors[a.With].OnGossip(z.now, a.Findings) })
				z.after(2*time.Millisecond, func() { d.OnGossip(z.now, parentFindings) })
			}
		case EvictDue:
			if _, ok := z.evicts[a.ID]; !ok {
				z.evicts[a.ID] = z.now
			}
		}
	}
}

func (z *simZone) probe(id, to Identity) {
	z.probes++
	d := z.detectors[id]
	if z.reachable(id, to) {
		z.after(2*time.Millisecond, func() { d.OnProbeReply(z.now, to) })
		return
	}
	z.after(400*time.Millisecond, func() {
		for _, a := range d.OnProbeTimeout(z.now, to) {
			via := a.(ProbeVia)
			ok := z.reachable(id, via.Helper) && z.reachable(via.Helper, to)
			z.after(399*time.Millisecond, func() { d.OnIndirectProbe(z.now, to, ok) })
		}
	})
}

// Guards against a dead VM that is not detected in a large zone, and against a live VM that is
// declared dead.
func TestDeadNodeIsDetectedInBoundedTime(t *testing.T) {
	for _, n := range []int{2, 3, 5, 40, 400} {
		var worst time.Duration
		for killOffset := time.Duration(0); killOffset < time.Second; killOffset += time.Duration(250+2*n) * time.Millisecond {
			z := newZone(n, func(i int) time.Duration { return time.Duration(i*7919%1000) * time.Millisecond })
			z.run(time.Duration(5+min(600/n, 30))*time.Second + killOffset)
			must.MapEmpty(t, z.evicts)
			for _, id := range z.ids {
				must.Len(t, n, z.detectors[id].Live(z.now))
			}
			killed, start, probesBefore := z.ids[n-1], z.now, z.probes
			z.dead[killed] = true
			z.run(7 * time.Second)
			must.MapContainsKey(t, z.evicts, killed)
			must.MapLen(t, 1, z.evicts)
			must.LessEq(t, 7*(n-1), z.probes-probesBefore)
			worst = max(worst, z.evicts[killed].Sub(start))
			z.run(3 * time.Second)
			for _, id := range z.ids[:n-1] {
				must.Eq(t, Dead, z.detectors[id].Status(z.now, killed))
			}
		}
		t.Logf("zone of %d: evict due after at most %v", n, worst)
	}
}

// Guards against a node with a broken link that declares its peers dead. It gets no responses and
// must not evict any peer; the other nodes must find it dead. After the link is restored, all
// nodes must agree again.
func TestPartitionedNodeRecordsNoFindings(t *testing.T) {
	z := newZone(12, func(i int) time.Duration { return time.Duration(i*83%1000) * time.Millisecond })
	z.run(5 * time.Second)
	isolated := z.ids[4]
	z.partitioned[isolated] = true
	z.run(30 * time.Second)
	must.True(t, z.detectors[isolated].Isolated())
	must.Eq(t, Dead, z.detectors[z.ids[0]].Status(z.now, isolated))
	must.MapLen(t, 1, z.evicts)
	for _, id := range z.ids {
		if id != isolated {
			must.NotEq(t, Dead, z.detectors[isolated].Status(z.now, id))
		}
	}
	delete(z.partitioned, isolated)
	z.run(20 * time.Second)
	for _, id := range z.ids {
		must.Len(t, 12, z.detectors[id].Live(z.now))
	}
}

// Guards against an old incarnation that stays alive when its node restarts before the restart is
// detected. The first response of the new incarnation must end the old one at once.
func TestNewerIncarnationReplacesOld(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig(), Identity{"a", 1})
	d.SetPeers([]Identity{{"b", 1}}, Identity{"a", 1})
	d.OnProbeReply(epoch, Identity{"b", 2})
	must.Eq(t, Dead, d.Status(epoch, Identity{"b", 1}))
}

// BenchmarkTick400 reports the cost of a tick in a zone of 400 nodes.
func BenchmarkTick400(b *testing.B) {
	z := newZone(400, func(int) time.Duration { return 0 })
	d := z.detectors[z.ids[200]]
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		d.Tick(now)
	}
}
