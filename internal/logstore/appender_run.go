package logstore

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

// Run sends queued records in groups until ctx ends, then settles the remaining records with
// an error. It must be called once.
func (a *Appender) Run(ctx context.Context) error {
	defer a.settleAll()
	bucket := newTokenBucket(a.cfg.PerSecond, a.cfg.Burst, a.cfg.Now())
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
		retryAfter, failed := a.send(ctx, group)
		if !failed {
			failures = 0
			continue
		}
		failures++
		if !wait.For(ctx, max(retryAfter, backoff(a.cfg.Rand, a.cfg.MinBackoff, a.cfg.MaxBackoff, failures))) {
			return ctx.Err()
		}
	}
}

// Observe settles the pending records among entries, which the node's reader has folded: their
// calls of Append return. An acknowledgement of the log does not settle a record: it can be lost,
// and it does not contain the decision of the fold.
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

// enqueue adds rec to the queue. If a record with the same ID is pending, it returns that one.
func (a *Appender) enqueue(rec Record) (*pendingRecord, error) {
	if err := CheckRecords([]Record{rec}); err != nil {
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.byID[rec.ID]; ok {
		return p, nil
	}
	if len(a.byID) >= a.cfg.MaxQueue {
		a.stats.Rejected++
		return nil, ErrQueueFull
	}
	if len(a.queue) >= 2*a.cfg.MaxQueue {
		a.dropAbandonedLocked()
	}
	p := &pendingRecord{rec: rec, settled: make(chan struct{})}
	a.byID[rec.ID] = p
	a.queue = append(a.queue, p)
	a.wakeRun()
	return p, nil
}

// dropAbandonedLocked removes the records of canceled callers from the queue. While an append
// hangs, the run loop takes nothing from the queue, and these records would accumulate.
func (a *Appender) dropAbandonedLocked() {
	a.queue = slices.DeleteFunc(a.queue, func(p *pendingRecord) bool { return a.byID[p.rec.ID] != p })
}

// abandon settles p after its caller was canceled. A record that was never sent is withdrawn,
// so that the caller can report that it was not recorded. A record that was sent may be in the
// log or still reach it, so the error is an UncertainError.
func (a *Appender) abandon(p *pendingRecord, cause error) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-p.settled:
		return p.err
	default:
	}
	err := cause
	if p.mayBeInLog() {
		err = &UncertainError{Cause: cause}
	}
	a.settleLocked(p, err)
	return err
}

// mayBeInLog reports whether an attempt to append p may have taken effect or may still do so.
func (p *pendingRecord) mayBeInLog() bool { return p.inFlight || p.uncertain || p.acked }

func (a *Appender) settleLocked(p *pendingRecord, err error) {
	select {
	case <-p.settled:
		return
	default:
	}
	p.err = err
	delete(a.byID, p.rec.ID)
	close(p.settled)
}

// settleAll settles all pending records when Run returns.
func (a *Appender) settleAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range a.byID {
		a.settleLocked(p, finalError(p, context.Canceled))
	}
	a.queue = nil
}

// finalError returns the error with which retries of p end. A record that was sent and not
// definitely rejected may be in the log.
func finalError(p *pendingRecord, cause error) error {
	if p.mayBeInLog() {
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

// waitForWork blocks until the queue is not empty; it returns false if ctx ends first.
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

// takeGroup removes the records of the next append from the queue and marks them as sent.
func (a *Appender) takeGroup() []*pendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cfg.Now()
	var group []*pendingRecord
	bytes := 0
	for len(a.queue) > 0 && len(group) < a.cfg.MaxGroup {
		p := a.queue[0]
		bytes += len(p.rec.Body)
		if len(group) > 0 && bytes > MaxAppendBytes {
			break
		}
		a.queue = a.queue[1:]
		if a.byID[p.rec.ID] != p || a.settleIfExpiredLocked(p, now) {
			continue
		}
		a.markSentLocked(p, now)
		group = append(group, p)
	}
	return group
}

// settleIfExpiredLocked settles p and returns true once RepeatFor has passed since its first
// attempt. A later retry could reach the log after Dedup has dropped the record's ID, and the
// record would then be folded twice.
func (a *Appender) settleIfExpiredLocked(p *pendingRecord, now time.Time) bool {
	if p.firstSent.IsZero() || now.Sub(p.firstSent) < a.cfg.RepeatFor {
		return false
	}
	a.stats.GaveUp++
	a.settleLocked(p, finalError(p, context.DeadlineExceeded))
	return true
}

func (a *Appender) markSentLocked(p *pendingRecord, now time.Time) {
	p.inFlight = true
	if p.firstSent.IsZero() {
		p.firstSent = now
		return
	}
	a.stats.Retries++
}

// send appends one group and records the outcome. retryAfter is the delay that the log requested
// before the next append.
func (a *Appender) send(ctx context.Context, group []*pendingRecord) (retryAfter time.Duration, failed bool) {
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
	var overloaded *OverloadedError
	if errors.As(err, &overloaded) {
		retryAfter = min(overloaded.RetryAfter, a.cfg.MaxBackoff)
	}
	return retryAfter, true
}

// failLocked returns the records of a failed append to the front of the queue, in order.
// Records of an invalid request are settled instead, unless an earlier attempt may have taken
// effect.
func (a *Appender) failLocked(group []*pendingRecord, err error) {
	uncertain := !errors.Is(err, ErrBadRequest) && !errors.Is(err, ErrOverloaded) &&
		(errors.Is(err, ErrUncertain) || !errors.Is(err, ErrUnavailable))
	if uncertain {
		a.stats.Uncertain++
	}
	retry := make([]*pendingRecord, 0, len(group)+len(a.queue))
	for _, p := range group {
		if a.byID[p.rec.ID] != p {
			continue
		}
		p.uncertain = p.uncertain || uncertain
		if errors.Is(err, ErrBadRequest) && !p.uncertain {
			a.settleLocked(p, err)
			continue
		}
		retry = append(retry, p)
	}
	a.queue = append(retry, a.queue...)
}

// tokenBucket limits the rate of appends. A negative balance is allowed: it is the debt that
// take returns as a delay.
type tokenBucket struct {
	rate, burst, tokens float64
	last                time.Time
}

func newTokenBucket(rate float64, burst int, now time.Time) *tokenBucket {
	return &tokenBucket{rate: rate, burst: float64(burst), tokens: float64(burst), last: now}
}

// take removes one token and returns the delay until that token is available.
func (b *tokenBucket) take(now time.Time) time.Duration {
	b.tokens = min(b.burst, b.tokens+b.rate*now.Sub(b.last).Seconds())
	b.last = now
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return time.Duration(-b.tokens / b.rate * float64(time.Second))
}
