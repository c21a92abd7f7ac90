package node

import (
	"github.com/galenagrade/galenagrade/internal/dedup"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// maxRecalledSenders bounds the senders of which a guard knows the forgotten calls; each takes
	// some 100 bytes. It exceeds the nodes of a deployment, so that only ended processes are dropped.
	maxRecalledSenders = 1 << 14
	// maxAwaitedFirsts bounds the finished re-attachments that are kept until their first
	// transmission arrives.
	maxAwaitedFirsts = 1 << 10
)

// recall prevents a call that is not idempotent from running a second time after the guard has
// forgotten its ID. One of the two transmissions of a call can arrive at any time after the other: a
// process may have been paused, or the bytes waited in a connection.
type recall struct {
	// finished are the forgotten calls. Only a re-attachment is compared with it: a first
	// transmission may be overtaken by later calls of its sender.
	finished *dedup.Forgotten
	// reattached are the forgotten calls that arrived by a re-attachment, of which the first
	// transmission may still be under way.
	reattached *dedup.Forgotten
	// awaited are finished re-attachments whose first transmission may still arrive, oldest first.
	awaited []*execution
}

func newRecall() recall {
	return recall{
		finished:   dedup.NewForgotten(maxRecalledSenders),
		reattached: dedup.NewForgotten(maxRecalledSenders),
	}
}

// check returns a refusal for a call with an unknown ID that may have been here before.
func (r *recall) check(call *Call) *result.Refusal {
	switch {
	case call.Ctx.Idempotent:
		return nil
	case call.Reattach && r.finished.MayCover(call.Origin):
		return result.Refuse(result.LostAnswer, "the call may have run here, and its response is no longer stored")
	case !call.Reattach && r.reattached.Covers(call.Origin):
		return result.Refuse(result.LostAnswer, "the call may have run here by its second transmission")
	}
	return nil
}

// keep retains a finished re-attachment. It returns the oldest one if there are too many.
func (r *recall) keep(e *execution) (dropped *execution) {
	r.awaited = append(r.awaited, e)
	if len(r.awaited) <= maxAwaitedFirsts {
		return nil
	}
	dropped = r.awaited[0]
	r.awaited[0] = nil
	r.awaited = r.awaited[1:]
	return dropped
}

// forget records that the guard no longer knows the ID of a call.
func (r *recall) forget(call *finishedCall) {
	if call.idempotent {
		return
	}
	r.finished.Add(call.origin)
	if call.reattach {
		r.reattached.Add(call.origin)
	}
}

// finishedCall is what a guard keeps of the request of a finished call.
type finishedCall struct {
	id                   string
	origin               dedup.Origin
	idempotent, reattach bool
}

func finishedOf(call *Call) finishedCall {
	return finishedCall{id: call.Ctx.CallID, origin: call.Origin, idempotent: call.Ctx.Idempotent, reattach: call.Reattach}
}

// awaitsFirstTransmission reports whether the ID of the call must be kept, because its first
// transmission may arrive after the second one.
func (f *finishedCall) awaitsFirstTransmission() bool { return f.reattach && !f.idempotent }
