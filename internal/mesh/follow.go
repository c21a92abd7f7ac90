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
	// minPause and maxPause bound the wait after a failed call of the store. An
	// entry has to be back about two seconds after the store's return.
	minPause = 150 * time.Millisecond
	maxPause = 1200 * time.Millisecond
	// callTimeout bounds a call of the store that doesn't wait. Slow stores
	// answer in some hundred milliseconds.
	callTimeout = 2 * time.Second
	// probeSpacing is the mean time between two reads with which the nodes of a zone
	// look whether a lost store is back, and maxProbePause bounds what that makes for
	// one node of a large zone.
	probeSpacing  = 100 * time.Millisecond
	maxProbePause = 10 * time.Second
	// behindGrace is how long another node may be ahead of one that reads as it should.
	behindGrace = 100 * time.Millisecond
	// behindTimeout bounds a read of what is known to be there.
	behindTimeout = 500 * time.Millisecond
)

// readAll is the offset of a follower that knows nothing yet: it needs all keys.
const readAll int64 = -1

// errTooSoon says that another node of the zone is to look for the lost store.
var errTooSoon = errors.New("the store was asked a moment ago")

// errReadEnded says that a read was ended to begin anew.
var errReadEnded = errors.New("read ended")

// follower applies the records of a topic from the first to the newest, for as
// long as the node runs. It reads them through another node of its zone where it
// can, and else from the store.
type follower struct {
	topic  Topic
	apply  func([]Item)
	logger zerolog.Logger
	calls  callLog
	// kick makes a pause end at once.
	kick chan struct{}
	// readWait is how long a read at the store waits for changes.
	readWait time.Duration
	// settle is how long to wait after changes from the store before the next read; nil:
	// not at all.
	settle func() time.Duration
	// restAfterStart is how long to wait after the first read of all keys.
	restAfterStart time.Duration
	// relay reads through another node of the zone; nil: always the store itself.
	relay *relay
	// stopReading ends the read that waits, at another node or at the store.
	stopReading atomic.Pointer[context.CancelFunc]
	// next is the offset to go on from, and exists the greatest that other nodes have
	// been at for a while.
	next, exists atomic.Int64
	// behindGrace is how long another node may be ahead before a read is ended that
	// waits for changes.
	behindGrace time.Duration
	// feed is what was read, for the nodes that read through this one.
	feed feed
	// purpose is why all keys are read next.
	purpose Purpose

	// confirmed is when the newest read that succeeded was sent, in Unix
	// milliseconds; 0 means never. What is believed was true then.
	confirmed atomic.Int64
	// afresh is set to read everything once more.
	afresh atomic.Bool
	lostAt time.Time
	// lost is whether the last read failed.
	lost atomic.Bool
	// probeAt is when a lost store may be read again.
	probeAt time.Time
	// tried is closed when the first read has ended, well or not.
	tried     chan struct{}
	triedOnce sync.Once
}

func newFollower(topic Topic, apply func([]Item), r *relay, logger zerolog.Logger) *follower {
	f := &follower{
		topic:       topic,
		apply:       apply,
		logger:      logger,
		calls:       callLog{logger: logger, topic: topic.Name()},
		kick:        make(chan struct{}, 1),
		relay:       r,
		purpose:     PurposeStart,
		behindGrace: behindGrace,
		readWait:    readWait,
		tried:       make(chan struct{}),
	}
	f.next.Store(readAll)
	return f
}

func (f *follower) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			f.regained()
			failures = 0
			continue
		}
		if errors.Is(err, ErrExpired) {
			f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", f.next.Load()).Msg("records expired before they were read; reading the newest of each key")
			f.readAfresh(PurposeExpired)
			continue
		}
		if errors.Is(err, errReadEnded) {
			continue
		}
		if errors.Is(err, errTooSoon) {
			pauseAfter(ctx, 1, f.kick)
			continue
		}
		f.noteLost(ctx, err)
		failures++
		pauseAfter(ctx, failures, f.kick)
	}
}

// readAfresh lets the next read be one of all keys.
func (f *follower) readAfresh(why Purpose) {
	f.purpose = why
	f.next.Store(readAll)
	f.exists.Store(0)
}

// step reads once.
func (f *follower) step(ctx context.Context) error {
	readCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.stopReading.Store(&cancel)
	if f.afresh.Swap(false) {
		f.readAfresh(PurposeStart)
	}
	next := f.next.Load()
	if p, ok := f.ask(readCtx, next); ok {
		f.take(next, p, time.Now().Add(-time.Duration(p.AgeMillis)*time.Millisecond))
		return nil
	}
	if readCtx.Err() != nil {
		return errReadEnded
	}
	if f.lost.Load() && time.Now().Before(f.probeAt) {
		return errTooSoon
	}
	err := f.readStore(readCtx, next)
	if err != nil && readCtx.Err() != nil && ctx.Err() == nil {
		return errReadEnded
	}
	return err
}

// ask reads through another node of the zone, unless there is none.
func (f *follower) ask(ctx context.Context, next int64) (page, bool) {
	if f.relay == nil {
		return page{}, false
	}
	if f.lost.Load() {
		return f.relay.awaitReturn(ctx, f.topic.Name(), next)
	}
	return f.relay.read(ctx, f.topic.Name(), next, f.exists.Load())
}

// readStore reads all keys from the store, or waits there for what comes after an offset.
func (f *follower) readStore(ctx context.Context, next int64) error {
	if next == readAll {
		return f.snapshot(ctx)
	}
	switch {
	case f.exists.Load() > next:
		return f.readNow(ctx, next, behindTimeout)
	case f.lost.Load():
		return f.readNow(ctx, next, callTimeout)
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
		f.exists.Store(f.next.Load())
	}
	return err
}

// heard takes in how far another node has read. If this one stays behind, a read that
// waits for changes is ended: its answer may never come.
func (f *follower) heard(offset int64) {
	if next := f.next.Load(); next == readAll || offset <= next {
		return
	}
	time.AfterFunc(f.behindGrace, func() {
		next := f.next.Load()
		if next == readAll || offset <= next {
			return
		}
		before := f.exists.Load()
		f.exists.Store(max(offset, before))
		if before > next {
			return // no read waits for changes now
		}
		f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", next).Int64("exists", offset).Msg("behind other nodes; reading anew")
		f.endRead()
	})
}

func (f *follower) endRead() {
	if cancel := f.stopReading.Load(); cancel != nil {
		(*cancel)()
	}
}

// take puts a page in force that was read from an offset and was true then.
func (f *follower) take(from int64, p page, then time.Time) {
	f.confirmed.Store(then.UnixMilli())
	f.feed.add(from, p)
	f.next.Store(p.Next)
	if len(p.Items) > 0 {
		f.apply(p.Items)
	}
	f.noteTried()
}

// readChanges reads what comes after an offset and waits for it.
func (f *follower) readChanges(ctx context.Context, from int64, most time.Duration) error {
	sent := time.Now()
	items, next, err := f.topic.Read(ctx, from, most)
	f.calls.done(ctx, PurposeChanges, sent, err)
	if err != nil {
		return err
	}
	f.take(from, page{Items: items, Next: next}, asOf(sent, len(items) > 0))
	if len(items) > 0 && f.settle != nil {
		wait.For(ctx, f.settle())
	}
	return nil
}

// snapshot reads all keys.
func (f *follower) snapshot(ctx context.Context) error {
	callCtx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := time.Now()
	items, next, err := f.topic.Newest(callCtx)
	f.calls.done(ctx, f.purpose, sent, err)
	if err != nil {
		return err
	}
	f.take(readAll, page{Items: items, Next: next, Whole: true}, sent)
	wait.For(ctx, f.restAfterStart)
	f.restAfterStart = 0
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
	at := f.confirmed.Load()
	if at == 0 {
		return -time.Millisecond
	}
	return max(0, now.Sub(time.UnixMilli(at)))
}

// restart reads everything once more, at once.
func (f *follower) restart() {
	f.afresh.Store(true)
	f.endRead()
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

// noteLost notes that the store did not answer a read.
//
// Load pattern: the store is away, and all nodes of a zone would look for it at the
// pace of one. The zone's reader goes on at that pace; the others look so seldom that
// together they are some ten a second, and hear from each other.
func (f *follower) noteLost(ctx context.Context, err error) {
	f.probeAt = time.Now().Add(f.probePause())
	if !f.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	f.lostAt = time.Now()
	f.lost.Store(true)
	f.feed.lose()
	f.noteTried()
	f.logger.Warn().Str("topic", f.topic.Name()).Err(err).Msg("store lost")
}

// probePause is how long this node leaves a lost store to the others of its zone.
func (f *follower) probePause() time.Duration {
	if f.relay == nil || f.relay.reads {
		return 0
	}
	mean := min(time.Duration(f.relay.others())*probeSpacing, maxProbePause)
	return time.Duration((0.5 + rand.Float64()) * float64(mean))
}

func (f *follower) noteTried() { f.triedOnce.Do(func() { close(f.tried) }) }

func (f *follower) regained() {
	if f.lostAt.IsZero() {
		return
	}
	f.logger.Info().Str("topic", f.topic.Name()).Dur("after_ms", time.Since(f.lostAt)).Msg("store regained")
	f.lostAt = time.Time{}
	f.lost.Store(false)
}

// pauseAfter waits longer with each failure, by a random part, so that the nodes
// of a deployment don't all ask in the moment of the store's return.
func pauseAfter(ctx context.Context, failures int, wake <-chan struct{}) {
	bound := min(maxPause, minPause<<min(failures-1, 5))
	t := time.NewTimer(bound/2 + rand.N(bound/2))
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}
