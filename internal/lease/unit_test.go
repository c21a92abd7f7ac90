package lease

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/membership"
	"github.com/galenagrade/galenagrade/internal/result"
)

func evict(p *process) membership.Evict { return membership.Evict{ID: p.id} }

// Guards against a valid configuration that is rejected, or an invalid one that is accepted.
func TestConfigValidate(t *testing.T) {
	must.NoError(t, DefaultConfig().Validate())
	must.NoError(t, simConfig().Validate())
	must.ErrorContains(t, Config{}.Validate(), "Slots = 0, must be from 1 to 4096")
}

// Guards against a promise of a guard that may already have taken over the slot, or that has
// imported its keys and can take it over at once.
func TestPromiseRefused(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	b := w.otherProcesses(a)[0]
	now := w.local(b)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{-1}))
	must.False(t, b.l.OnPromiseRequest(now, b.id, []int{0}))
	r := b.l.newTakeover(now, []int{0})
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	b.l.NotAppended(r.Record)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	must.True(t, b.l.ImportedHandOver(now, a.l.Release(now, b.addr, []int{0})))
	must.False(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
}

// Guards against a guard that plans a takeover of a slot before its promise for that slot has
// expired.
func TestPromiseDelaysTakeover(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	b := w.otherProcesses(a)[0]
	now := w.local(b)
	must.True(t, b.l.OnPromiseRequest(now, a.id, []int{0}))
	onlyBAlive := map[Identity]bool{b.id: true}
	must.True(t, b.l.shouldTake(now, 0, onlyBAlive, true))
	must.SliceNotContains(t, b.l.slotsToTake(now, []Identity{b.id}), 0)
	must.SliceContains(t, b.l.slotsToTake(now.Add(simConfig().takeoverWait()), []Identity{b.id}), 0)
}

// Guards against authority from an observed head above the last folded record: a takeover may be
// in between.
func TestHeadObservationNeedsFoldedRecords(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	end := w.local(a).Add(simConfig().Validity)
	a.l.ObserveHead(w.local(a).Add(time.Millisecond), a.l.Next()+1)
	must.False(t, a.l.MayStart(end, 0, time.Time{}).OK)
}

// Guards against a new guard that takes over slots of an owner that does not know of it yet.
func TestNewGuardWaitsForOwnersThatMayNotKnowIt(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	a.logUnreachable = true
	b := w.otherProcesses(a)[0]
	w.restart(b)
	b = w.otherProcesses(a)[0]
	w.deliverAll()
	w.readLog(b)
	w.deliverAll()
	b.l.ObservePeerHead(w.otherProcesses(a)[1].id, b.l.Next())
	must.False(t, b.l.Eligible(w.local(b)))
	b.l.ApplyEvict(w.local(b), b.l.Next(), a.id)
	must.False(t, b.l.Eligible(w.local(b)))
	b.l.Plan(w.local(b).Add(simConfig().PromiseLimit), nil)
	must.False(t, b.l.Eligible(w.local(b)))
	must.True(t, b.l.Eligible(w.local(b).Add(2*simConfig().PromiseLimit)))
	b.l.ApplyLeave(b.l.Next(), a.id)
	must.True(t, b.l.Eligible(w.local(b)))
}

// Guards against a second run of a key that was issued after the takeover was read back but before
// it takes effect. The earlier owner may have run it, since its last head observation was still
// valid.
func TestKeyIssuedDuringTheWaitIsUnknown(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	b := w.otherProcesses(a)[0]
	a.paused = true
	w.append(b.l.newTakeover(w.local(b), []int{0}).Record)
	w.readLog(b)
	w.deliverAll()
	wait := simConfig().takeoverWait()
	issuedAt := w.local(b).Add(wait - time.Millisecond)
	w.runFor(wait)
	b.l.ObserveHead(w.local(b), b.l.Next())
	must.True(t, b.l.mayHaveRun(w.local(b), &b.l.slots[0], issuedAt.Add(simConfig().SkewBound)))
	must.False(t, b.l.mayHaveRun(w.local(b), &b.l.slots[0], issuedAt.Add(simConfig().SkewBound+2*time.Millisecond)))
}

// Guards against authority from a promise that does not cover the slot. A promise covers the slots
// that the requester owned when it sent the request. A promise of an earlier incarnation does not
// bind its successor.
func TestPromiseCoversOnlyRequestedSlots(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	w.logDown = true
	w.runFor(1200 * time.Millisecond)
	must.Eq(t, result.OK, w.startCode(a, time.Time{}))
	b := w.otherProcesses(a)[0]
	valid := a.l.receivedPromises[b.addr]
	a.l.receivedPromises[b.addr] = receivedPromise{from: Identity{Node: b.id.Node, Incarnation: 0}, requestedAt: valid.requestedAt}
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
	a.l.receivedPromises[b.addr] = valid
	a.l.slots[0].readAt = w.local(a)
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
}

// Guards against a takeover that takes effect although its guard was evicted or did not know the
// present owner.
func TestInvalidTakeoversAreIgnored(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	b, l := w.otherProcesses(a)[0], w.otherProcesses(a)[1].l
	now := epoch.Add(time.Hour)
	takeover := func(id Identity, folded int64) Takeover {
		return Takeover{Slots: []int{0}, NewOwner: id, Folded: folded}
	}
	stale := l.Next()
	l.ApplyTakeover(now, stale, takeover(a.id, stale)) // the owner repeats its record
	l.ApplyTakeover(now, l.Next(), takeover(b.id, stale))
	must.Eq(t, a.id, l.slots[0].owner)
	l.importedSlots[0] = importedSlot{from: a.id, offset: stale - 1}
	l.ApplyTakeover(now, l.Next(), takeover(l.self, l.Next()))
	must.Eq(t, now.Add(simConfig().takeoverWait()), l.slots[0].effectiveAt)
	l.ApplyEvict(now, l.Next(), b.id)
	l.ApplyTakeover(now, l.Next(), takeover(b.id, l.Next()))
	must.Eq(t, l.self, l.slots[0].owner)
}

// Guards against a fold that changes when it is stored and restored.
func TestStateRestores(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
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

// Guards against a slot that is taken over as free although its owner's record was dropped from
// the log. The takeover must wait, and the outcome of old keys must be unknown, as after a crash
// of an owner.
func TestTruncatedLogHidesAnOwner(t *testing.T) {
	l := NewLessor(simConfig(), Options{Self: Identity{Node: "a", Incarnation: 1}, Addr: "a"})
	l.Truncated()
	l.ApplyJoin(epoch, 7, l.self, "a", true)
	l.ApplyTakeover(epoch, 8, Takeover{Slots: []int{0}, NewOwner: l.self, Addr: "a", Folded: 8})
	l.ObserveHead(epoch, 9)
	must.False(t, l.MayStart(epoch, 0, time.Time{}).OK)
	must.False(t, l.slots[0].unknownBefore.IsZero())
}

// BenchmarkMayStart reports the cost of a decision with a recent head observation.
func BenchmarkMayStart(b *testing.B) {
	w := newStableWorld()
	a := w.slot0Owner()
	now := w.local(a)
	b.ReportAllocs()
	for b.Loop() {
		if !a.l.MayStart(now, 0, now).OK {
			b.Fatal("MayStart refused a call in a slot that the guard owns")
		}
	}
}
