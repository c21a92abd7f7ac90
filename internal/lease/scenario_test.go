package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// even makes every clock exact, every peer seem alive and no message overtake.
type even struct{}

func (even) intn(n int, _ string) int { return n / 2 }

// calm returns three guards that own the slots among them, after a while.
func calm() *world {
	w := newWorld(even{}, simConfig(), 3)
	w.informed = true
	w.settle(10 * time.Second)
	return w
}

// settle lets every awake guard read, plan and talk every 100 ms.
func (w *world) settle(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 100 * time.Millisecond {
		for _, p := range w.procs {
			w.read(p)
			w.flush()
			w.tellHead(p)
			if !p.paused {
				w.plan(p)
			}
			w.flush()
		}
	}
}

func (w *world) flush() {
	for n := len(w.bag) + 10; n > 0 && len(w.bag) > 0; n-- {
		f := w.bag[0]
		w.bag = w.bag[1:]
		f()
	}
}

// starter returns the awake guard that owns slot 0.
func (w *world) starter() *proc {
	for _, p := range w.procs {
		if !p.paused && p.l.slots[0].owner == p.id {
			return p
		}
	}
	return nil
}

func (w *world) others(p *proc) []*proc {
	return slices.DeleteFunc(slices.Clone(w.procs), func(q *proc) bool { return q == p })
}

func (w *world) code(p *proc, issued time.Time) result.Code {
	a := p.l.MayStart(w.local(p), 0, issued)
	if a.OK {
		return result.OK
	}
	return a.Refusal.Code
}

// Guards against a paused owner that starts a call after another guard took its slot over.
func TestPausedHolderWakesTooLate(t *testing.T) {
	w := calm()
	a := w.starter()
	auth := a.l.MayStart(w.local(a), 0, time.Time{})
	must.True(t, auth.OK)
	a.paused = true
	w.append(evict(a))
	w.settle(5 * time.Second)
	b := w.starter()
	must.NotEq(t, a.id, b.id)
	must.Eq(t, result.OK, w.code(b, w.local(b)))
	a.paused = false
	must.False(t, w.local(a).Before(auth.Deadline))
	must.Eq(t, result.NoAuthority, w.code(a, w.local(a)))
}

// Guards against two owners of a slot after two takeovers at once.
func TestTwoTakersFirstRecordWins(t *testing.T) {
	w := newWorld(even{}, simConfig(), 2)
	w.flush()
	for _, p := range w.procs {
		w.read(p)
		w.flush()
		w.send(p.l.append(w.local(p), []int{0}).Record)
	}
	w.flush()
	w.settle(300 * time.Millisecond)
	must.Eq(t, result.OK, w.code(w.procs[0], time.Time{}))
	a := w.procs[1].l.MayStart(w.local(w.procs[1]), 0, time.Time{})
	must.Eq(t, result.OwnedElsewhere, a.Refusal.Code)
	must.Eq(t, w.procs[0].addr, a.Refusal.Owner)
}

// Guards against an owner in a cut-off zone that goes on beside the one that took over.
func TestTakeoverDuringZoneCut(t *testing.T) {
	w := calm()
	a := w.starter()
	a.paused = true // nothing reaches it or leaves it; its callers still do
	w.append(evict(a))
	w.settle(700 * time.Millisecond)
	must.Eq(t, result.OK, w.code(a, time.Time{}))
	for _, p := range w.others(a) {
		must.NotEq(t, result.OK, w.code(p, w.local(p)))
	}
	w.settle(5 * time.Second)
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
	b := w.starter()
	must.Eq(t, result.OK, w.code(b, w.local(b)))
	a.paused = false
	w.read(a)
	w.flush()
	// Its own evict record stops this incarnation for good.
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
	must.SliceEmpty(t, a.l.Plan(w.local(a), nil))
}

// The log goes out for long. Every other guard promises, so callers notice
// nothing, until the last proof is PromiseLimit old.
func TestLogOutWithAllPromises(t *testing.T) {
	w := calm()
	a := w.starter()
	w.down = true
	for range 40 {
		w.settle(100 * time.Millisecond)
		must.Eq(t, result.OK, w.code(a, time.Time{}))
	}
	w.settle(2 * time.Second)
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
	w.down = false
	w.settle(time.Second)
	must.Eq(t, result.OK, w.code(w.starter(), time.Time{}))
}

// The log goes out and one guard is silent: it may be taking the slots over
// through a log that it alone can reach. The owner must lapse and say so.
func TestLogOutWithOnePromiseMissing(t *testing.T) {
	w := calm()
	a := w.starter()
	w.others(a)[0].paused = true
	w.down = true
	w.settle(1500 * time.Millisecond)
	must.Eq(t, result.NoAuthority, w.code(a, time.Time{}))
}

// Guards against an owner that stops because a dead incarnation can't promise any more.
func TestNewerIncarnationPromises(t *testing.T) {
	w := calm()
	a := w.starter()
	w.down = true
	w.settle(600 * time.Millisecond)
	w.restart(w.others(a)[0])
	for range 20 {
		w.settle(100 * time.Millisecond)
		must.Eq(t, result.OK, w.code(a, time.Time{}))
	}
}

// Guards against a resend after the owner's crash being run, or told that nothing ran.
func TestCrashThenResendIsUnknown(t *testing.T) {
	w := calm()
	a := w.starter()
	issued := w.local(a)
	must.Eq(t, result.OK, w.code(a, issued))
	w.restart(a)
	w.settle(5 * time.Second)
	b := w.starter()
	must.Eq(t, result.OutcomeUnknown, w.code(b, issued))
	must.Eq(t, result.OutcomeUnknown, w.code(b, time.Time{}))
	// A clock that is ahead by more than the bound shows nothing.
	must.Eq(t, result.OutcomeUnknown, w.code(b, w.local(b).Add(3*time.Second)))
	w.settle(1500 * time.Millisecond)
	must.Eq(t, result.OK, w.code(w.starter(), w.local(w.starter())))
	w.settle(simConfig().ResendHorizon)
	must.Eq(t, result.OK, w.code(w.starter(), time.Time{}))
}

// An operator stops the owner's VM. Its memory goes to another guard before
// the takeover record, so no caller ever reads "unknown".
func TestPlannedStopLeavesNothingUnknown(t *testing.T) {
	w := calm()
	a := w.starter()
	w.keys = []*simKey{{}}
	a.memory[0] = true
	w.stop(a)
	w.settle(600 * time.Millisecond)
	b := w.starter()
	must.NotEq(t, a.id, b.id)
	must.Eq(t, result.OK, w.code(b, time.Time{}))
	must.True(t, b.memory[0])
}

// Guards against a takeover whose wait is lost when its taker hands over.
func TestHandOverKeepsTheWait(t *testing.T) {
	w := calm()
	a := w.starter()
	b, c := w.others(a)[0], w.others(a)[1]
	a.paused = true
	w.append(b.l.append(w.local(b), []int{0}).Record)
	w.read(b)
	w.flush()
	must.Eq(t, result.NoAuthority, w.code(b, w.local(b)))
	h := b.l.Release(w.local(b), c.addr, []int{0})
	must.Len(t, 1, h.Slots)
	must.True(t, c.l.ImportedHandOver(w.local(c), h))
	b.paused = true
	w.settle(300 * time.Millisecond)
	must.Eq(t, c.id, w.starter().id)
	must.Eq(t, result.OK, w.code(a, time.Time{}))
	must.Eq(t, result.NoAuthority, w.code(c, w.local(c)))
	w.settle(1200 * time.Millisecond)
	must.Eq(t, result.OutcomeUnknown, w.code(c, time.Time{}))
}
