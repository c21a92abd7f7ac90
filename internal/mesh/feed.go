package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// page is what one read of a topic brought.
type page struct {
	Items []Item `json:"items"`
	// Next is the offset from which to read on.
	Next int64 `json:"next"`
	// AgeMillis is how long ago the sender of a page last knew that nothing newer was
	// in the store.
	AgeMillis int64 `json:"age_ms"`
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

// feed holds what the node read of a topic last, for the nodes that read through it.
// Safe for concurrent use; the zero value is not current.
type feed struct {
	mu    sync.Mutex
	pages []fedPage
	held  int // bytes
	// start and next bound the offsets that are held.
	start, next int64
	current     bool
	closed      bool
	// changed is closed at the next change.
	changed chan struct{}
}

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

// add takes what was read from offset from on. Where that does not follow on what is
// held, as after a reading of all keys, what is held goes.
func (f *feed) add(from int64, p page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.current || from != f.next {
		f.pages, f.held = nil, 0
		f.start = from
	}
	if len(p.Items) > 0 {
		f.pages = append(f.pages, fedPage{from, p})
		f.held += p.bytes()
	}
	for f.held > feedBytes {
		f.held -= f.pages[0].bytes()
		f.start = f.pages[0].Next
		f.pages[0] = fedPage{}
		f.pages = f.pages[1:]
	}
	news := !f.current || p.Next != f.next
	f.next, f.current = p.Next, true
	if news {
		f.wakeLocked()
	}
}

// lose says that the store is not known any more; who waits is told at once, so that it
// asks elsewhere.
func (f *feed) lose() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = false
	f.wakeLocked()
}

// close loses the store for good.
func (f *feed) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.wakeLocked()
}

func (f *feed) wakeLocked() {
	if f.changed != nil {
		close(f.changed)
		f.changed = nil
	}
}

// after returns what came after offset from; with nothing there it waits up to wait.
// Records before from may be among them. Who is ahead for all of the wait must ask the
// store: it may have begun its offsets anew.
func (f *feed) after(ctx context.Context, from int64, wait time.Duration) (page, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p, changed, err := f.look(from)
		if err != nil || p.Next > from {
			return p, err
		}
		select {
		case <-changed:
		case <-timer.C:
			if p.Next < from {
				return page{}, errNotHeld
			}
			return page{Next: from}, nil
		case <-ctx.Done():
			return page{}, ctx.Err()
		}
	}
}

func (f *feed) look(from int64) (p page, changed <-chan struct{}, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.closed || !f.current:
		return page{}, nil, errNotCurrent
	case from < f.start:
		return page{}, nil, errNotHeld
	}
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	p.Next = f.next
	for _, held := range f.pages {
		if held.Next > from {
			p.Items = append(p.Items, held.Items...)
		}
	}
	return p, f.changed, nil
}
