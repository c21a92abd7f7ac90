package records

import (
	"context"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Item is the newest record of a key.
type Item struct {
	Key string `json:"key"`
	// Value is empty if the key was deleted.
	Value []byte `json:"value"`
}

// Write is a record to be written, and the keys that are deleted with it because it replaces theirs.
type Write struct {
	Item
	Replaces []string `json:"replaces,omitempty"`
}

// items returns the write as records of one append.
func (w *Write) items() []Item {
	items := []Item{w.Item}
	for _, key := range w.Replaces {
		items = append(items, Item{Key: key})
	}
	return items
}

// ErrExpired is returned, possibly wrapped, by a read of records that the store no longer keeps.
var ErrExpired = errors.New("records have expired in the store")

// Topic is a keyed topic of the store, which keeps the newest record of each key.
type Topic interface {
	// Name returns the name of the topic in logs.
	Name() string
	// Put appends records in one call, all or none. If it returns an error, they may still have been
	// stored.
	Put(ctx context.Context, items ...Item) error
	// NewestPage returns the newest records of the first keys above a key, as many as one call of the
	// store returns.
	NewestPage(ctx context.Context, after string) (Page, error)
	// Read returns the records from offset from on. If there are none, it waits up to wait for
	// one. It fails with ErrExpired if the store no longer keeps the records at from.
	Read(ctx context.Context, from int64, wait time.Duration) (items []Item, next int64, err error)
}

// Page is the newest records of some keys, in the order of the keys.
type Page struct {
	Items []Item
	// More reports whether there are keys above those of Items.
	More bool
	// Next is the offset from which Read returns the records that came later.
	Next int64
}

// ReadPrefix returns the newest record of each key with a prefix, and perhaps some of the keys that
// follow.
func ReadPrefix(ctx context.Context, t Topic, prefix string) (items []Item, err error) {
	after := prefix
	for range maxPages {
		page, err := t.NewestPage(ctx, after)
		if err != nil {
			return nil, err
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 || !strings.HasPrefix(items[len(items)-1].Key, prefix) {
			return items, nil
		}
		after = items[len(items)-1].Key
	}
	return nil, errors.Errorf("newest records of topic %s with prefix %s exceed %d pages", t.Name(), prefix, maxPages)
}

// maxPages bounds the pages of one read of all keys. The store's pages have 500 keys.
const maxPages = 64

// readNewest returns the newest record of each key, and the offset from which Read returns the records
// that came later. That is the offset of the first page: records that are appended between two pages
// may be missing from the result.
func readNewest(ctx context.Context, t Topic) (items []Item, next int64, err error) {
	after := ""
	for i := range maxPages {
		page, err := t.NewestPage(ctx, after)
		if err != nil {
			return nil, 0, err
		}
		if i == 0 {
			next = page.Next
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			return items, next, nil
		}
		after = page.Items[len(page.Items)-1].Key
	}
	return nil, 0, errors.Errorf("newest records of topic %s exceed %d pages", t.Name(), maxPages)
}
