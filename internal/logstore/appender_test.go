package logstore_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/standin/logd"
)

// sink counts what folds and hands every page to an Appender.
type sink struct {
	app   *logstore.Appender
	dedup *logstore.Dedup

	mu     sync.Mutex
	next   int64
	copies map[string]int
	folds  map[string]int
}

func (s *sink) Next() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

func (s *sink) Take(page logstore.Page, _ time.Time) {
	s.mu.Lock()
	for _, e := range page.Entries {
		s.copies[e.Record.ID]++
		if s.dedup.Fresh(e) {
			s.folds[e.Record.ID]++
		}
	}
	s.next = page.Next
	s.mu.Unlock()
	s.app.Observe(page.Entries)
}

func (s *sink) Truncated(oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = oldest
}

func (s *sink) Failed(error) {}

// slowReader refuses reads while blind.
type slowReader struct {
	logstore.Log
	blind atomic.Bool
}

func (l *slowReader) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	page, err := l.Log.Read(ctx, from, max, wait)
	// Asked after the read: one that waits at the log since before the reader
	// went blind must not show the records either.
	if l.blind.Load() {
		return logstore.Page{}, &logstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	return page, err
}

// bench is one writer and one reader against a stand-in, in a synctest bubble.
type bench struct {
	log  *logd.Server
	read *slowReader
	app  *logstore.Appender
	sink *sink
	stop func()
}

func newBench(t *testing.T, change func(*logstore.AppenderConfig)) *bench {
	t.Helper()
	log := logd.New(logd.Options{Seed: 1})
	cfg := logstore.DefaultAppenderConfig()
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	if change != nil {
		change(&cfg)
	}
	app, err := logstore.NewAppender(log, cfg)
	must.NoError(t, err)
	s := &sink{app: app, dedup: logstore.NewDedup(10_000), copies: map[string]int{}, folds: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = app.Run(ctx) })
	fc := logstore.DefaultFollowConfig()
	fc.Rand = rand.New(rand.NewPCG(3, 4))
	read := &slowReader{Log: log}
	wg.Go(func() { _ = logstore.Follow(ctx, read, fc, s) })
	return &bench{log: log, read: read, app: app, sink: s, stop: func() { cancel(); wg.Wait() }}
}

func rec(id string) logstore.Record {
	return logstore.Record{ID: id, Kind: logstore.KindClaim, At: time.Now(), Body: []byte(`{}`)}
}

// Guards against a publication that counts twice after its acknowledgement was lost.
func TestLostAckIsSettledByRepeatAndRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		b.log.Update(func(k *logd.Knobs) { k.LoseAcks = 1 })
		offset, err := b.app.Append(t.Context(), rec("a"))
		must.NoError(t, err)
		must.Eq(t, 0, offset)
		time.Sleep(10 * time.Second)
		b.stop()
		must.Eq(t, 1, b.sink.folds["a"])
		must.Eq(t, 1, b.app.Stats().Uncertain)
	})
}

// Guards against repeats of a record being folded more than once.
func TestRepeatsFoldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		b.read.blind.Store(true)
		time.AfterFunc(5*time.Second, func() { b.read.blind.Store(false) })
		b.log.Update(func(k *logd.Knobs) { k.AckLoss = 0.7; k.DelayMillis = 300 })
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				_, err := b.app.Append(t.Context(), rec(fmt.Sprint("r", i)))
				must.NoError(t, err)
			})
		}
		wg.Wait()
		time.Sleep(time.Minute)
		b.stop()
		copies := 0
		for i := range 50 {
			must.Eq(t, 1, b.sink.folds[fmt.Sprint("r", i)])
			copies += b.sink.copies[fmt.Sprint("r", i)]
		}
		must.Greater(t, 50, copies)
	})
}

// A surge of claims arrives at one node. They share appends and stay within
// the node's budget, so that the log has room for the other nodes.
func TestSurgeStaysWithinBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(c *logstore.AppenderConfig) { c.PerSecond, c.Burst = 4, 2 })
		b.log.Update(func(k *logd.Knobs) { k.DelayMillis = 5 })
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				_, err := b.app.Append(t.Context(), rec(fmt.Sprint("r", i)))
				must.NoError(t, err)
			})
		}
		wg.Wait()
		budget := 2 + 4*time.Since(start).Seconds() + 1
		must.Less(t, budget, float64(b.log.Appends()))
		must.Eq(t, 2000, b.app.Stats().Records)
		b.stop()
	})
}

// Guards against a record that may be in the log being reported as absent.
func TestGivingUpTellsSentFromUnsent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		b.log.Update(func(k *logd.Knobs) { k.Hang = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sent, unsent := make(chan error), make(chan error)
		go func() { _, err := b.app.Append(ctx, rec("sent")); sent <- err }()
		synctest.Wait()
		go func() { _, err := b.app.Append(ctx, rec("unsent")); unsent <- err }()
		must.ErrorIs(t, <-sent, logstore.ErrUncertain)
		err := <-unsent
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.False(t, isUncertain(err))
		b.log.Update(func(k *logd.Knobs) { k.Hang = false })
		time.Sleep(10 * time.Second)
		b.stop()
		must.Zero(t, b.sink.copies["unsent"])
	})
}

func isUncertain(err error) bool {
	_, ok := err.(*logstore.UncertainError)
	return ok
}

// Guards against a record that appears long after its writer has given it up.
func TestLongOutageGivesUpInBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, nil)
		b.log.Update(func(k *logd.Knobs) { k.Outage = true })
		start := time.Now()
		_, err := b.app.Append(t.Context(), rec("old"))
		must.ErrorIs(t, err, logstore.ErrUnavailable)
		must.LessEq(t, 40*time.Second, time.Since(start))
		b.log.Update(func(k *logd.Knobs) { k.Outage = false })
		_, err = b.app.Append(t.Context(), rec("new"))
		must.NoError(t, err)
		b.stop()
		must.Zero(t, b.sink.copies["old"])
	})
}

// Callers come and give up all through an outage; the queue refuses beyond its
// bound and holds nothing of those who left.
func TestQueueIsBoundedThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(t, func(c *logstore.AppenderConfig) { c.MaxQueue = 8 })
		b.log.Update(func(k *logd.Knobs) { k.Hang = true })
		refused := 0
		for round := range 20 {
			var wg sync.WaitGroup
			var mu sync.Mutex
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			for i := range 10 {
				wg.Go(func() {
					_, err := b.app.Append(ctx, rec(fmt.Sprint(round, "-", i)))
					mu.Lock()
					defer mu.Unlock()
					if err == logstore.ErrQueueFull {
						refused++
					}
				})
			}
			wg.Wait()
			cancel()
			must.Zero(t, b.app.Stats().Queued)
		}
		must.Eq(t, 40, refused)
		b.stop()
	})
}

func TestAppenderConfigNamesWhatIsWrong(t *testing.T) {
	cfg := logstore.DefaultAppenderConfig()
	cfg.RepeatFor = time.Second
	_, err := logstore.NewAppender(logd.New(logd.Options{}), cfg)
	must.ErrorContains(t, err, "repeat_for is 1s, must be at least timeout 2s")
}

// Two replicas read the same log, one from further back. A repeat within the
// window is not new to either; past the window the memory is empty again.
func TestDedupWindow(t *testing.T) {
	long, short := logstore.NewDedup(10), logstore.NewDedup(10)
	entry := func(o int64, id string) logstore.Entry {
		return logstore.Entry{Offset: o, Record: logstore.Record{ID: id}}
	}
	for o := range int64(100) {
		e := entry(o, fmt.Sprint("id", o/3))
		fresh := long.Fresh(e)
		must.Eq(t, o%3 == 0, fresh)
		if o >= 50 {
			got := short.Fresh(e)
			must.True(t, o < 60 || got == fresh)
		}
		must.LessEq(t, 11, long.Len())
	}
	must.True(t, long.Fresh(entry(200, "id32")))
	must.Eq(t, 1, long.Len())
}
