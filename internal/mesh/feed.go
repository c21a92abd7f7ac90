package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// page is what one read of a topic brought.
type page struct {
	Items []Item `json:"items,omitempty"`
	// Next is the offset from which to read on.
	Next int64 `json:"next"`
	// AgeMillis is how long ago the sender of a page last knew that nothing newer was
	// in the store.
	AgeMillis int64 `json:"age_ms"`
	// Whole says that Items are the newest record of each key, and not what came after
	// an offset.
	Whole bool `json:"whole,omitempty"`
}

// feedBytes bounds the records that a feed holds, keys and values: two of some 250 bytes
// for each of 412 nodes of a zone that are restarted within seconds. Counted in bytes,
// since one publication of many routes is some 100 KB: a thousand of them would fill the
// memory of a VM within a day of changes.
const feedBytes = 256 << 10

var (
	// errNotCurrent matches a question to a node that doesn't know what the store has
	// now: it lost the store, or is about to end.
	errNotCurrent = errors.New("what the store has is not known here")
	// errNotHeld matches a question for records that the feed holds no more.
	errNotHeld = errors.New("records from this offset on are not held here")
)

// feed holds what the node read of a topic, for the nodes that read through it: the
// last records in their order, and the newest of each key for those that are behind or
// know nothing yet. Safe for concurrent use; the zero value has begun nothing.
type feed struct {
	mu    sync.Mutex
	pages []fedPage
	held  int // bytes
	// start and next bound the offsets that are held.
	start, next int64
	// newest is the newest record of each key; nil where not all keys are known.
	newest map[string][]byte
	state  feedState
	// changed is closed at the next change.
	changed chan struct{}
}

// feedState is what a feed knows of the store.
type feedState int

const (
	// feedBegins is that of a node whose first read is under way.
	feedBegins feedState = iota
	feedCurrent
	feedLost
	// feedClosed is that of a node that is about to end.
	feedClosed
)

// fedPage is a page and the offset that it was read from.
type fedPage struct {
	from int64
	page
}

func (p *page) bytes() (n int) {
	for i := range p.Items {
		n += len(p.Items[i].Key) + len(p.Items[i].Value)
	}
	return n
}

// add takes what was read from offset from on.
func (f *feed) add(from int64, p page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.Whole || from != f.next {
		f.resetLocked(p)
	}
	f.foldLocked(p.Items)
	if len(p.Items) > 0 && !p.Whole {
		f.holdLocked(fedPage{from, p})
	}
	changed := f.state != feedCurrent || p.Next != f.next
	f.next = p.Next
	if f.state != feedClosed {
		f.state = feedCurrent
	}
	if changed {
		f.wakeLocked()
	}
}

// resetLocked begins anew, with all keys where the page has them.
func (f *feed) resetLocked(p page) {
	f.pages, f.held, f.newest = nil, 0, nil
	f.start = p.Next
	if p.Whole {
		f.newest = make(map[string][]byte, len(p.Items))
	}
}

func (f *feed) foldLocked(items []Item) {
	if f.newest == nil {
		return
	}
	for _, item := range items {
		if len(item.Value) == 0 {
			delete(f.newest, item.Key)
			continue
		}
		f.newest[item.Key] = item.Value
	}
}

func (f *feed) holdLocked(p fedPage) {
	f.pages = append(f.pages, p)
	f.held += p.bytes()
	for f.held > feedBytes {
		f.held -= f.pages[0].bytes()
		f.start = f.pages[0].Next
		f.pages[0] = fedPage{}
		f.pages = f.pages[1:]
	}
}

// lose says that the store is not known any more; who waits is told at once, so that it
// asks elsewhere.
func (f *feed) lose() { f.leaveCurrent(feedLost) }

// close loses the store for good.
func (f *feed) close() { f.leaveCurrent(feedClosed) }

func (f *feed) leaveCurrent(state feedState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != feedClosed {
		f.state = state
	}
	f.wakeLocked()
}

func (f *feed) wakeLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// after returns what came after offset from, or the newest record of each key where the
// records from there on are not held. With nothing there it waits up to wait, as for a
// first read that is under way; one that is patient waits for a lost store as well. Records
// before from may be among them. Who is ahead for
// all of the wait must ask the store: it may have begun its offsets anew.
func (f *feed) after(ctx context.Context, from int64, wait time.Duration, patient bool) (page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p, changed, err := f.look(from, patient)
		if err != nil || changed == nil {
			return p, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return f.nothingAfter(from, wait)
		case <-ctx.Done():
			return page{}, ctx.Err()
		}
	}
}

// look returns what came after an offset, or what to wait for.
func (f *feed) look(from int64, patient bool) (p page, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.state == feedClosed || (f.state == feedLost && !patient):
		return page{}, nil, errNotCurrent
	case f.state != feedCurrent || (from >= f.start && from >= f.next):
		if f.changed == nil {
			f.changed = make(chan struct{})
		}
		return page{}, f.changed, nil
	case from >= f.start:
		return f.sinceLocked(from), nil, nil
	case f.newest == nil:
		return page{}, nil, errNotHeld
	}
	return f.wholeLocked(), nil, nil
}

func (f *feed) sinceLocked(from int64) page {
	p := page{Next: f.next}
	for _, held := range f.pages {
		if held.Next > from {
			p.Items = append(p.Items, held.Items...)
		}
	}
	return p
}

func (f *feed) wholeLocked() page {
	p := page{Next: f.next, Whole: true, Items: make([]Item, 0, len(f.newest))}
	for key, value := range f.newest {
		p.Items = append(p.Items, Item{Key: key, Value: value})
	}
	return p
}

// nothingAfter is the answer to a question that waited so long for nothing. One that did
// not wait may be ahead for a moment.
func (f *feed) nothingAfter(from int64, waited time.Duration) (page, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.state != feedCurrent {
		return page{}, errNotCurrent
	}
	if f.next < from && waited > 0 {
		return page{}, errNotHeld
	}
	return page{Next: from}, nil
}
