// Package membudget bounds the memory that message bodies take in a process. What a body took comes back
// when the garbage collector has freed it.
package membudget

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SmallBody is the size in bytes up to which a body is small. Its memory comes back when its message
	// ends.
	SmallBody = 64 << 10
	// maxSmallReserve and smallReserveShare bound the room for requests that only small bodies may use, in
	// bytes and as a share, so that a few large ones don't keep out the rest.
	maxSmallReserve   = 4 << 20
	smallReserveShare = 1. / 8
	// maxGrowing is the number of bodies of requests that may wait for more than they hold. More of them
	// could hold all memory that each waits for.
	maxGrowing = 4
	// collectPause is the least time between two collections of garbage that a Budget requests.
	collectPause = 50 * time.Millisecond
	// collectPoll is how often a waiting body looks for garbage that was not announced.
	collectPoll = 250 * time.Millisecond
)

// Budget bounds the memory for the bodies of requests and responses. It is safe for concurrent use; a nil
// Budget has no bound.
//
// Load pattern: a few bodies that are large beside the memory of the VM, among many small ones; servers in
// trouble that send bytes without end.
type Budget struct {
	mu sync.Mutex
	// total bounds all bodies in bytes. requests bounds the bodies among which one of a request may be, so
	// that there is room for responses.
	total, requests int64
	used            int64
	// changed is closed when room becomes free; nil while no body waits.
	changed chan struct{}
	// growing is the number of bodies of requests that take more than they hold.
	growing atomic.Int64
	// waiting is the number of bodies that wait for room.
	waiting int
	// responses are the bodies of responses that are being read.
	responses map[*ResponseBody]struct{}
	// collecting is true while a collection is due, and collectedAt is when the last one ended.
	collecting  bool
	collectedAt time.Time
}

// New returns a budget of total bytes, of which requests may use the given number.
func New(total, requests int64) *Budget {
	return &Budget{total: total, requests: requests, responses: make(map[*ResponseBody]struct{})}
}

// SetLimits changes the limits in bytes.
func (b *Budget) SetLimits(total, requests int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.total, b.requests = total, requests
	b.notifyLocked()
}

// Used returns the bytes in use.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// TakeForRequest takes n bytes for the body of a request that holds some already. It waits for room, for
// patience at most, and returns false if there is none.
func (b *Budget) TakeForRequest(ctx context.Context, held, n int64, patience time.Duration) bool {
	if b == nil {
		return true
	}
	if held > 0 {
		if b.growing.Add(1) > maxGrowing {
			patience = 0
		}
		defer b.growing.Add(-1)
	}
	small := held+n <= SmallBody
	room := func() int64 { return b.requestLimitLocked(small) - b.used }
	return b.take(ctx, n, patience, room, func() bool { return held+n <= b.requestLimitLocked(small) })
}

// requestLimitLocked returns the limit of all bodies for that of a request.
func (b *Budget) requestLimitLocked(small bool) int64 {
	if small {
		return b.requests
	}
	return b.requests - min(maxSmallReserve, int64(smallReserveShare*float64(b.requests)))
}

// take takes n bytes as soon as room returns as many; fits is whether it ever can.
func (b *Budget) take(ctx context.Context, n int64, patience time.Duration, room func() int64, fits func() bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n > room() && patience > 0 && fits() {
		b.awaitLocked(ctx, patience, func() bool { return n <= room() || !fits() })
	}
	if n > room() {
		return false
	}
	b.used += n
	return true
}

// awaitLocked waits until done returns true, patience is over or ctx ends. It releases the lock while it
// waits.
func (b *Budget) awaitLocked(ctx context.Context, patience time.Duration, done func() bool) {
	b.waiting++
	defer func() { b.waiting-- }()
	timer, poll := time.NewTimer(patience), time.NewTicker(collectPoll)
	defer timer.Stop()
	defer poll.Stop()
	for over := false; !over && !done(); {
		b.collectLocked()
		if b.changed == nil {
			b.changed = make(chan struct{})
		}
		changed := b.changed
		b.mu.Unlock()
		select {
		case <-changed:
		case <-poll.C:
		case <-timer.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		b.mu.Lock()
	}
}

// Release gives n bytes back.
func (b *Budget) Release(n int64) {
	if b == nil || n == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
	b.notifyLocked()
}

// ReleaseWhenFreed gives n bytes back when the memory of a large body is freed.
func (b *Budget) ReleaseWhenFreed(body []byte, n int64) {
	if b == nil || n == 0 {
		return
	}
	runtime.AddCleanup(&body[:1][0], b.Release, n)
}

// Ended announces that a message with a large body ended, so that its memory may be garbage.
func (b *Budget) Ended() {
	if b == nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting > 0 {
		b.collectLocked()
	}
}

func (b *Budget) notifyLocked() {
	if b.changed != nil {
		close(b.changed)
		b.changed = nil
	}
}

// collectLocked starts a collection of garbage unless one is due already.
func (b *Budget) collectLocked() {
	if b.collecting {
		return
	}
	b.collecting = true
	pause := max(time.Millisecond, collectPause-time.Since(b.collectedAt))
	time.AfterFunc(pause, func() {
		runtime.GC()
		b.mu.Lock()
		defer b.mu.Unlock()
		b.collecting, b.collectedAt = false, time.Now()
	})
}
