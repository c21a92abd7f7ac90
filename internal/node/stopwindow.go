package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// stopResponseSlack is the time between the end that upstreams are given and the node's own answers:
	// the response of an upstream at its time limit still has to arrive.
	stopResponseSlack = 150 * time.Millisecond
	// restartTime is how long a stopped node takes to serve again.
	restartTime = time.Second
)

// StopWindow decides which requests a stopping node accepts. The zero value accepts all.
type StopWindow struct {
	// NoticedAt is when callers know that the node stops. From then on a request is accepted only if it
	// is expected to end before AnswerBy.
	NoticedAt time.Time
	// AnswerBy is when the node answers the requests that upstreams have not answered.
	AnswerBy time.Time
}

// FinishBy returns the time by which upstreams have to respond; zero if the node does not stop.
func (w StopWindow) FinishBy() time.Time {
	if w.AnswerBy.IsZero() {
		return time.Time{}
	}
	return w.AnswerBy.Add(-stopResponseSlack)
}

// Admit decides on a request of a caller. usual is the time within which nearly all such requests end; 0
// if it is not known. One that takes longer is ended by its upstream at FinishBy.
func (w StopWindow) Admit(now, deadline time.Time, usual time.Duration) *result.Refusal {
	if w.AnswerBy.IsZero() || now.Before(w.NoticedAt) {
		return nil
	}
	endsBy := deadline
	if expected := now.Add(usual); usual > 0 && expected.Before(endsBy) {
		endsBy = expected
	}
	if !endsBy.After(w.FinishBy()) {
		return nil
	}
	return result.Refuse(result.Draining, "the node stops, and the request may last beyond that").
		WithRetryAfter(max(0, w.AnswerBy.Sub(now)) + restartTime)
}

// Bound sets the time by which a call has to finish.
func (w StopWindow) Bound(call *Call) {
	if finishBy := w.FinishBy(); !finishBy.IsZero() && finishBy.Before(call.Ctx.Deadline) {
		call.FinishBy = finishBy
	}
}
