package fleet

import (
	"slices"
	"time"
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
)

// LocalUpstream tracks the current process of the upstream on the node's VM. A delayed report may
// arrive after its process has died and another one has replaced it; such a report must not make
// the dead process current again. It is not safe for concurrent use.
type LocalUpstream struct {
	latest Report
	known  bool
	left   bool
	// adopted is true for a process that was found running and has not reported yet, so that its
	// start time and sequence are unknown.
	adopted bool
	// predecessors are the earlier processes, oldest first. If upstreams do not report their
	// start time, this list is the only way to recognise reports of an old process.
	predecessors []process
}

// process identifies one process of an upstream.
type process struct {
	id        string
	startedAt int64 // Unix milliseconds
}

// maxPredecessors bounds the remembered processes. Reports are delayed by seconds, and an
// upstream restarts at most a few times in that period.
const maxPredecessors = 64

// Current returns the newest report and whether its process accepts work.
func (u *LocalUpstream) Current() (r Report, serving bool) {
	return u.latest, u.known && !u.left
}

// Adopt sets the current process to one that was found running before it reported. It returns
// false if a process has reported or was adopted before.
func (u *LocalUpstream) Adopt(r Report) bool {
	if u.known {
		return false
	}
	u.latest = r
	u.known = true
	u.adopted = true
	return true
}

// Apply applies a report and returns its effect.
func (u *LocalUpstream) Apply(r Report) Change {
	if u.adopted {
		u.adopted = false
		if r.ID == u.latest.ID {
			u.latest.StartedAt, u.latest.Sequence = r.StartedAt, r.Sequence-1
		}
	}
	if !u.known {
		return u.start(r)
	}
	if u.sameProcess(r) {
		return u.update(r)
	}
	if r.StartedAt < u.latest.StartedAt || slices.Contains(u.predecessors, process{r.ID, r.StartedAt}) {
		return Outdated
	}
	u.predecessors = append(u.predecessors, process{u.latest.ID, u.latest.StartedAt})
	u.predecessors = u.predecessors[max(0, len(u.predecessors)-maxPredecessors):]
	return u.start(r)
}

// sameProcess reports whether r comes from the current process. It compares the start time too,
// since a new process may use the ID of the old one.
func (u *LocalUpstream) sameProcess(r Report) bool {
	return r.ID == u.latest.ID && r.StartedAt == u.latest.StartedAt
}

func (u *LocalUpstream) start(r Report) Change {
	u.latest = r
	u.known = true
	u.left = r.Leaving
	if r.Leaving {
		return Left
	}
	return Started
}

func (u *LocalUpstream) update(r Report) Change {
	if r.Sequence <= u.latest.Sequence {
		return Outdated
	}
	before := u.latest
	u.latest = r
	if r.Leaving && !u.left {
		u.left = true
		return Left
	}
	// A process that left never accepts work again; only a new process does.
	if r.Slots != before.Slots || r.Address != before.Address {
		return Updated
	}
	return Unchanged
}

// Departed records that the process with this ID and start time has ended or is about to.
// startedAt is in Unix milliseconds; 0 if the start time was not reported.
func (u *LocalUpstream) Departed(id string, startedAt int64) Change {
	if !u.known || u.latest.ID != id || (startedAt != 0 && startedAt < u.latest.StartedAt) {
		return Outdated
	}
	if u.left {
		return Unchanged
	}
	if u.adopted && startedAt != 0 {
		// A later report with another start time is then recognised as one of the next process.
		u.latest.StartedAt, u.adopted = startedAt, false
	}
	u.left = true
	return Left
}
