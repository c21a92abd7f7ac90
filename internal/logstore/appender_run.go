package logstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

// Run sends groups until ctx ends, then settles what is left. It must be
// called once.
func (a *Appender) Run(ctx context.Context) error {
	defer a.settleAll()
	bucket := newBucket(a.cfg.PerSecond, a.cfg.Burst, a.cfg.Now())
	failures := 0
	for {
		if !a.waitForWork(ctx) {
			return ctx.Err()
		}
		if !wait.For(ctx, bucket.take(a.cfg.Now())) {
			return ctx.Err()
		}
		group := a.takeGroup()
		if len(group) == 0 {
			continue
		}
		hint, failed := a.send(ctx, group)
		if !failed {
			failures = 0
			continue
		}
		failures++
		if !wait.For(ctx, max(hint, backoff(a.cfg.Rand, a.cfg.MinBackoff, a.cfg.MaxBackoff, failures))) {
			return ctx.Err()
		}
	}
}

// Observe tells the Appender which entries the node's reader has folded. A
// record is settled by what was read, never by an acknowledgement alone: an
// acknowledgement can be lost, and one that came does not say what the fold
// decided.
func (a *Appender) Observe(entries []Entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byID) == 0 {
		return
	}
	for i := range entries {
		p, ok := a.byID[entries[i].Record.ID]
		if !ok {
			continue
		}
		p.offset = entries[i].Offset
		a.settleLocked(p, nil)
	}
}

func (a *Appender) enqueue(rec Record) (*pending, error) {
	if err := CheckRecords([]Record{rec}); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.byID[rec.ID]; ok {
		return p, nil
	}
	if len(a.byID) >= a.cfg.MaxQueue {
		a.stats.Refused++
		return nil, ErrQueueFull
	}
	if len(a.queue) >= 2*a.cfg.MaxQueue {
		a.dropAbandonedLocked()
	}
	p := &pending{rec: rec, settled: make(chan struct{})}
	a.byID[rec.ID] = p
	a.queue = append(a.queue, p)
	a.wakeRun()
	return p, nil
}

// dropAbandonedLocked bounds the queue while the log hangs: callers come and
// give up, and nothing takes their records out.
func (a *Appender) dropAbandonedLocked() {
	a.queue = slices.DeleteFunc(a.queue, func(p *pending) bool { return a.byID[p.rec.ID] != p })
}

// abandon ends the wait for p. What was never sent is taken back, so that its
// caller may say that it was not recorded; the rest may still come true.
func (a *Appender) abandon(p *pending, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-p.settled:
		return p.err
	default:
	}
	err := cause
	if p.mayStand() {
		err = &UncertainError{Cause: cause}
	}
	a.settleLocked(p, err)
	return err
}

// mayStand reports whether some attempt of p may be in the log or come there.
func (p *pending) mayStand() bool { return p.inFlight || p.uncertain || p.acked }

func (a *Appender) settleLocked(p *pending, err error) {
	select {
	case <-p.settled:
		return
	default:
	}
	p.err = err
	delete(a.byID, p.rec.ID)
	close(p.settled)
}

func (a *Appender) settleAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.byID {
		a.settleLocked(p, lastError(p, context.Canceled))
	}
	a.queue = nil
}

// lastError says what giving p up means: a record that was ever sent without a
// clear refusal may be in the log.
func lastError(p *pending, cause error) error {
	if p.mayStand() {
		return &UncertainError{Cause: cause}
	}
	return &UnavailableError{Cause: cause}
}

func (a *Appender) wakeRun() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

func (a *Appender) waitForWork(ctx context.Context) bool {
	for {
		a.mu.Lock()
		n := len(a.queue)
		a.mu.Unlock()
		if n > 0 && ctx.Err() == nil {
			return true
		}
		select {
		case <-a.wake:
		case <-ctx.Done():
			return false
		}
	}
}

// takeGroup removes the next group from the queue and marks it as tried.
func (a *Appender) takeGroup() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	var group []*pending
	bytes := 0
	for len(a.queue) > 0 && len(group) < a.cfg.MaxGroup {
		p := a.queue[0]
		bytes += len(p.rec.Body)
		if len(group) > 0 && bytes > MaxAppendBytes {
			break
		}
		a.queue = a.queue[1:]
		if a.byID[p.rec.ID] != p || a.expiredLocked(p, now) {
			continue
		}
		a.markTriedLocked(p, now)
		group = append(group, p)
	}
	return group
}

// expiredLocked gives p up once its time to repeat is over. Without this bound
// a record could come into the log again after folds forgot its ID, and would
// then count twice.
func (a *Appender) expiredLocked(p *pending, now time.Time) bool {
	if p.firstTried.IsZero() || now.Sub(p.firstTried) < a.cfg.RepeatFor {
		return false
	}
	a.stats.GaveUp++
	a.settleLocked(p, lastError(p, context.DeadlineExceeded))
	return true
}

func (a *Appender) markTriedLocked(p *pending, now time.Time) {
	p.inFlight = true
	if p.firstTried.IsZero() {
		p.firstTried = now
		return
	}
	a.stats.Repeats++
}

// send makes one append and files its outcome. hint is the pause that the log
// asked for.
func (a *Appender) send(ctx context.Context, group []*pending) (hint time.Duration, failed bool) {
	records := make([]Record, len(group))
	for i, p := range group {
		records[i] = p.rec
	}
	sendCtx, cancel := context.WithTimeout(ctx, a.cfg.Timeout)
	_, err := a.log.Append(sendCtx, records)
	cancel()

	a.mu.Lock()
	defer a.mu.Unlock()
	a.stats.Appends++
	a.stats.Records += int64(len(group))
	for _, p := range group {
		p.inFlight = false
		p.acked = err == nil
	}
	if err == nil {
		return 0, false
	}
	a.stats.Failures++
	a.failLocked(group, err)
	var over *OverloadedError
	if errors.As(err, &over) {
		hint = min(over.RetryAfter, a.cfg.MaxBackoff)
	}
	return hint, true
}

// failLocked puts the records of a failed append back to the front, in order.
func (a *Appender) failLocked(group []*pending, err error) {
	uncertain := !errors.Is(err, ErrBadRequest) && !errors.Is(err, ErrOverloaded) &&
		(errors.Is(err, ErrUncertain) || !errors.Is(err, ErrUnavailable))
	if uncertain {
		a.stats.Uncertain++
	}
	again := make([]*pending, 0, len(group)+len(a.queue))
	for _, p := range group {
		if a.byID[p.rec.ID] != p {
			continue
		}
		p.uncertain = p.uncertain || uncertain
		if errors.Is(err, ErrBadRequest) && !p.uncertain {
			a.settleLocked(p, err)
			continue
		}
		again = append(again, p)
	}
	a.queue = append(again, a.queue...)
}

// bucket is the budget of appends.
type bucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newBucket(rate float64, burst int, now time.Time) *bucket {
	return &bucket{rate: rate, burst: float64(burst), tokens: float64(burst), last: now}
}

// take spends one token and returns how long to wait until it is there.
func (b *bucket) take(now time.Time) time.Duration {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
