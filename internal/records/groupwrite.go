package records

import (
	"context"
	"sync"
	"time"
)

const (
	// GroupDelay is how long records are collected for one append. After a power loss the nodes of a
	// zone start within some hundred milliseconds.
	GroupDelay = 100 * time.Millisecond
	// maxGroupItems bounds the records of one append, so that it stays within the size of one call.
	maxGroupItems = 256
)

// GroupWriter writes records to a topic, those of a short period in one append.
//
// Load pattern: all nodes of a zone start at the same time, each with a record of its own.
type GroupWriter struct {
	// ctx is canceled when the node stops.
	ctx context.Context
	put func(ctx context.Context, items []Item) error

	mu sync.Mutex
	// open is the group that further records join; nil if none does.
	open *writeGroup
}

// NewGroupWriter returns a writer that appends records with put. ctx is canceled when the node stops.
func NewGroupWriter(ctx context.Context, put func(ctx context.Context, items []Item) error) *GroupWriter {
	return &GroupWriter{ctx: ctx, put: put}
}

// writeGroup is the records of one append.
type writeGroup struct {
	items []Item
	// written is closed after the append; err is its result.
	written chan struct{}
	err     error
}

// Write writes a record and returns when the store has it.
func (w *GroupWriter) Write(ctx context.Context, write Write) error {
	group := w.join(write.items())
	select {
	case <-group.written:
		return group.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// join adds the records of a write to the open group, or opens one.
func (w *GroupWriter) join(items []Item) *writeGroup {
	w.mu.Lock()
	defer w.mu.Unlock()
	group := w.open
	if group == nil {
		group = &writeGroup{written: make(chan struct{})}
		w.open = group
		time.AfterFunc(GroupDelay, func() { w.append(group) })
	}
	group.items = append(group.items, items...)
	if len(group.items) >= maxGroupItems {
		w.open = nil
	}
	return group
}

// append writes the records of a group, which none joins any more.
func (w *GroupWriter) append(group *writeGroup) {
	w.mu.Lock()
	if w.open == group {
		w.open = nil
	}
	w.mu.Unlock()
	ctx, cancel := context.WithTimeout(w.ctx, StoreCallTimeout)
	defer cancel()
	group.err = w.put(ctx, group.items)
	close(group.written)
}
