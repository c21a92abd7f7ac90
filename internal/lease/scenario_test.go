package lease

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/result"
)

// neutralChooser always chooses the middle value. It makes all clocks exact, all processes seem
// live, and messages arrive in order.
type neutralChooser struct{}

func (neutralChooser) intn(n int, _ string) int { return n / 2 }

// newStableWorld returns a world of three guards that has run until all slots have an owner.
func newStableWorld() *world {
	w := newWorld(neutralChooser{}, simConfig(), 3)
	w.instantDetection = true
	w.runFor(10 * time.Second)
	return w
}

// runFor lets each running guard read the log, plan and exchange messages every 100 ms.
func (w *world) runFor(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += 100 * time.Millisecond {
		for _, p := range w.processes {
			w.readLog(p)
			w.deliverAll()
			w.sendHead(p)
			if !p.paused {
				w.plan(p)
			}
			w.deliverAll()
		}
	}
}

func (w *world) deliverAll() {
	for n := len(w.inFlight) + 10; n > 0 && len(w.inFlight) > 0; n-- {
		f := w.inFlight[0]
		w.inFlight = w.inFlight[1:]
		f()
	}
}

// slot0Owner returns the running guard that owns slot 0.
func (w *world) slot0Owner() *process {
	for _, p := range w.processes {
		if !p.paused && p.l.slots[0].owner == p.id {
			return p
		}
	}
	return nil
}

func (w *world) otherProcesses(p *process) []*process {
	return slices.DeleteFunc(slices.Clone(w.processes), func(q *process) bool { return q == p })
}

func (w *world) startCode(p *process, issued time.Time) result.Code {
	a := p.l.MayStart(w.local(p), 0, issued)
	if a.OK {
		return result.OK
	}
	return a.Refusal.Code
}

// Guards against a paused owner that starts a call on resuming, after another guard has taken over
// its slot.
func TestPausedOwnerResumesTooLate(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	auth := a.l.MayStart(w.local(a), 0, time.Time{})
	must.True(t, auth.OK)
	a.paused = true
	w.append(evict(a))
	w.runFor(5 * time.Second)
	b := w.slot0Owner()
	must.NotEq(t, a.id, b.id)
	must.Eq(t, result.OK, w.startCode(b, w.local(b)))
	a.paused = false
	must.False(t, w.local(a).Before(auth.Deadline))
	must.Eq(t, result.NoAuthority, w.startCode(a, w.local(a)))
}

// Guards against two owners of a slot after two concurrent takeovers: the first record must win.
func TestFirstOfTwoTakeoversWins(t *testing.T) {
	w := newWorld(neutralChooser{}, simConfig(), 2)
	w.deliverAll()
	for _, p := range w.processes {
		w.readLog(p)
		w.deliverAll()
		w.sendAppend(p.l.newTakeover(w.local(p), []int{0}).Record)
	}
	w.deliverAll()
	w.runFor(300 * time.Millisecond)
	must.Eq(t, result.OK, w.startCode(w.processes[0], time.Time{}))
	a := w.processes[1].l.MayStart(w.local(w.processes[1]), 0, time.Time{})
	must.Eq(t, result.OwnedElsewhere, a.Refusal.Code)
	must.Eq(t, w.processes[0].addr, a.Refusal.Owner)
}

// Guards against an owner in a partitioned zone that continues to start calls after another guard
// has taken over its slot.
func TestTakeoverDuringZonePartition(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	a.paused = true // it exchanges no messages with the others, but still receives calls
	w.append(evict(a))
	w.runFor(700 * time.Millisecond)
	must.Eq(t, result.OK, w.startCode(a, time.Time{}))
	for _, p := range w.otherProcesses(a) {
		must.NotEq(t, result.OK, w.startCode(p, w.local(p)))
	}
	w.runFor(5 * time.Second)
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
	b := w.slot0Owner()
	must.Eq(t, result.OK, w.startCode(b, w.local(b)))
	a.paused = false
	w.readLog(a)
	w.deliverAll()
	// The evict record of a stops this incarnation permanently.
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
	must.SliceEmpty(t, a.l.Plan(w.local(a), nil))
}

// Guards against refused calls during an outage of the log in which every other guard promises.
// The owner must continue until its last head observation is PromiseLimit old, and not longer.
func TestLogOutageWithAllPromises(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	w.logDown = true
	for range 40 {
		w.runFor(100 * time.Millisecond)
		must.Eq(t, result.OK, w.startCode(a, time.Time{}))
	}
	w.runFor(2 * time.Second)
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
	w.logDown = false
	w.runFor(time.Second)
	must.Eq(t, result.OK, w.startCode(w.slot0Owner(), time.Time{}))
}

// Guards against an owner that continues during an outage of the log while one guard does not
// respond. That guard may be taking over the slots through a log that only it can reach, so the
// owner must refuse calls.
func TestLogOutageWithOnePromiseMissing(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	w.otherProcesses(a)[0].paused = true
	w.logDown = true
	w.runFor(1500 * time.Millisecond)
	must.Eq(t, result.NoAuthority, w.startCode(a, time.Time{}))
}

// Guards against an owner that refuses calls because a stopped incarnation cannot promise any
// more.
func TestNewerIncarnationPromises(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	w.logDown = true
	w.runFor(600 * time.Millisecond)
	w.restart(w.otherProcesses(a)[0])
	for range 20 {
		w.runFor(100 * time.Millisecond)
		must.Eq(t, result.OK, w.startCode(a, time.Time{}))
	}
}

// Guards against a resend after the owner's crash that is run again, or is refused as if the call
// had not run.
func TestCrashThenResendIsUnknown(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	issued := w.local(a)
	must.Eq(t, result.OK, w.startCode(a, issued))
	w.restart(a)
	w.runFor(5 * time.Second)
	b := w.slot0Owner()
	must.Eq(t, result.OutcomeUnknown, w.startCode(b, issued))
	must.Eq(t, result.OutcomeUnknown, w.startCode(b, time.Time{}))
	// An issue time that is ahead by more than the skew bound does not prove that the key is new.
	must.Eq(t, result.OutcomeUnknown, w.startCode(b, w.local(b).Add(3*time.Second)))
	w.runFor(1500 * time.Millisecond)
	must.Eq(t, result.OK, w.startCode(w.slot0Owner(), w.local(w.slot0Owner())))
	w.runFor(simConfig().ResendHorizon)
	must.Eq(t, result.OK, w.startCode(w.slot0Owner(), time.Time{}))
}

// Guards against unknown outcomes after a planned stop of the owner's VM. Its keys go to another
// guard before the takeover record is appended.
func TestPlannedStopLeavesNothingUnknown(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	w.keys = []*simKey{{}}
	a.memory[0] = true
	w.stop(a)
	w.runFor(600 * time.Millisecond)
	b := w.slot0Owner()
	must.NotEq(t, a.id, b.id)
	must.Eq(t, result.OK, w.startCode(b, time.Time{}))
	must.True(t, b.memory[0])
}

// Guards against a takeover whose wait is lost when the new owner hands the slot over.
func TestHandOverKeepsTheWait(t *testing.T) {
	w := newStableWorld()
	a := w.slot0Owner()
	b, c := w.otherProcesses(a)[0], w.otherProcesses(a)[1]
	a.paused = true
	w.append(b.l.newTakeover(w.local(b), []int{0}).Record)
	w.readLog(b)
	w.deliverAll()
	must.Eq(t, result.NoAuthority, w.startCode(b, w.local(b)))
	h := b.l.Release(w.local(b), c.addr, []int{0})
	must.Len(t, 1, h.Slots)
	must.True(t, c.l.ImportedHandOver(w.local(c), h))
	b.paused = true
	w.runFor(300 * time.Millisecond)
	must.Eq(t, c.id, w.slot0Owner().id)
	must.Eq(t, result.OK, w.startCode(a, time.Time{}))
	must.Eq(t, result.NoAuthority, w.startCode(c, w.local(c)))
	w.runFor(1200 * time.Millisecond)
	must.Eq(t, result.OutcomeUnknown, w.startCode(c, time.Time{}))
}
