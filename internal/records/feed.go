package records

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Batch is the result of one read of a topic.
type Batch struct {
	Items []Item `json:"items,omitempty"`
	// Next is the offset of the next read.
	Next int64 `json:"next"`
	// AgeMillis is the time in milliseconds since the sender last knew that the store had
	// nothing newer.
	AgeMillis int64 `json:"age_ms"`
	// Snapshot reports whether Items are the newest record of each key rather than the records after
	// an offset.
	Snapshot bool `json:"whole,omitempty"`
}

// unknownAgeMillis is the age before the first read, and maxAgeMillis the greatest of all, some 30 years.
const unknownAgeMillis, maxAgeMillis = -1, 1 << 40

// Validate returns an error if the result of a read from an offset, by another node, can't be one. An
// offset that goes back would make the same records be read without end.
func (b *Batch) Validate(from int64) error {
	if b.Next < 0 || !b.Snapshot && b.Next < from || b.AgeMillis < unknownAgeMillis || b.AgeMillis > maxAgeMillis {
		return errors.Errorf("records from offset %d: next offset is %d, age %d ms, out of bounds", from, b.Next, b.AgeMillis)
	}
	return nil
}

// maxFeedBytes bounds the keys and values of the records that a feed buffers: 2 records of some
// 250 bytes for each of the 412 nodes of a zone that restart within seconds. The bound is in
// bytes rather than records because one publication of many routes takes some 100 KB: 1,000 of
// them would fill the memory of a VM within a day of changes.
const maxFeedBytes = 256 << 10

var (
	// errFeedNotCurrent is returned by a feed that does not know the current state of the store:
	// the store is lost, or the node is about to stop.
	errFeedNotCurrent = errors.New("this node does not know the current state of the store")
	// errNotBuffered is returned for an offset whose records the feed does not buffer: they were
	// dropped, or the offset is ahead of the feed.
	errNotBuffered = errors.New("records from this offset on are not buffered here")
)

// feed buffers what the node has read of a topic for the nodes that read through it: the latest
// records in order, and the newest record of each key for nodes that are behind or start from
// nothing. It is safe for concurrent use; the zero value is a feed whose first read is under
// way.
type feed struct {
	mu            sync.Mutex
	batches       []feedBatch
	bufferedBytes int
	// start and next bound the buffered offsets.
	start, next int64
	// latest is the newest record of each key; nil unless all keys are known.
	latest map[string][]byte
	state  feedState
	// discardUntilSnapshot is set until all keys of another store are read.
	discardUntilSnapshot bool
	// changed is closed at the next change; nil while no reader waits.
	changed chan struct{}
}

// feedState is the state of a feed relative to the store.
type feedState int

const (
	// feedStarting is the state until the first read succeeds.
	feedStarting feedState = iota
	feedCurrent
	feedStoreLost
	// feedClosed is the final state, set when the node is about to stop.
	feedClosed
)

// feedBatch is a batch with the offset that it was read from.
type feedBatch struct {
	from int64
	Batch
}

func (b *Batch) bytes() (n int) {
	for i := range b.Items {
		n += len(b.Items[i].Key) + len(b.Items[i].Value)
	}
	return n
}

// add appends a batch that was read from offset from.
func (f *feed) add(from int64, b Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.discardUntilSnapshot && !b.Snapshot {
		return
	}
	f.discardUntilSnapshot = false
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

// resetLocked drops the buffer and restarts it after b, with all keys if b is a snapshot.
func (f *feed) resetLocked(b Batch) {
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

// restart drops all records, since the node moves to another store, whose offsets are unrelated.
// Readers wait until all keys of that store are read.
func (f *feed) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.resetLocked(Batch{})
	f.next = 0
	f.discardUntilSnapshot = true
	if f.state != feedClosed {
		f.state = feedStarting
	}
	f.notifyLocked()
}

// markStoreLost marks the store as lost. Waiting readers fail at once, so that they read from
// another node.
func (f *feed) markStoreLost() { f.setUnavailable(feedStoreLost) }

// close makes all reads fail from now on. It is final.
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

// readFrom returns the records from offset from on, or the newest record of each key if those
// records are no longer buffered. The batch may include records before from. If the feed has no
// record at or after from, readFrom waits up to wait, also for a first read that is under way; with
// waitForStore it also waits for a lost store to return. A reader that is ahead of this feed for the
// whole wait gets errNotBuffered and must read the store: the store may have restarted its offsets.
func (f *feed) readFrom(ctx context.Context, from int64, wait time.Duration, waitForStore bool) (Batch, error) {
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
			return Batch{}, ctx.Err()
		}
	}
}

// tryRead returns the records from an offset on, or a channel that is closed at the next change.
func (f *feed) tryRead(from int64, waitForStore bool) (b Batch, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state == feedClosed || (f.state == feedStoreLost && !waitForStore):
		return Batch{}, nil, errFeedNotCurrent
	case f.state != feedCurrent || (from >= f.start && from >= f.next):
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		return Batch{}, f.changed, nil
	case from >= f.start:
		return f.recordsFromLocked(from), nil, nil
	case f.latest == nil:
		return Batch{}, nil, errNotBuffered
	}
	return f.snapshotLocked(), nil, nil
}

func (f *feed) recordsFromLocked(from int64) Batch {
	b := Batch{Next: f.next}
	for _, buffered := range f.batches {
		if buffered.Next > from {
			b.Items = append(b.Items, buffered.Items...)
		}
	}
	return b
}

func (f *feed) snapshotLocked() Batch {
	b := Batch{Next: f.next, Snapshot: true, Items: make([]Item, 0, len(f.latest))}
	for key, value := range f.latest {
		b.Items = append(b.Items, Item{Key: key, Value: value})
	}
	return b
}

// timeoutResult is the result of a read during whose wait nothing arrived. A reader that did not
// wait may be ahead of the feed for a moment, so it gets no error.
func (f *feed) timeoutResult(from int64, waited time.Duration) (Batch, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != feedCurrent {
		return Batch{}, errFeedNotCurrent
	}
	if f.next < from && waited > 0 {
		return Batch{}, errNotBuffered
	}
	return Batch{Next: from}, nil
}
