package timeline

import (
	"sync"
	"time"
)

// Ring stores the latest events of one process in a bounded ring buffer. Safe for concurrent use.
type Ring struct {
	node  string
	clock *Clock

	mu  sync.Mutex
	buf []Event
	// added is the number of events added so far, including evicted ones.
	added uint64
	// wake is closed and replaced when an event is added while waiting is set.
	wake chan struct{}
	// waiting reports whether Wait returned wake since it was last replaced.
	waiting bool
}

// NewRing returns a ring with a capacity of size events for a process. The clock must be the one
// that the process uses for the timestamps of its messages.
func NewRing(node string, size int, clock *Clock) *Ring {
	return &Ring{
		node:  node,
		clock: clock,
		buf:   make([]Event, max(1, size)),
		wake:  make(chan struct{}),
	}
}

// Add sets the timestamp of e and stores it. A full ring evicts the oldest event. The lock is held
// only for the copy of one event.
func (r *Ring) Add(now time.Time, e Event) { r.Put(now, e) }

// Put stores e like Add and returns the event as stored.
func (r *Ring) Put(now time.Time, e Event) Event {
	if e.Node == "" {
		e.Node = r.node
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.HLC = r.clock.Now(now)
	r.buf[r.added%uint64(len(r.buf))] = e
	r.added++
	if r.waiting {
		close(r.wake)
		r.wake = make(chan struct{})
		r.waiting = false
	}
	return e
}

// Clock returns the clock that supplies the timestamps of the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Cap returns the capacity of the ring in events.
func (r *Ring) Cap() int { return len(r.buf) }

// Len returns the number of events in the ring.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(min(r.added, uint64(len(r.buf))))
}

// Evicted returns the number of events evicted so far.
func (r *Ring) Evicted() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldestLocked()
}

// Events returns the stored events that match the filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	events, _, _ := r.Since(0, f)
	return events
}

// Since returns the events at position and later that match the filter, the position for the next
// call, and the number of events from position on that were evicted before this call. The position
// of an event is the number of events that were added before it.
func (r *Ring) Since(position uint64, f Filter) (events []Event, next, missed uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	from := max(position, r.oldestLocked())
	for i := from; i < r.added; i++ {
		e := &r.buf[i%uint64(len(r.buf))]
		if f.Match(e) {
			events = append(events, *e)
		}
	}
	return events, r.added, from - position
}

// Position returns the position of the next event to be added.
func (r *Ring) Position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added
}

// Wait returns a channel that is closed once the ring has received an event at position or later.
func (r *Ring) Wait(position uint64) <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.added > position {
		done := make(chan struct{})
		close(done)
		return done
	}
	r.waiting = true
	return r.wake
}

// oldestLocked returns the position of the oldest stored event.
func (r *Ring) oldestLocked() uint64 {
	if r.added <= uint64(len(r.buf)) {
		return 0
	}
	return r.added - uint64(len(r.buf))
}
