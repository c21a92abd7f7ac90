package mesh

import (
	"context"
	"errors"
	"time"
)

// Item is the newest record of a key.
type Item struct {
	Key string `json:"key"`
	// Value is empty if the key was deleted.
	Value []byte `json:"value"`
}

// ErrExpired is returned, possibly wrapped, by a read of records that the store no longer keeps.
var ErrExpired = errors.New("records have expired in the store")

// Topic is a keyed topic of the store, which keeps the newest record of each key.
type Topic interface {
	// Name returns the name of the topic in logs.
	Name() string
	// Put appends a record. If it returns an error, the record may still have been stored.
	Put(ctx context.Context, key string, value []byte) error
	// Newest returns the newest record of each key, and the offset from which Read returns the
	// records that came later.
	Newest(ctx context.Context) (items []Item, next int64, err error)
	// Read returns the records from offset from on. If there are none, it waits up to wait for
	// one. It fails with ErrExpired if the store no longer keeps the records at from.
	Read(ctx context.Context, from int64, wait time.Duration) (items []Item, next int64, err error)
}
