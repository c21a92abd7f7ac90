package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// zone drives one detector a node with true clocks off by a phase each.
type zone struct {
	ids    []Identity
	ds     map[Identity]*Detector
	dead   map[Identity]bool
	cut    map[Identity]bool // messages to and from it are lost
	now    time.Time
	due    []timed
	evicts map[Identity]time.Time
	probes int
}

type timed struct {
	at time.Time
	f  func()
}

func newZone(n int, phase func(i int) time.Duration) *zone {
	z := &zone{ds: map[Identity]*Detector{}, dead: map[Identity]bool{}, cut: map[Identity]bool{}, now: epoch, evicts: map[Identity]time.Time{}}
	for i := range n {
		z.ids = append(z.ids, Identity{Node: fmt.Sprintf("n%03d", i), Incarnation: 1})
	}
	for i, id := range z.ids {
		d := NewDetector(DefaultDetectorConfig(), id)
		d.SetPeers(z.ids, z.ids[0])
		z.ds[id] = d
		z.after(phase(i), func() { z.tick(id) })
	}
	return z
}

func (z *zone) after(d time.Duration, f func()) {
	e := timed{z.now.Add(d), f}
	i, _ := slices.BinarySearchFunc(z.due, e, func(a, b timed) int {
		if a.at.After(b.at) {
			return 1
		}
		return -1
	})
	z.due = slices.Insert(z.due, i, e)
}

func (z *zone) run(d time.Duration) {
	end := z.now.Add(d)
	for len(z.due) > 0 && !z.due[0].at.After(end) {
		e := z.due[0]
		z.due = z.due[1:]
		z.now = e.at
		e.f()
	}
	z.now = end
}

func (z *zone) reach(a, b Identity) bool { return !z.dead[a] && !z.dead[b] && !z.cut[a] && !z.cut[b] }

func (z *zone) tick(id Identity) {
	if z.dead[id] {
		return
	}
	d := z.ds[id]
	z.after(time.Second, func() { z.tick(id) })
	for _, a := range d.Tick(z.now) {
		switch a := a.(type) {
		case Probe:
			z.probe(id, a.To)
		case Exchange:
			if z.reach(id, a.With) {
				back := z.ds[a.With].Findings(z.now)
				z.after(time.Millisecond, func() { z.ds[a.With].OnGossip(z.now, a.Findings) })
				z.after(2*time.Millisecond, func() { d.OnGossip(z.now, back) })
			}
		case EvictDue:
			if _, ok := z.evicts[a.ID]; !ok {
				z.evicts[a.ID] = z.now
			}
		}
	}
}

func (z *zone) probe(id, to Identity) {
	z.probes++
	d := z.ds[id]
	if z.reach(id, to) {
		z.after(2*time.Millisecond, func() { d.OnProbeReply(z.now, to) })
		return
	}
	z.after(400*time.Millisecond, func() {
		for _, a := range d.OnProbeTimeout(z.now, to) {
			via := a.(ProbeVia)
			ok := z.reach(id, via.Helper) && z.reach(via.Helper, to)
			z.after(399*time.Millisecond, func() { d.OnIndirect(z.now, to, ok) })
		}
	})
}

// Guards against a dead VM that goes unnoticed in a large zone, or a live one taken for dead.
func TestDeathIsFoundInBoundedTime(t *testing.T) {
	for _, n := range []int{2, 3, 5, 40, 400} {
		var worst time.Duration
		for moment := time.Duration(0); moment < time.Second; moment += time.Duration(250+2*n) * time.Millisecond {
			z := newZone(n, func(i int) time.Duration { return time.Duration(i*7919%1000) * time.Millisecond })
			z.run(time.Duration(5+min(600/n, 30))*time.Second + moment)
			must.MapEmpty(t, z.evicts)
			for _, id := range z.ids {
				must.Len(t, n, z.ds[id].Live(z.now))
			}
			victim, start, probes := z.ids[n-1], z.now, z.probes
			z.dead[victim] = true
			z.run(7 * time.Second)
			must.MapContainsKey(t, z.evicts, victim)
			must.MapLen(t, 1, z.evicts)
			must.LessEq(t, 7*(n-1), z.probes-probes)
			worst = max(worst, z.evicts[victim].Sub(start))
			z.run(3 * time.Second)
			for _, id := range z.ids[:n-1] {
				must.Eq(t, Dead, z.ds[id].Status(z.now, victim))
			}
		}
		t.Logf("zone of %d: evict due after at most %v", n, worst)
	}
}

// One node's link breaks. It hears nobody, and nobody may be declared dead by
// it; the others find it dead. When the link is back, all agree again.
func TestCutOffNodeAccusesNobody(t *testing.T) {
	z := newZone(12, func(i int) time.Duration { return time.Duration(i*83%1000) * time.Millisecond })
	z.run(5 * time.Second)
	lone := z.ids[4]
	z.cut[lone] = true
	z.run(30 * time.Second)
	must.True(t, z.ds[lone].Isolated())
	must.Eq(t, Dead, z.ds[z.ids[0]].Status(z.now, lone))
	must.MapLen(t, 1, z.evicts)
	for _, id := range z.ids {
		if id != lone {
			must.NotEq(t, Dead, z.ds[lone].Status(z.now, id))
		}
	}
	delete(z.cut, lone)
	z.run(20 * time.Second)
	for _, id := range z.ids {
		must.Len(t, 12, z.ds[id].Live(z.now))
	}
}

// A node restarts faster than it is missed. Its first answer carries a newer
// incarnation, and the old one is dead at once.
func TestNewerAnswerEndsTheOldLife(t *testing.T) {
	d := NewDetector(DefaultDetectorConfig(), Identity{"a", 1})
	d.SetPeers([]Identity{{"b", 1}}, Identity{"a", 1})
	d.OnProbeReply(epoch, Identity{"b", 2})
	must.Eq(t, Dead, d.Status(epoch, Identity{"b", 1}))
}

func BenchmarkTick400(b *testing.B) {
	z := newZone(400, func(int) time.Duration { return 0 })
	d := z.ds[z.ids[200]]
	now := epoch
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		d.Tick(now)
	}
}
