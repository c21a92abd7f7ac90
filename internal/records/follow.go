package records

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// readWait is how long a read at the end of a topic waits for changes. A read costs the same
	// however long it waits; keep-alive probes rather than the end of the read detect a dead
	// connection.
	readWait = 25 * time.Second
	// RoutesReadWait is the same for published routes: the store may leave a waiting read without
	// a response when a record arrives, and routes have to be in force within 2 s.
	RoutesReadWait = time.Second
	// MinRetryDelay and maxRetryDelay bound the delay after a failed call of the store. The
	// node's record has to be in the store again about 2 s after the store returns.
	MinRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// StoreCallTimeout bounds a call of the store that doesn't wait. Slow stores respond within
	// some hundred milliseconds.
	StoreCallTimeout = 2 * time.Second
	// zoneProbeInterval is the mean time between two reads by which all nodes of a zone together
	// probe a lost store. maxProbeInterval bounds the resulting interval of one node in a large
	// zone.
	zoneProbeInterval = 100 * time.Millisecond
	maxProbeInterval  = 10 * time.Second
	// lagGrace is how long another node may be ahead of a node that reads normally.
	lagGrace = 100 * time.Millisecond
	// ZoneCompareInterval is the mean time after which some node of a zone compares how far it has read
	// with a node of another zone (see Follower.ObserveOffset).
	ZoneCompareInterval = 150 * time.Millisecond
	// catchUpTimeout bounds a read of records that are known to exist.
	catchUpTimeout = 500 * time.Millisecond
)

// snapshotOffset is the offset of a follower that has no records yet and has to read all keys.
const snapshotOffset int64 = -1

// errProbeNotDue is returned while the next probe of the lost store is left to other nodes of
// the zone.
var errProbeNotDue = errors.New("reads of the store fail, and the next probe of it is not due yet")

// errReadCanceled is returned for a read that was canceled to start a new one.
var errReadCanceled = errors.New("read canceled to start a new one")

// Follower applies the records of a topic from the first to the newest for as long as the node
// runs. It reads them through another node of its zone where possible, and otherwise from the
// store.
type Follower struct {
	topic  Topic
	apply  func([]Item)
	logger zerolog.Logger
	calls  CallLog
	// wake ends a retry delay at once.
	wake chan struct{}
	// ReadWait is how long a read of the store waits for changes.
	ReadWait time.Duration
	// BatchWindow returns how long to wait after changes from the store before the next read;
	// nil means no wait.
	BatchWindow func() time.Duration
	// relay reads through another node of the zone; nil means that the follower always reads the
	// store itself.
	relay *Relay
	// readCancel cancels the read under way, from another node or from the store.
	readCancel atomic.Pointer[context.CancelFunc]
	// next is the offset of the next read. peerOffset is the greatest offset that another node
	// has reported and this node has not reached within LagGrace.
	next, peerOffset atomic.Int64
	// LagGrace is how long another node may be ahead before a read that waits for changes is
	// canceled.
	LagGrace time.Duration
	// feed buffers the records for the nodes that read through this one.
	feed feed
	// snapshotPurpose is the purpose logged for the next read of all keys.
	snapshotPurpose Purpose

	// confirmedAt is the time at which the applied records were last known to be current, in
	// Unix milliseconds; 0 means never.
	confirmedAt atomic.Int64
	// resync requests a new read of all keys.
	resync atomic.Bool
	// lostAt is the time of the first failed read; zero while reads succeed.
	lostAt time.Time
	// lost reports whether the last read failed.
	lost atomic.Bool
	// nextProbe is the time from which this node may probe a lost store again.
	nextProbe time.Time
	// firstReadDone is closed when the first read has ended, successful or not.
	firstReadDone chan struct{}
	firstReadOnce sync.Once
}

// NewFollower returns the follower of a topic. apply is called with the records of each read; with a nil
// relay the follower always reads the store itself.
func NewFollower(topic Topic, apply func([]Item), r *Relay, logger zerolog.Logger) *Follower {
	f := &Follower{
		topic:           topic,
		apply:           apply,
		logger:          logger,
		calls:           CallLog{logger: logger, topic: topic.Name()},
		wake:            make(chan struct{}, 1),
		relay:           r,
		snapshotPurpose: PurposeStart,
		LagGrace:        lagGrace,
		ReadWait:        readWait,
		firstReadDone:   make(chan struct{}),
	}
	f.next.Store(snapshotOffset)
	return f
}

// Run reads the topic until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			f.noteRegained()
			failures = 0
			continue
		}
		if errors.Is(err, ErrExpired) {
			f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", f.next.Load()).Msg("records expired before they were read; reading the newest of each key")
			f.resetToSnapshot(PurposeExpired)
			continue
		}
		if errors.Is(err, errReadCanceled) {
			continue
		}
		if errors.Is(err, errProbeNotDue) {
			Backoff(ctx, 1, f.wake)
			continue
		}
		f.noteLost(ctx, err)
		failures++
		Backoff(ctx, failures, f.wake)
	}
}

// resetToSnapshot makes the next read one of all keys.
func (f *Follower) resetToSnapshot(purpose Purpose) {
	f.snapshotPurpose = purpose
	f.next.Store(snapshotOffset)
	f.peerOffset.Store(0)
}

// readOnce does one read, through another node or from the store.
func (f *Follower) readOnce(ctx context.Context) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.readCancel.Store(&cancel)
	if f.resync.Swap(false) {
		f.resetToSnapshot(PurposeStart)
	}
	next := f.next.Load()
	if b, ok := f.readRelayed(readCtx, next); ok {
		f.applyBatch(next, b, time.Now().Add(-time.Duration(b.AgeMillis)*time.Millisecond))
		return nil
	}
	if readCtx.Err() != nil {
		return errReadCanceled
	}
	if f.lost.Load() && time.Now().Before(f.nextProbe) {
		return errProbeNotDue
	}
	err := f.readStore(readCtx, next)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return errReadCanceled
	}
	return err
}

// readRelayed reads through another node of the zone; it reports false if that is not possible.
func (f *Follower) readRelayed(ctx context.Context, next int64) (Batch, bool) {
	if f.relay == nil {
		return Batch{}, false
	}
	if f.lost.Load() {
		return f.relay.awaitStore(ctx, f.topic.Name(), next)
	}
	if next == snapshotOffset {
		return f.relay.readAll(ctx, f.topic.Name())
	}
	return f.relay.read(ctx, f.topic.Name(), next, f.peerOffset.Load())
}

// readStore reads from the store: all keys, the records that are known to exist, or the next
// changes, for which it waits.
func (f *Follower) readStore(ctx context.Context, next int64) error {
	if next == snapshotOffset {
		return f.readSnapshot(ctx)
	}
	switch {
	case f.peerOffset.Load() > next:
		return f.readNow(ctx, next, catchUpTimeout)
	case f.lost.Load():
		return f.readNow(ctx, next, StoreCallTimeout)
	}
	return f.readChanges(ctx, next, f.ReadWait)
}

// readNow reads the existing records without waiting for new ones; a response later than timeout
// counts as a failure. With a waiting read, a lost store would seem lost until its next change,
// and a store that ignores this node alone would seem to have no changes.
func (f *Follower) readNow(ctx context.Context, from int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.readChanges(ctx, from, 0)
	if err == nil {
		f.peerOffset.Store(f.next.Load())
	}
	return err
}

// ObserveOffset records how far another node has read. If this node stays behind, a read that
// waits for changes is canceled: its response may never arrive.
func (f *Follower) ObserveOffset(offset int64) {
	if next := f.next.Load(); next == snapshotOffset || offset <= next {
		return
	}
	time.AfterFunc(f.LagGrace, func() {
		next := f.next.Load()
		if next == snapshotOffset || offset <= next {
			return
		}
		previous := f.peerOffset.Load()
		f.peerOffset.Store(max(offset, previous))
		if previous > next {
			return // no read waits for changes now
		}
		f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", next).Int64("exists", offset).Msg("records of the topic lag behind other nodes; waiting read canceled and started again")
		f.cancelRead()
	})
}

// cancelRead cancels the read under way.
func (f *Follower) cancelRead() {
	if cancel := f.readCancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// applyBatch applies a batch that was read from an offset and was current at validAt.
func (f *Follower) applyBatch(from int64, b Batch, validAt time.Time) {
	if f.resync.Load() {
		return // read before the node moved to another store
	}
	f.confirmedAt.Store(validAt.UnixMilli())
	f.feed.add(from, b)
	f.next.Store(b.Next)
	if len(b.Items) > 0 {
		f.apply(b.Items)
	}
	f.markFirstReadDone()
}

// readChanges reads the records from an offset on and waits up to maxWait for one.
func (f *Follower) readChanges(ctx context.Context, from int64, maxWait time.Duration) error {
	sent := time.Now()
	items, next, err := f.topic.Read(ctx, from, maxWait)
	f.calls.Log(ctx, PurposeChanges, sent, err)
	if err != nil {
		return err
	}
	f.applyBatch(from, Batch{Items: items, Next: next}, asOf(sent, len(items) > 0))
	if len(items) > 0 && f.BatchWindow != nil {
		wait.For(ctx, f.BatchWindow())
	}
	return nil
}

// readSnapshot reads all keys.
func (f *Follower) readSnapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*StoreCallTimeout)
	defer cancel()
	sent := time.Now()
	items, next, err := readNewest(callCtx, f.topic)
	f.calls.Log(ctx, f.snapshotPurpose, sent, err)
	if err != nil {
		return err
	}
	f.applyBatch(snapshotOffset, Batch{Items: items, Next: next, Snapshot: true}, sent)
	return nil
}

// asOf returns the time at which the result of a read was current. A read that waited and
// returned nothing proves that nothing arrived until its response.
func asOf(sent time.Time, changed bool) time.Time {
	if changed {
		return sent
	}
	return time.Now()
}

// Age returns how long ago the applied records were known to be current; negative before the
// first read.
func (f *Follower) Age(now time.Time) time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return -time.Millisecond
	}
	return max(0, now.Sub(time.UnixMilli(at)))
}

// Topic returns the name of the topic.
func (f *Follower) Topic() string { return f.topic.Name() }

// Next returns the offset of the next read.
func (f *Follower) Next() int64 { return f.next.Load() }

// Lost reports whether the last read failed.
func (f *Follower) Lost() bool { return f.lost.Load() }

// FirstReadDone returns a channel that is closed when the first read has ended, successful or not.
func (f *Follower) FirstReadDone() <-chan struct{} { return f.firstReadDone }

// Source returns the node that was read through last; empty for the store itself.
func (f *Follower) Source() string { return f.relay.source() }

// ReadsStore reports whether the node reads the store for its zone. It must be called by apply or
// BatchWindow.
func (f *Follower) ReadsStore() bool { return f.relay.readsStore }

// Serve returns the records from an offset on to a node that reads through this one (see WatchRequest).
func (f *Follower) Serve(ctx context.Context, from int64, wait time.Duration, waitForStore bool) (Batch, error) {
	f.ObserveOffset(from)
	b, err := f.feed.readFrom(ctx, from, wait, waitForStore)
	if err != nil {
		return Batch{}, err
	}
	b.AgeMillis = f.Age(time.Now()).Milliseconds()
	return b, nil
}

// Close makes all requests of other nodes fail from now on. It is final.
func (f *Follower) Close() { f.feed.close() }

// LeaveStore drops what was read of a store that the node is about to leave. ResyncNow must follow.
func (f *Follower) LeaveStore() {
	f.resync.Store(true)
	f.feed.restart()
}

// ResyncNow reads all keys again at once.
func (f *Follower) ResyncNow() {
	f.resync.Store(true)
	f.cancelRead()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// noteLost records that the store did not respond to a read.
//
// Load pattern: the store is down, and each node of a zone would probe it with the retry delays
// of a single node. Only the zone's reader, the node that reads the store for its zone, does so. The
// others probe so rarely that together they send some 10 requests per second. They receive the
// records through the first node that regains the store (see relay.awaitStore).
func (f *Follower) noteLost(ctx context.Context, err error) {
	f.nextProbe = time.Now().Add(f.probeInterval())
	if !f.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	f.lostAt = time.Now()
	f.lost.Store(true)
	f.feed.markStoreLost()
	f.markFirstReadDone()
	f.logger.Warn().Str("topic", f.topic.Name()).Err(err).Msg("store unreachable; the node keeps its last state of the topic")
}

// probeInterval returns the time for which this node leaves probing a lost store to the other
// nodes of its zone.
func (f *Follower) probeInterval() time.Duration {
	if f.relay == nil || f.relay.readsStore {
		return 0
	}
	mean := min(time.Duration(f.relay.NeighbourCount())*zoneProbeInterval, maxProbeInterval)
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

func (f *Follower) markFirstReadDone() { f.firstReadOnce.Do(func() { close(f.firstReadDone) }) }

func (f *Follower) noteRegained() {
	if f.lostAt.IsZero() {
		return
	}
	f.logger.Info().Str("topic", f.topic.Name()).Dur("after_ms", time.Since(f.lostAt)).Msg("store reachable again")
	f.lostAt = time.Time{}
	f.lost.Store(false)
}

// Backoff waits with a delay that grows with each failure and has a random part, so that the
// nodes of a deployment don't all call the store at the moment of its return.
func Backoff(ctx context.Context, failures int, wake <-chan struct{}) {
	maxDelay := min(maxRetryDelay, MinRetryDelay<<min(failures-1, 5))
	t := time.NewTimer(maxDelay/2 + rand.N(maxDelay/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}
