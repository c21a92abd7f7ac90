package fleet

import "github.com/galenagrade/galenagrade/internal/routing"

// History is what a node knows of the processes of its upstream that must survive the node's own
// process: a departure is acknowledged to an upstream once, and binds the next process of the node too.
type History struct {
	// Process is the last known process of the upstream; its ID is empty if none is known.
	Process routing.Process
	// Left is true if Process accepts no new work.
	Left bool
	// Predecessors are other processes whose reports must be ignored and can't be recognised by their
	// start time, oldest first.
	Predecessors []routing.Process
}

// maxPublishedPredecessors bounds History.Predecessors. A report is delayed by seconds, in which an
// upstream restarts a few times at most.
const maxPublishedPredecessors = 4

// History returns what must survive the node's process.
func (u *LocalUpstream) History() History {
	h := History{Process: u.latest.process(), Left: u.left}
	for _, p := range u.predecessors {
		if p.StartedAt == 0 || p.StartedAt > h.Process.StartedAt {
			h.Predecessors = append(h.Predecessors, p)
		}
	}
	h.Predecessors = h.Predecessors[max(0, len(h.Predecessors)-maxPublishedPredecessors):]
	return h
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
		u.latest = Report{ID: h.Process.ID, StartedAt: h.Process.StartedAt}
		u.known, u.restored, u.left = true, true, left
		return u.leftIf(left)
	case h.Process == u.latest.process():
		changed := left && !u.left
		u.left = u.left || left
		return u.leftIf(changed)
	case h.Process.StartedAt > u.latest.StartedAt:
		// What was taken for the current process is a delayed report of an earlier one.
		served := u.Heard() && !u.left
		u.addPredecessor(u.latest.process())
		u.latest = Report{ID: h.Process.ID, StartedAt: h.Process.StartedAt}
		u.restored, u.adopted, u.left = true, false, left
		return u.leftIf(served || left)
	}
	u.addPredecessor(h.Process)
	return u.dropPredecessor()
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
