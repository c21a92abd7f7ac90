package mesh

import (
	"context"
	"errors"
	"time"
)

// Item is the newest record of a key.
type Item struct {
	Key string `json:"key"`
	// Value is empty when the key was deleted.
	Value []byte `json:"value"`
}

// ErrExpired matches a read of records that the store keeps no more.
var ErrExpired = errors.New("records have expired")

// Topic is a keyed topic of the store: the newest record of each key lasts.
type Topic interface {
	// Name names the topic in logs.
	Name() string
	// Put appends a record. On an error it may have taken effect.
	Put(ctx context.Context, key string, value []byte) error
	// Newest returns the newest record of each key, and the offset from which
	// Read returns what came later.
	Newest(ctx context.Context) (items []Item, next int64, err error)
	// Read returns the records from offset from on. With none there it waits up
	// to wait for one. It fails with ErrExpired when from is kept no more.
	Read(ctx context.Context, from int64, wait time.Duration) (items []Item, next int64, err error)
}
