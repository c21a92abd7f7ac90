package timeline

import (
	"sync"
	"time"
)

// Ring keeps the latest events of one process in a bounded buffer. All methods
// may be called from several goroutines.
type Ring struct {
	node  string
	clock *Clock

	mu    sync.Mutex
	buf   []Event
	added uint64
	// wake is closed and replaced when a follower waits and an event comes.
	wake    chan struct{}
	waiting bool
}

// NewRing returns a ring of size events for a process. The clock is shared
// with whatever sends and receives timestamps.
func NewRing(node string, size int, clock *Clock) *Ring {
	return &Ring{
		node:  node,
		clock: clock,
		buf:   make([]Event, max(1, size)),
		wake:  make(chan struct{}),
	}
}

// Add stamps e at now and keeps it, pushing out the oldest when full. The
// lock is held for one copy.
func (r *Ring) Add(now time.Time, e Event) { r.Put(now, e) }

// Put is Add; it returns the event as it was stored.
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

// Clock returns the clock that stamps the events.
func (r *Ring) Clock() *Clock { return r.clock }

// Cap is the number of events kept.
func (r *Ring) Cap() int { return len(r.buf) }

// Len is the number of events in the ring.
func (r *Ring) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return int(min(r.added, uint64(len(r.buf))))
}

// Forgotten is the number of events pushed out so far.
func (r *Ring) Forgotten() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.oldestLocked()
}

// Events returns those that pass the filter, oldest first.
func (r *Ring) Events(f Filter) []Event {
	events, _, _ := r.Since(0, f)
	return events
}

// Since returns the events from position on that pass the filter, the position
// to go on from, and how many were pushed out before they could be read.
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

// Position is where Since starts to return only events yet to come.
func (r *Ring) Position() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.added
}

// Wait returns a channel that is closed once there is an event at position or
// later.
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

func (r *Ring) oldestLocked() uint64 {
	if r.added <= uint64(len(r.buf)) {
		return 0
	}
	return r.added - uint64(len(r.buf))
}
