// Package dedup remembers which calls a guard may have forgotten.
//
// A guard keeps the ID of a finished call for a limited time only, so that an unknown ID does not show
// that the call is new: a second transmission may arrive after any delay, for example after one of the
// two processes was paused. Senders therefore number their calls, and the guard keeps for each sender the
// highest number that it forgot. An unknown call with a higher number was never here. The decision
// compares no clocks.
//
// The package is pure: it does no I/O and reads no clock.
package dedup

// Sender is one process that sends calls. A restarted process numbers its calls from the start.
type Sender struct {
	// Node is the ID of the sending node.
	Node string
	// Incarnation distinguishes the processes of a node.
	Incarnation uint64
}

// Origin identifies a call by its sender and the sender's number of it.
type Origin struct {
	Sender Sender
	// Number increases with each call of the sender, from 1; 0 if the sender does not number its calls.
	Number uint64
}

// forgotten is what was forgotten of one sender.
type forgotten struct {
	highest uint64
	// addedAt is the value of Forgotten.adds after the last Add.
	addedAt uint64
}

// Forgotten holds the highest forgotten number of each sender. The zero value is not usable; it is not
// safe for concurrent use.
type Forgotten struct {
	maxSenders int
	senders    map[Sender]forgotten
	// adds counts the calls of Add, which orders senders by their last one.
	adds uint64
	// evicted is set once a sender was dropped to stay within maxSenders; evictedHighest is the
	// highest forgotten number of the dropped ones.
	evicted        bool
	evictedHighest uint64
}

// NewForgotten returns an empty set that holds at most maxSenders senders.
func NewForgotten(maxSenders int) *Forgotten {
	return &Forgotten{maxSenders: maxSenders, senders: make(map[Sender]forgotten)}
}

// Add records that the ID of a call is no longer kept.
func (f *Forgotten) Add(o Origin) {
	f.adds++
	entry, known := f.senders[o.Sender]
	if !known && len(f.senders) >= f.maxSenders {
		f.evictOldest()
	}
	f.senders[o.Sender] = forgotten{highest: max(entry.highest, o.Number), addedAt: f.adds}
}

// Covers reports whether a call may be among the forgotten ones of the senders that are still held.
func (f *Forgotten) Covers(o Origin) bool {
	entry, known := f.senders[o.Sender]
	return known && o.Number <= entry.highest
}

// MayCover is Covers, and also true if the call could belong to a sender that was dropped.
func (f *Forgotten) MayCover(o Origin) bool {
	return f.Covers(o) || (f.evicted && o.Number <= f.evictedHighest)
}

// evictOldest drops the sender whose last Add is longest ago, most likely an ended process.
func (f *Forgotten) evictOldest() {
	var oldest Sender
	oldestAt := f.adds
	for sender, entry := range f.senders {
		if entry.addedAt < oldestAt {
			oldest, oldestAt = sender, entry.addedAt
		}
	}
	f.evicted = true
	f.evictedHighest = max(f.evictedHighest, f.senders[oldest].highest)
	delete(f.senders, oldest)
}
