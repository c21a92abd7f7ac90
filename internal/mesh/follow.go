package mesh

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
	// readWait is how long a read at the end of a topic waits for changes. A read
	// costs the same however long it waits; whether its connection lives is
	// shown by keep-alive probes, not by its end.
	readWait = 25 * time.Second
	// routesReadWait is the same for published routes: the store may leave out a read
	// that waits when a record comes, and routes have to be in force within two seconds.
	routesReadWait = time.Second
	// minRetryDelay and maxPause bound the wait after a failed call of the store. An
	// entry has to be back about two seconds after the store's return.
	minRetryDelay = 150 * time.Millisecond
	maxRetryDelay = 1200 * time.Millisecond
	// storeCallTimeout bounds a call of the store that doesn't wait. Slow stores
	// answer in some hundred milliseconds.
	storeCallTimeout = 2 * time.Second
	// zoneProbeInterval is the mean time between two reads with which the nodes of a zone
	// look whether a lost store is back, and maxProbePause bounds what that makes for
	// one node of a large zone.
	zoneProbeInterval = 100 * time.Millisecond
	maxProbeInterval  = 10 * time.Second
	// lagGrace is how long another node may be ahead of one that reads as it should.
	lagGrace = 100 * time.Millisecond
	// catchUpTimeout bounds a read of what is known to be there.
	catchUpTimeout = 500 * time.Millisecond
)

// snapshotOffset is the offset of a follower that knows nothing yet: it needs all keys.
const snapshotOffset int64 = -1

// errProbeNotDue says that another node of the zone is to look for the lost store.
var errProbeNotDue = errors.New("the store was asked a moment ago")

// errReadCanceled says that a read was ended to begin anew.
var errReadCanceled = errors.New("read ended")

// follower applies the records of a topic from the first to the newest, for as
// long as the node runs. It reads them through another node of its zone where it
// can, and else from the store.
type follower struct {
	topic  Topic
	apply  func([]Item)
	logger zerolog.Logger
	calls  storeCallLog
	// wake makes a pause end at once.
	wake chan struct{}
	// readWait is how long a read at the store waits for changes.
	readWait time.Duration
	// batchWindow is how long to wait after changes from the store before the next read; nil:
	// not at all.
	batchWindow func() time.Duration
	// pauseAfterSnapshot is how long to wait after the first read of all keys.
	pauseAfterSnapshot time.Duration
	// relay reads through another node of the zone; nil: always the store itself.
	relay *relay
	// readCancel ends the read that waits, at another node or at the store.
	readCancel atomic.Pointer[context.CancelFunc]
	// next is the offset to go on from, and peerOffset the greatest that other nodes have
	// been at for a while.
	next, peerOffset atomic.Int64
	// lagGrace is how long another node may be ahead before a read is ended that
	// waits for changes.
	lagGrace time.Duration
	// feed is what was read, for the nodes that read through this one.
	feed feed
	// snapshotPurpose is why all keys are read next.
	snapshotPurpose Purpose

	// confirmedAt is when the newest read that succeeded was sent, in Unix
	// milliseconds; 0 means never. What is believed was true then.
	confirmedAt atomic.Int64
	// resync is set to read everything once more.
	resync atomic.Bool
	lostAt time.Time
	// lost is whether the last read failed.
	lost atomic.Bool
	// nextProbe is when a lost store may be read again.
	nextProbe time.Time
	// firstReadDone is closed when the first read has ended, well or not.
	firstReadDone chan struct{}
	firstReadOnce sync.Once
}

func newFollower(topic Topic, apply func([]Item), r *relay, logger zerolog.Logger) *follower {
	f := &follower{
		topic:           topic,
		apply:           apply,
		logger:          logger,
		calls:           storeCallLog{logger: logger, topic: topic.Name()},
		wake:            make(chan struct{}, 1),
		relay:           r,
		snapshotPurpose: PurposeStart,
		lagGrace:        lagGrace,
		readWait:        readWait,
		firstReadDone:   make(chan struct{}),
	}
	f.next.Store(snapshotOffset)
	return f
}

func (f *follower) run(ctx context.Context) {
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
			backoff(ctx, 1, f.wake)
			continue
		}
		f.noteLost(ctx, err)
		failures++
		backoff(ctx, failures, f.wake)
	}
}

// resetToSnapshot lets the next read be one of all keys.
func (f *follower) resetToSnapshot(why Purpose) {
	f.snapshotPurpose = why
	f.next.Store(snapshotOffset)
	f.peerOffset.Store(0)
}

// readOnce reads once.
func (f *follower) readOnce(ctx context.Context) error {
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

// readRelayed reads through another node of the zone, unless there is none.
func (f *follower) readRelayed(ctx context.Context, next int64) (batch, bool) {
	if f.relay == nil {
		return batch{}, false
	}
	if f.lost.Load() {
		return f.relay.awaitStore(ctx, f.topic.Name(), next)
	}
	return f.relay.read(ctx, f.topic.Name(), next, f.peerOffset.Load())
}

// readStore reads all keys from the store, or waits there for what comes after an offset.
func (f *follower) readStore(ctx context.Context, next int64) error {
	if next == snapshotOffset {
		return f.readSnapshot(ctx)
	}
	switch {
	case f.peerOffset.Load() > next:
		return f.readNow(ctx, next, catchUpTimeout)
	case f.lost.Load():
		return f.readNow(ctx, next, storeCallTimeout)
	}
	return f.readChanges(ctx, next, f.readWait)
}

// readNow reads what is there without a wait for more, where an answer that does not come
// soon is none: a lost store would seem lost until its next change, and one that is silent
// to this node alone would seem to have none.
func (f *follower) readNow(ctx context.Context, from int64, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := f.readChanges(ctx, from, 0)
	if err == nil {
		f.peerOffset.Store(f.next.Load())
	}
	return err
}

// observeOffset takes in how far another node has read. If this one stays behind, a read that
// waits for changes is ended: its answer may never come.
func (f *follower) observeOffset(offset int64) {
	if next := f.next.Load(); next == snapshotOffset || offset <= next {
		return
	}
	time.AfterFunc(f.lagGrace, func() {
		next := f.next.Load()
		if next == snapshotOffset || offset <= next {
			return
		}
		previous := f.peerOffset.Load()
		f.peerOffset.Store(max(offset, previous))
		if previous > next {
			return // no read waits for changes now
		}
		f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", next).Int64("exists", offset).Msg("behind other nodes; reading anew")
		f.cancelRead()
	})
}

func (f *follower) cancelRead() {
	if cancel := f.readCancel.Load(); cancel != nil {
		(*cancel)()
	}
}

// applyBatch puts a page in force that was read from an offset and was true then.
func (f *follower) applyBatch(from int64, b batch, validAt time.Time) {
	f.confirmedAt.Store(validAt.UnixMilli())
	f.feed.add(from, b)
	f.next.Store(b.Next)
	if len(b.Items) > 0 {
		f.apply(b.Items)
	}
	f.markFirstReadDone()
}

// readChanges reads what comes after an offset and waits for it.
func (f *follower) readChanges(ctx context.Context, from int64, maxWait time.Duration) error {
	sent := time.Now()
	items, next, err := f.topic.Read(ctx, from, maxWait)
	f.calls.log(ctx, PurposeChanges, sent, err)
	if err != nil {
		return err
	}
	f.applyBatch(from, batch{Items: items, Next: next}, asOf(sent, len(items) > 0))
	if len(items) > 0 && f.batchWindow != nil {
		wait.For(ctx, f.batchWindow())
	}
	return nil
}

// readSnapshot reads all keys.
func (f *follower) readSnapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*storeCallTimeout)
	defer cancel()
	sent := time.Now()
	items, next, err := f.topic.Newest(callCtx)
	f.calls.log(ctx, f.snapshotPurpose, sent, err)
	if err != nil {
		return err
	}
	f.applyBatch(snapshotOffset, batch{Items: items, Next: next, Snapshot: true}, sent)
	wait.For(ctx, f.pauseAfterSnapshot)
	f.pauseAfterSnapshot = 0
	return nil
}

// asOf is when what a read brought was true. One that waited and brought nothing says
// that nothing came until its answer.
func asOf(sent time.Time, changed bool) time.Time {
	if changed {
		return sent
	}
	return time.Now()
}

// age returns how long ago what is believed was true; negative when nothing was
// read yet.
func (f *follower) age(now time.Time) time.Duration {
	at := f.confirmedAt.Load()
	if at == 0 {
		return -time.Millisecond
	}
	return max(0, now.Sub(time.UnixMilli(at)))
}

// resyncNow reads everything once more, at once.
func (f *follower) resyncNow() {
	f.resync.Store(true)
	f.cancelRead()
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// noteLost notes that the store did not answer a read.
//
// Load pattern: the store is away, and all nodes of a zone would look for it at the
// pace of one. The zone's reader goes on at that pace; the others look so seldom that
// together they are some ten a second, and hear from each other.
func (f *follower) noteLost(ctx context.Context, err error) {
	f.nextProbe = time.Now().Add(f.probeInterval())
	if !f.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	f.lostAt = time.Now()
	f.lost.Store(true)
	f.feed.markStoreLost()
	f.markFirstReadDone()
	f.logger.Warn().Str("topic", f.topic.Name()).Err(err).Msg("store lost")
}

// probeInterval is how long this node leaves a lost store to the others of its zone.
func (f *follower) probeInterval() time.Duration {
	if f.relay == nil || f.relay.readsStore {
		return 0
	}
	mean := min(time.Duration(f.relay.neighbourCount())*zoneProbeInterval, maxProbeInterval)
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

func (f *follower) markFirstReadDone() { f.firstReadOnce.Do(func() { close(f.firstReadDone) }) }

func (f *follower) noteRegained() {
	if f.lostAt.IsZero() {
		return
	}
	f.logger.Info().Str("topic", f.topic.Name()).Dur("after_ms", time.Since(f.lostAt)).Msg("store regained")
	f.lostAt = time.Time{}
	f.lost.Store(false)
}

// backoff waits longer with each failure, by a random part, so that the nodes
// of a deployment don't all ask in the moment of the store's return.
func backoff(ctx context.Context, failures int, wake <-chan struct{}) {
	maxDelay := min(maxRetryDelay, minRetryDelay<<min(failures-1, 5))
	t := time.NewTimer(maxDelay/2 + rand.N(maxDelay/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}
