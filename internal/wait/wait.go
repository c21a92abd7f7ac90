// Package wait provides waits with a time limit that end early when a context ends or a channel
// delivers a signal.
package wait

import (
	"context"
	"time"
)

// For waits for d. It returns true once d has passed, and false when ctx ends first. With d of 0
// or less it returns at once, and reports whether ctx is still active.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// OrWoken returns as soon as woken is closed or delivers a value, d has passed, or ctx ends.
func OrWoken(ctx context.Context, woken <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-woken:
	case <-ctx.Done():
	}
}
