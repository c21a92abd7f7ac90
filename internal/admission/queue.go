package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// call is a running or waiting request.
type call struct {
	request Request
	running bool
	// probe marks a call that runs although the service time estimate predicts that it misses its
	// deadline.
	probe bool
	// aboveThreshold marks a call that took an idle slot although its rank is not below the
	// threshold.
	aboveThreshold bool
	// concurrentAtStart is the number of calls that were running when this one got its slot.
	concurrentAtStart int
	// seq is the arrival order and breaks ties.
	seq uint64
	// expiry is the time at which the call is refused if it has no slot.
	expiry time.Time
	// byDeadline is set if expiry follows from the deadline instead of the maximum wait.
	byDeadline bool
	heapIndex  [heapCount]int
}

// classes is the number of classes of waiting calls. Each level has one class for deep calls (depth
// above 0), on which work was already spent, followed by one for root calls.
const classes = 2 * callctx.Levels

func classOf(r *Request) int {
	if r.isRoot() {
		return 2*int(r.Level) + 1
	}
	return 2 * int(r.Level)
}

// isRoot reports whether class holds root calls.
func isRoot(class int) bool { return class%2 == 1 }

// older orders the calls of a class by the admission time of their root, then by deadline, then
// by arrival. Single calls with promised room come first: their caller waits for nothing else, and the
// room that they are promised bounds them.
func older(a, b *call) bool {
	if a.request.isPromisedSingle() != b.request.isPromisedSingle() {
		return a.request.isPromisedSingle()
	}
	if c := a.request.RootAdmitted.Compare(b.request.RootAdmitted); c != 0 {
		return c < 0
	}
	if c := a.request.Deadline.Compare(b.request.Deadline); c != 0 {
		return c < 0
	}
	return a.seq < b.seq
}

func newer(a, b *call) bool { return older(b, a) }

func expiresSooner(a, b *call) bool { return a.expiry.Before(b.expiry) }

// queue holds the waiting calls. Calls of each class can be taken from both ends, because the
// order of root calls is reversed while lifo is set.
type queue struct {
	byOldest, byNewest [classes]indexedHeap
	expiry             indexedHeap
	// lifo enables adaptive LIFO for root calls. Under sustained overload the callers of the oldest
	// root calls time out first, so FIFO order would answer every caller too late. Deep calls keep
	// FIFO order, because most work was spent on the oldest of them.
	lifo bool
}

func newQueue() *queue {
	q := &queue{expiry: indexedHeap{kind: heapExpiry, less: expiresSooner}}
	for i := range classes {
		q.byOldest[i] = indexedHeap{kind: heapOldest, less: older}
		q.byNewest[i] = indexedHeap{kind: heapNewest, less: newer}
	}
	return q
}

func (q *queue) len() int { return q.expiry.len() }

func (q *queue) push(c *call) {
	class := classOf(&c.request)
	q.byOldest[class].push(c)
	q.byNewest[class].push(c)
	q.expiry.push(c)
}

func (q *queue) remove(c *call) {
	class := classOf(&c.request)
	q.byOldest[class].remove(c)
	q.byNewest[class].remove(c)
	q.expiry.remove(c)
}

func (q *queue) reversed(class int) bool { return q.lifo && isRoot(class) }

// next returns the call to start next, or nil if none waits.
func (q *queue) next() *call {
	for class := range classes {
		if q.byOldest[class].len() == 0 {
			continue
		}
		if q.reversed(class) {
			return q.byNewest[class].peek()
		}
		return q.byOldest[class].peek()
	}
	return nil
}

// evictionCandidate returns the least important waiting call, or nil if none waits.
func (q *queue) evictionCandidate() *call {
	for class := classes - 1; class >= 0; class-- {
		if q.byOldest[class].len() == 0 {
			continue
		}
		if q.reversed(class) {
			return q.byOldest[class].peek()
		}
		return q.byNewest[class].peek()
	}
	return nil
}

// before reports whether a starts before b.
func (q *queue) before(a, b *call) bool {
	ca := classOf(&a.request)
	cb := classOf(&b.request)
	if ca != cb {
		return ca < cb
	}
	if q.reversed(ca) {
		return newer(a, b)
	}
	return older(a, b)
}

// countAhead returns the number of waiting calls that would start before a new one. With lifo
// set, a new root call starts before all others of its class.
func (q *queue) countAhead(r *Request) int {
	class := classOf(r)
	n := 0
	for i := range class {
		n += q.byOldest[i].len()
	}
	if !q.reversed(class) {
		n += q.byOldest[class].len()
	}
	return n
}

// expired returns a call whose wait has ended, or nil if there is none.
func (q *queue) expired(now time.Time) *call {
	if q.expiry.len() == 0 {
		return nil
	}
	c := q.expiry.peek()
	if now.Before(c.expiry) {
		return nil
	}
	return c
}
