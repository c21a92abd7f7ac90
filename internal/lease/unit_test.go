package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/result"
)

func evict(p *proc) membership.Evict { return membership.Evict{ID: p.id} }

func TestConfigValidate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.NoError(t, simConfig().Validate())
	must.ErrorContains(t, Config{}.Validate(), "Slots = 0, must be from 1 to 4096")
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
	a.l.ObserveHead(w.local(a).Add(time.Millisecond), a.l.Next()+1)
	must.False(t, a.l.MayStart(end, 0, time.Time{}).OK)
}

// Guards against a newcomer that takes slots from an owner which does not know it yet.
func TestNewcomerWaitsForOwnersThatMayNotKnowIt(t *testing.T) {
	w := calm()
	a := w.starter()
	a.logOut = true
	b := w.others(a)[0]
	w.restart(b)
	b = w.others(a)[0]
	w.flush()
	w.read(b)
	w.flush()
	b.l.ObservePeerHead(w.others(a)[1].id, b.l.Next())
	must.False(t, b.l.Eligible(w.local(b)))
	b.l.Evicted(w.local(b), b.l.Next(), a.id)
	must.False(t, b.l.Eligible(w.local(b)))
	b.l.Plan(w.local(b).Add(simConfig().PromiseLimit), nil)
	must.False(t, b.l.Eligible(w.local(b)))
	must.True(t, b.l.Eligible(w.local(b).Add(2*simConfig().PromiseLimit)))
	b.l.Left(b.l.Next(), a.id)
	must.True(t, b.l.Eligible(w.local(b)))
}

// A key made after the taker read its record back, but before its effect, may
// have run at the old owner, whose proof was still young.
func TestKeyMadeDuringTheWaitIsUnknown(t *testing.T) {
	w := calm()
	a := w.starter()
	b := w.others(a)[0]
	a.paused = true
	w.append(b.l.append(w.local(b), []int{0}).Record)
	w.read(b)
	w.flush()
	wait := simConfig().takeoverWait()
	made := w.local(b).Add(wait - time.Millisecond)
	w.settle(wait)
	b.l.ObserveHead(w.local(b), b.l.Next())
	must.True(t, b.l.mayHaveRun(w.local(b), &b.l.slots[0], made.Add(simConfig().SkewBound)))
	must.False(t, b.l.mayHaveRun(w.local(b), &b.l.slots[0], made.Add(simConfig().SkewBound+2*time.Millisecond)))
}

// A promise covers what the asker owned when it asked, from whoever answered;
// the promise of a life that has ended binds its successor to nothing.
func TestPromiseCoversWhatWasAsked(t *testing.T) {
	w := calm()
	a := w.starter()
	w.down = true
	w.settle(1200 * time.Millisecond)
	must.Eq(t, result.OK, w.code(a, time.Time{}))
	b := w.others(a)[0]
	kept := a.l.promises[b.addr]
	a.l.promises[b.addr] = promise{by: Identity{Node: b.id.Node, Incarnation: 0}, t0: kept.t0}
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
	a.l.promises[b.addr] = kept
	a.l.slots[0].read = w.local(a)
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
}

// Guards against a takeover by an evicted guard, or by one that knew an outdated owner, taking effect.
func TestRecordsThatDoNotCount(t *testing.T) {
	w := calm()
	a := w.starter()
	b, l := w.others(a)[0], w.others(a)[1].l
	now := epoch.Add(time.Hour)
	by := func(id Identity, folded int64) Takeover {
		return Takeover{Slots: []int{0}, NewOwner: id, Folded: folded}
	}
	stale := l.Next()
	l.Apply(now, stale, by(a.id, stale)) // the owner writes its record again
	l.Apply(now, l.Next(), by(b.id, stale))
	must.Eq(t, a.id, l.slots[0].owner)
	l.received[0] = received{from: a.id, offset: stale - 1}
	l.Apply(now, l.Next(), by(l.self, l.Next()))
	must.Eq(t, now.Add(simConfig().takeoverWait()), l.slots[0].effective)
	l.Evicted(now, l.Next(), b.id)
	l.Apply(now, l.Next(), by(b.id, l.Next()))
	must.Eq(t, l.self, l.slots[0].owner)
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
	id, addr, _ := l.Owner(0)
	must.Eq(t, a.id, id)
	must.Eq(t, a.addr, addr)
}

// The log's oldest records are gone and with them the owner's. Its slot looks
// free, but is taken like a dead owner's: with the wait, and keys unknown.
func TestTruncatedLogHidesAnOwner(t *testing.T) {
	l := NewLessor(simConfig(), Options{Self: Identity{Node: "a", Incarnation: 1}, Addr: "a"})
	l.Truncated()
	l.Joined(epoch, 7, l.self, "a", true)
	l.Apply(epoch, 8, Takeover{Slots: []int{0}, NewOwner: l.self, Addr: "a", Folded: 8})
	l.ObserveHead(epoch, 9)
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
