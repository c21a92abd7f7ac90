package fleet

import (
	"slices"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// History is what a node knows of the processes of its upstream that must survive the node's own
// process: a departure is acknowledged to an upstream once, and binds the next process of the node too.
type History struct {
	// Process is the last known process of the upstream; its ID is empty if none is known.
	Process routing.Process
	// Left is true if Process accepts no new work.
	Left bool
	// Predecessors are other processes whose reports must be ignored, oldest first.
	Predecessors []routing.Process
}

// maxPublishedPredecessors bounds History.Predecessors. A report is delayed by seconds, in which an
// upstream restarts a few times at most.
const maxPublishedPredecessors = 4

// History returns what must survive the node's process.
func (u *LocalUpstream) History() History {
	published := u.predecessors[max(0, len(u.predecessors)-maxPublishedPredecessors):]
	return History{Process: u.latest.process(), Left: u.left, Predecessors: slices.Clone(published)}
}

// Restore adds what a previous process of the node knew. It returns Left if a process must not be
// served because of that.
func (u *LocalUpstream) Restore(h History) Change {
	for _, p := range h.Predecessors {
		u.addPredecessor(p)
	}
	left := h.Left || u.isPredecessor(h.Process)
	switch {
	case h.Process.ID == "":
		return u.dropPredecessor()
	case !u.known:
		u.restore(h.Process, left)
		return u.leftIf(left)
	case h.Process == u.latest.process():
		changed := left && !u.left
		u.left = u.left || left
		return u.leftIf(changed)
	case u.isPredecessor(u.latest.process()) || u.isLaterStart(h.Process):
		// What was taken for the current process is a delayed report of an earlier one.
		served := u.Heard() && !u.left
		u.addPredecessor(u.latest.process())
		u.restore(h.Process, left)
		return u.leftIf(served || left)
	}
	u.addPredecessor(h.Process)
	return u.dropPredecessor()
}

// restore makes a process the current one that has not reported since the node's start.
func (u *LocalUpstream) restore(p routing.Process, left bool) {
	u.latest = Report{ID: p.ID, StartedAt: p.StartedAt}
	u.known, u.restored, u.adopted, u.left = true, true, false, left
}

// isLaterStart reports whether p is a later start of the current process under the same ID.
func (u *LocalUpstream) isLaterStart(p routing.Process) bool {
	return p.ID == u.latest.ID && p.StartedAt > u.latest.StartedAt
}

// dropPredecessor ends the service of the current process if it is among the predecessors.
func (u *LocalUpstream) dropPredecessor() Change {
	if !u.known || u.left || !u.isPredecessor(u.latest.process()) {
		return Unchanged
	}
	u.left = true
	return Left
}

func (*LocalUpstream) leftIf(left bool) Change {
	if left {
		return Left
	}
	return Unchanged
}
