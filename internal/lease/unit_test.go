package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/membership"
)

func evict(p *proc) membership.Evict { return membership.Evict{ID: p.id} }

func TestConfigValidate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.NoError(t, simConfig().Validate())
	c := DefaultConfig()
	c.Slots = 0
	must.ErrorContains(t, c.Validate(), "Slots = 0, must be from 1 to 4096")
}

// A promise must not be given by a guard that may already have taken the slot,
// or that has the memory to take it at once.
func TestPromiseRefused(t *testing.T) {
	w := calm()
	a := w.starter()
	b := w.others(a)[0]
	now := w.local(b)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{-1}))
	must.False(t, b.l.OnPromiseRequest(now, b.id, []int{0}))
	r := b.l.append(now, []int{0})
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	b.l.NotAppended(r.Record)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	must.True(t, b.l.ImportedHandOver(now, a.l.Release(now, b.addr, []int{0})))
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
}

// A guard that promised plans no takeover of the slot until the promise ends.
func TestPromiseHoldsPlanBack(t *testing.T) {
	w := calm()
	a := w.starter()
	b := w.others(a)[0]
	now := w.local(b)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	alone := map[Identity]bool{b.id: true}
	must.True(t, b.l.wants(now, 0, alone, true))
	must.SliceNotContains(t, b.l.wanted(now, []Identity{b.id}), 0)
	must.SliceContains(t, b.l.wanted(now.Add(simConfig().takeoverWait()), []Identity{b.id}), 0)
}

// A proof of a head beyond what was folded may hide a takeover.
func TestProofNeedsTheFold(t *testing.T) {
	w := calm()
	a := w.starter()
	end := w.local(a).Add(simConfig().Validity)
	a.l.Proof(w.local(a).Add(time.Millisecond), a.l.Next()+1)
	must.False(t, a.l.MayStart(end, 0, time.Time{}).OK)
}

func TestStateRestores(t *testing.T) {
	w := calm()
	a := w.starter()
	b, err := json.Marshal(a.l.State())
	must.NoError(t, err)
	var st State
	must.NoError(t, json.Unmarshal(b, &st))
	l := NewLessor(simConfig(), Options{Self: Identity{Node: "new", Incarnation: 99}})
	l.Restore(epoch, st)
	must.Eq(t, a.l.State(), l.State())
	id, addr, ok := l.Owner(0)
	must.True(t, ok)
	must.Eq(t, a.id, id)
	must.Eq(t, a.addr, addr)
}

// The log's oldest records are gone and with them the owner's. Its slot looks
// free, but is taken like a dead owner's: with the wait, and keys unknown.
func TestTruncatedLogHidesAnOwner(t *testing.T) {
	l := NewLessor(simConfig(), Options{Self: Identity{Node: "a", Incarnation: 1}, Addr: "a"})
	l.Truncated()
	l.Joined(epoch, 7, l.self, "a", true)
	l.Apply(epoch, 8, Takeover{Slots: []int{0}, By: l.self, Addr: "a", Folded: 8})
	l.Proof(epoch, 9)
	must.False(t, l.MayStart(epoch, 0, time.Time{}).OK)
	must.False(t, l.slots[0].unknownBefore.IsZero())
}

func BenchmarkMayStart(b *testing.B) {
	w := calm()
	a := w.starter()
	now := w.local(a)
	b.ReportAllocs()
	for b.Loop() {
		if !a.l.MayStart(now, 0, now).OK {
			b.Fatal("refused")
		}
	}
}

func BenchmarkPlanIdle(b *testing.B) {
	w := calm()
	a := w.starter()
	now := w.local(a)
	live := w.live()
	b.ReportAllocs()
	for b.Loop() {
		a.l.Plan(now, live)
	}
}
