package admission

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// call is a request that runs or waits.
type call struct {
	request Request
	running bool
	// probe marks a call let through against the service time estimate.
	probe bool
	// above marks a deep call that took an idle slot from above the threshold.
	above bool
	// beside is how many calls ran when this one got its slot.
	beside int
	// seq breaks ties in order of arrival.
	seq uint64
	// expiry is when the wait ends without a slot.
	expiry time.Time
	// byDeadline says that expiry follows from the deadline, not the wait bound.
	byDeadline bool
	pos        [heapSlots]int
}

// classes is the number of classes of waiting calls: for each level the deep
// calls, on which work was already spent, and then the roots.
const classes = 2 * callctx.Levels

func classOf(level callctx.Level, depth int) int {
	if depth > 0 {
		return 2 * int(level)
	}
	return 2*int(level) + 1
}

// isRoot reports whether a class holds root calls.
func isRoot(class int) bool { return class%2 == 1 }

// older orders calls of a class: earlier roots first, then earlier deadlines.
func older(a, b *call) bool {
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

// queue holds the waiting calls. Every class can be taken from both ends, since
// the order of roots is reversed while newestFirst is set.
type queue struct {
	first, last [classes]indexedHeap
	expiry      indexedHeap
	// newestFirst is adaptive LIFO: under sustained overload the oldest roots
	// are the ones whose callers give up first, and serving in order of arrival
	// would answer every caller too late. Deep calls keep their order, since
	// the oldest of them carries most work.
	newestFirst bool
}

func newQueue() *queue {
	q := &queue{expiry: indexedHeap{slot: slotExpiry, less: expiresSooner}}
	for i := range classes {
		q.first[i] = indexedHeap{slot: slotFirst, less: older}
		q.last[i] = indexedHeap{slot: slotLast, less: newer}
	}
	return q
}

func (q *queue) len() int { return q.expiry.len() }

func (q *queue) push(c *call) {
	class := classOf(c.request.Level, c.request.Depth)
	q.first[class].push(c)
	q.last[class].push(c)
	q.expiry.push(c)
}

func (q *queue) remove(c *call) {
	class := classOf(c.request.Level, c.request.Depth)
	q.first[class].remove(c)
	q.last[class].remove(c)
	q.expiry.remove(c)
}

func (q *queue) reversed(class int) bool { return q.newestFirst && isRoot(class) }

// next returns the call to start next, nil when none waits.
func (q *queue) next() *call {
	for class := range classes {
		if q.first[class].len() == 0 {
			continue
		}
		if q.reversed(class) {
			return q.last[class].peek()
		}
		return q.first[class].peek()
	}
	return nil
}

// worst returns the call to give up first, nil when none waits.
func (q *queue) worst() *call {
	for class := classes - 1; class >= 0; class-- {
		if q.first[class].len() == 0 {
			continue
		}
		if q.reversed(class) {
			return q.first[class].peek()
		}
		return q.last[class].peek()
	}
	return nil
}

// before reports whether a goes ahead of b.
func (q *queue) before(a, b *call) bool {
	ca := classOf(a.request.Level, a.request.Depth)
	cb := classOf(b.request.Level, b.request.Depth)
	if ca != cb {
		return ca < cb
	}
	if q.reversed(ca) {
		return newer(a, b)
	}
	return older(a, b)
}

// ahead returns how many waiting calls a new one would have before it. A root
// that comes under newestFirst has none of its own class before it.
func (q *queue) ahead(level callctx.Level, depth int) int {
	class := classOf(level, depth)
	n := 0
	for i := range class {
		n += q.first[i].len()
	}
	if !q.reversed(class) {
		n += q.first[class].len()
	}
	return n
}

// expired returns a call whose wait has ended, nil when there is none.
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
