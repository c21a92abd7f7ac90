package mesh

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/wait"
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

const (
	// readWait is how long a read at the end of a topic waits for news. A read
	// costs the same however long it waits; whether its connection lives is
	// shown by keep-alive probes, not by its end.
	readWait = 25 * time.Second
	// minPause and maxPause bound the wait after a failed call of the store. An
	// entry has to be back about two seconds after the store's return.
	minPause = 150 * time.Millisecond
	maxPause = 1200 * time.Millisecond
	// callTimeout bounds a call of the store that doesn't wait. Slow stores
	// answer in some hundred milliseconds.
	callTimeout = 2 * time.Second
)

// follower applies the records of a topic from the first to the newest, for as
// long as the node runs.
type follower struct {
	topic  Topic
	apply  func([]Item)
	logger zerolog.Logger
	// kick makes a pause end at once.
	kick chan struct{}
	// settle is how long to wait after news from the store before the next read; nil:
	// not at all.
	settle func() time.Duration
	// relay reads through another node of the zone; nil: always the store itself.
	relay *relay
	// stopAsking ends the question to another node that waits, if one does.
	stopAsking atomic.Pointer[context.CancelFunc]
	// feed is what was read, for the nodes that read through this one.
	feed feed

	// confirmed is when the newest read that succeeded was sent, in Unix
	// milliseconds; 0 means never. What is believed was true then.
	confirmed atomic.Int64
	// afresh is set to read everything once more.
	afresh atomic.Bool
	lostAt time.Time
	// lost is whether the last read failed.
	lost atomic.Bool
}

func (f *follower) run(ctx context.Context) {
	failures := 0
	next := int64(-1)
	for ctx.Err() == nil {
		var err error
		next, err = f.step(ctx, next)
		if err == nil {
			f.regained()
			failures = 0
			continue
		}
		if errors.Is(err, ErrExpired) {
			f.logger.Info().Str("topic", f.topic.Name()).Int64("offset", next).Msg("records expired before they were read; reading the newest of each key")
			next = -1
			continue
		}
		f.noteLost(ctx, err)
		failures++
		f.pause(ctx, failures)
	}
}

// step reads once and returns the offset to go on from; -1 reads everything.
func (f *follower) step(ctx context.Context, next int64) (int64, error) {
	if f.afresh.Swap(false) || next < 0 {
		return f.snapshot(ctx)
	}
	if p, ok := f.ask(ctx, next); ok {
		f.take(next, p, time.Now().Add(-time.Duration(p.AgeMillis)*time.Millisecond))
		return p.Next, nil
	}
	if f.afresh.Load() {
		return next, nil
	}
	sent := time.Now()
	items, after, err := f.topic.Read(ctx, next, readWait)
	if err != nil {
		return next, err
	}
	f.take(next, page{Items: items, Next: after}, asOf(sent, len(items) > 0))
	if len(items) > 0 && f.settle != nil {
		wait.For(ctx, f.settle())
	}
	return after, nil
}

// ask reads through another node of the zone, unless there is none; restart ends it.
func (f *follower) ask(ctx context.Context, next int64) (page, bool) {
	if f.relay == nil {
		return page{}, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	f.stopAsking.Store(&cancel)
	return f.relay.read(ctx, f.topic.Name(), next)
}

// take puts a page in force that was read from an offset and was true then.
func (f *follower) take(from int64, p page, then time.Time) {
	f.confirmed.Store(then.UnixMilli())
	f.feed.add(from, p)
	if len(p.Items) > 0 {
		f.apply(p.Items)
	}
}

func (f *follower) snapshot(ctx context.Context) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*callTimeout)
	defer cancel()
	sent := time.Now()
	items, next, err := f.topic.Newest(ctx)
	if err != nil {
		return -1, err
	}
	f.take(next, page{Next: next}, asOf(sent, true))
	f.apply(items)
	return next, nil
}

// asOf is when what a read brought was true. One that waited and brought nothing says
// that nothing came until its answer.
func asOf(sent time.Time, news bool) time.Time {
	if news {
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
	if cancel := f.stopAsking.Load(); cancel != nil {
		(*cancel)()
	}
	select {
	case f.kick <- struct{}{}:
	default:
	}
}

func (f *follower) noteLost(ctx context.Context, err error) {
	if !f.lostAt.IsZero() || ctx.Err() != nil {
		return
	}
	f.lostAt = time.Now()
	f.lost.Store(true)
	f.feed.lose()
	f.logger.Warn().Str("topic", f.topic.Name()).Err(err).Msg("store lost")
}

func (f *follower) regained() {
	if f.lostAt.IsZero() {
		return
	}
	f.logger.Info().Str("topic", f.topic.Name()).Dur("after_ms", time.Since(f.lostAt)).Msg("store regained")
	f.lostAt = time.Time{}
	f.lost.Store(false)
}

func (f *follower) pause(ctx context.Context, failures int) { pauseAfter(ctx, failures, f.kick) }

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
