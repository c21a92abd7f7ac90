package fleet

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// Report is a report of the upstream on the node's VM about itself.
type Report struct {
	// ID identifies the upstream. A new process of it may use the same ID.
	ID      string
	Service string
	// Address accepts requests, IP:port.
	Address string
	Zone    string
	// Version is the version of the upstream's software.
	Version string
	Slots   int
	// Leaving is true if the upstream accepts no new work.
	Leaving bool
	// StartedAt is the start time of the process in Unix milliseconds; 0 if the upstream does not
	// report it.
	StartedAt int64
	// Sequence increases with each report of one process.
	Sequence int64
	// ColdFor is the remaining time for which the process is slow after its start.
	ColdFor time.Duration
}

func (r *Report) process() routing.Process {
	return routing.Process{ID: r.ID, StartedAt: r.StartedAt}
}

// Change is the effect of a report on the state of the local upstream.
type Change int

const (
	// Unchanged: the report has no new information.
	Unchanged Change = iota
	// Outdated: the report is older than the current state and was ignored.
	Outdated
	// Started: another process accepts work from now on.
	Started
	// Left: the process accepts no new work from now on.
	Left
	// Updated: the slots or the address of the process changed.
	Updated
	// Noted: a process that is not the current one will not be taken into service.
	Noted
)

// LocalUpstream tracks the current process of the upstream on the node's VM. A delayed report may
// arrive after its process has left or died, and after the node itself was restarted; such a report
// must not make the process current again. It is not safe for concurrent use.
type LocalUpstream struct {
	latest Report
	known  bool
	left   bool
	// adopted is true for a process that was found running and has not reported yet, so that its
	// start time and sequence are unknown.
	adopted bool
	// restored is true for a process that is known from a History alone.
	restored bool
	// predecessors are processes that will not be current again, oldest first; each stands for all
	// processes with its ID that started no later. If upstreams do not report their start time, this
	// list is the only way to recognise reports of an old process.
	predecessors []routing.Process
}

// maxPredecessors bounds the remembered processes. Reports are delayed by seconds, and an
// upstream restarts at most a few times in that period.
const maxPredecessors = 64

// Current returns the newest report and whether its process accepts work.
func (u *LocalUpstream) Current() (r Report, serving bool) {
	return u.latest, u.known && !u.left && !u.restored
}

// Heard reports whether a process has reported, or was adopted, since the node's start.
func (u *LocalUpstream) Heard() bool { return u.known && !u.restored }

// Adoptable reports whether Adopt takes a process that was found running: none has reported or was
// adopted before, and this one has not left.
func (u *LocalUpstream) Adoptable(p routing.Process) bool {
	if u.Heard() || u.isPredecessor(p) {
		return false
	}
	return !u.known || (!u.left && p.ID == u.latest.ID)
}

// Adopt sets the current process to one that was found running before it reported. It returns
// false if the process is not adoptable.
func (u *LocalUpstream) Adopt(r Report) bool {
	if !u.Adoptable(r.process()) {
		return false
	}
	r.StartedAt = u.latest.StartedAt
	u.latest = r
	u.known = true
	u.restored = false
	u.adopted = true
	return true
}

// Apply applies a report and returns its effect.
func (u *LocalUpstream) Apply(r Report) Change {
	u.confirmAdopted(r)
	switch {
	case u.isPredecessor(r.process()):
		return Outdated
	case !u.known:
		return u.start(r)
	case u.sameProcess(r) && u.restored && !u.left:
		return u.start(r)
	case u.sameProcess(r):
		return u.update(r)
	case u.precedes(r.process()):
		return Outdated
	}
	u.addPredecessor(u.latest.process())
	return u.start(r)
}

// precedes reports whether a process started before the current one. Start times of different IDs are
// not compared with one that is known from a History alone: the VM may have been replaced by one with
// another clock.
func (u *LocalUpstream) precedes(p routing.Process) bool {
	comparable := !u.restored || p.ID == u.latest.ID
	return comparable && p.StartedAt < u.latest.StartedAt
}

// confirmAdopted completes an adopted process by its first report.
func (u *LocalUpstream) confirmAdopted(r Report) {
	if !u.adopted {
		return
	}
	u.adopted = false
	startKnown := u.latest.StartedAt != 0
	if r.ID == u.latest.ID && (!startKnown || r.StartedAt == u.latest.StartedAt) {
		u.latest.StartedAt, u.latest.Sequence = r.StartedAt, r.Sequence-1
	}
}

// sameProcess reports whether r comes from the current process. It compares the start time too,
// since a new process may use the ID of the old one.
func (u *LocalUpstream) sameProcess(r Report) bool { return r.process() == u.latest.process() }

func (u *LocalUpstream) isPredecessor(p routing.Process) bool {
	return slices.ContainsFunc(u.predecessors, func(q routing.Process) bool {
		return q.ID == p.ID && p.StartedAt <= q.StartedAt
	})
}

func (u *LocalUpstream) addPredecessor(p routing.Process) {
	sameID := slices.IndexFunc(u.predecessors, func(q routing.Process) bool { return q.ID == p.ID })
	if sameID >= 0 {
		u.predecessors[sameID].StartedAt = max(u.predecessors[sameID].StartedAt, p.StartedAt)
		return
	}
	u.predecessors = append(u.predecessors, p)
	u.predecessors = u.predecessors[max(0, len(u.predecessors)-maxPredecessors):]
}

func (u *LocalUpstream) start(r Report) Change {
	u.latest = r
	u.known = true
	u.restored = false
	u.left = r.Leaving
	if r.Leaving {
		return Left
	}
	return Started
}

// update applies a report of the current process. That it leaves is final, so it counts whatever the
// sequence: one of another writer may have been greater than those that follow.
func (u *LocalUpstream) update(r Report) Change {
	if r.Sequence <= u.latest.Sequence {
		if r.Leaving && !u.left {
			u.left = true
			return Left
		}
		return Outdated
	}
	before := u.latest
	u.latest = r
	if u.left {
		// A process that left never accepts work again; only a new process does.
		u.restored = false
		return Unchanged
	}
	if r.Leaving {
		u.left = true
		return Left
	}
	if r.Slots != before.Slots || r.Address != before.Address {
		return Updated
	}
	return Unchanged
}

// Departed records at a time that the process with this ID and start time has ended or is about to.
// startedAt is in Unix milliseconds; 0 if the start time was not reported.
func (u *LocalUpstream) Departed(at time.Time, id string, startedAt int64) Change {
	if u.known && u.latest.ID == id && (startedAt == 0 || startedAt >= u.latest.StartedAt) {
		if startedAt == 0 && (u.restored || u.adopted) {
			// The record may be of an earlier start under the same ID: none until now may serve.
			startedAt, u.restored = max(at.UnixMilli(), u.latest.StartedAt), true
		}
		return u.leave(startedAt)
	}
	if startedAt == 0 {
		startedAt = at.UnixMilli() // it started no later than that
	}
	process := routing.Process{ID: id, StartedAt: startedAt}
	if u.precedes(process) || u.isPredecessor(process) {
		return Outdated
	}
	// The process has not reported since the node's start, but a delayed report of it may arrive.
	u.addPredecessor(process)
	return Noted
}

// leave records that the current process accepts no new work.
func (u *LocalUpstream) leave(startedAt int64) Change {
	if startedAt != 0 {
		// A later report with another start time is then recognised as one of the next process.
		u.latest.StartedAt, u.adopted = startedAt, false
	}
	if u.left {
		return Unchanged
	}
	u.left = true
	return Left
}
