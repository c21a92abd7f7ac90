package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// batch is what one read of a topic brought.
type batch struct {
	Items []Item `json:"items,omitempty"`
	// Next is the offset from which to read on.
	Next int64 `json:"next"`
	// AgeMillis is how long ago the sender of a page last knew that nothing newer was
	// in the store.
	AgeMillis int64 `json:"age_ms"`
	// Snapshot says that Items are the newest record of each key, and not what came after
	// an offset.
	Snapshot bool `json:"whole,omitempty"`
}

// maxFeedBytes bounds the records that a feed holds, keys and values: two of some 250 bytes
// for each of 412 nodes of a zone that are restarted within seconds. Counted in bytes,
// since one publication of many routes is some 100 KB: a thousand of them would fill the
// memory of a VM within a day of changes.
const maxFeedBytes = 256 << 10

var (
	// errFeedNotCurrent matches a question to a node that doesn't know what the store has
	// now: it lost the store, or is about to end.
	errFeedNotCurrent = errors.New("what the store has is not known here")
	// errNotBuffered matches a question for records that the feed holds no more.
	errNotBuffered = errors.New("records from this offset on are not held here")
)

// feed holds what the node read of a topic, for the nodes that read through it: the
// last records in their order, and the newest of each key for those that are behind or
// know nothing yet. Safe for concurrent use; the zero value has begun nothing.
type feed struct {
	mu            sync.Mutex
	batches       []feedBatch
	bufferedBytes int // bytes
	// start and next bound the offsets that are held.
	start, next int64
	// latest is the latest record of each key; nil where not all keys are known.
	latest map[string][]byte
	state  feedState
	// changed is closed at the next change.
	changed chan struct{}
}

// feedState is what a feed knows of the store.
type feedState int

const (
	// feedStarting is that of a node whose first read is under way.
	feedStarting feedState = iota
	feedCurrent
	feedStoreLost
	// feedClosed is that of a node that is about to end.
	feedClosed
)

// feedBatch is a page and the offset that it was read from.
type feedBatch struct {
	from int64
	batch
}

func (b *batch) bytes() (n int) {
	for i := range b.Items {
		n += len(b.Items[i].Key) + len(b.Items[i].Value)
	}
	return n
}

// add takes what was read from offset from on.
func (f *feed) add(from int64, b batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b.Snapshot || from != f.next {
		f.resetLocked(b)
	}
	f.mergeLocked(b.Items)
	if len(b.Items) > 0 && !b.Snapshot {
		f.bufferLocked(feedBatch{from, b})
	}
	changed := f.state != feedCurrent || b.Next != f.next
	f.next = b.Next
	if f.state != feedClosed {
		f.state = feedCurrent
	}
	if changed {
		f.notifyLocked()
	}
}

// resetLocked begins anew, with all keys where the page has them.
func (f *feed) resetLocked(b batch) {
	f.batches, f.bufferedBytes, f.latest = nil, 0, nil
	f.start = b.Next
	if b.Snapshot {
		f.latest = make(map[string][]byte, len(b.Items))
	}
}

func (f *feed) mergeLocked(items []Item) {
	if f.latest == nil {
		return
	}
	for _, item := range items {
		if len(item.Value) == 0 {
			delete(f.latest, item.Key)
			continue
		}
		f.latest[item.Key] = item.Value
	}
}

func (f *feed) bufferLocked(b feedBatch) {
	f.batches = append(f.batches, b)
	f.bufferedBytes += b.bytes()
	for f.bufferedBytes > maxFeedBytes {
		f.bufferedBytes -= f.batches[0].bytes()
		f.start = f.batches[0].Next
		f.batches[0] = feedBatch{}
		f.batches = f.batches[1:]
	}
}

// markStoreLost says that the store is not known any more; who waits is told at once, so that it
// asks elsewhere.
func (f *feed) markStoreLost() { f.setUnavailable(feedStoreLost) }

// close loses the store for good.
func (f *feed) close() { f.setUnavailable(feedClosed) }

func (f *feed) setUnavailable(state feedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != feedClosed {
		f.state = state
	}
	f.notifyLocked()
}

func (f *feed) notifyLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// readFrom returns what came readFrom offset from, or the newest record of each key where the
// records from there on are not held. With nothing there it waits up to wait, as for a
// first read that is under way; one that is patient waits for a lost store as well. Records
// before from may be among them. Who is ahead for
// all of the wait must ask the store: it may have begun its offsets anew.
func (f *feed) readFrom(ctx context.Context, from int64, wait time.Duration, waitForStore bool) (batch, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		b, changed, err := f.tryRead(from, waitForStore)
		if err != nil || changed == nil {
			return b, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.timeoutResult(from, wait)
		case <-ctx.Done():
			return batch{}, ctx.Err()
		}
	}
}

// tryRead returns what came after an offset, or what to wait for.
func (f *feed) tryRead(from int64, waitForStore bool) (b batch, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state == feedClosed || (f.state == feedStoreLost && !waitForStore):
		return batch{}, nil, errFeedNotCurrent
	case f.state != feedCurrent || (from >= f.start && from >= f.next):
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		return batch{}, f.changed, nil
	case from >= f.start:
		return f.recordsFromLocked(from), nil, nil
	case f.latest == nil:
		return batch{}, nil, errNotBuffered
	}
	return f.snapshotLocked(), nil, nil
}

func (f *feed) recordsFromLocked(from int64) batch {
	b := batch{Next: f.next}
	for _, buffered := range f.batches {
		if buffered.Next > from {
			b.Items = append(b.Items, buffered.Items...)
		}
	}
	return b
}

func (f *feed) snapshotLocked() batch {
	b := batch{Next: f.next, Snapshot: true, Items: make([]Item, 0, len(f.latest))}
	for key, value := range f.latest {
		b.Items = append(b.Items, Item{Key: key, Value: value})
	}
	return b
}

// timeoutResult is the answer to a question that waited so long for nothing. One that did
// not wait may be ahead for a moment.
func (f *feed) timeoutResult(from int64, waited time.Duration) (batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != feedCurrent {
		return batch{}, errFeedNotCurrent
	}
	if f.next < from && waited > 0 {
		return batch{}, errNotBuffered
	}
	return batch{Next: from}, nil
}
