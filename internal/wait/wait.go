// Package wait waits for a time or for the end of a context, whichever is first.
package wait

import (
	"context"
	"time"
)

// For waits for d and reports true, or false when the context ended before.
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

// OrWoken returns when woken is closed or sent to, d has passed or the context has ended.
func OrWoken(ctx context.Context, woken <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-woken:
	case <-ctx.Done():
	}
}
