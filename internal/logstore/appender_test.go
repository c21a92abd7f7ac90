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

// sink counts the copies and the folds of each record and passes every page to an Appender.
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

func (s *sink) OnPage(page logstore.Page, _ time.Time) {
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

func (s *sink) OnTruncated(oldest int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = oldest
}

func (s *sink) OnReadFailed(error) {}

// failingReader is a Log whose reads fail while failing is set.
type failingReader struct {
	logstore.Log
	failing atomic.Bool
}

func (l *failingReader) Read(ctx context.Context, from int64, max int, wait time.Duration) (logstore.Page, error) {
	page, err := l.Log.Read(ctx, from, max, wait)
	// Checked after the read, so that a read that was already waiting at the log when failing
	// was set fails as well.
	if l.failing.Load() {
		return logstore.Page{}, &logstore.UnavailableError{Cause: context.DeadlineExceeded}
	}
	return page, err
}

// harness runs one Appender and one reader against a stand-in log server in a synctest bubble.
type harness struct {
	log  *logd.Server
	read *failingReader
	app  *logstore.Appender
	sink *sink
	stop func()
}

func newHarness(t *testing.T, configure func(*logstore.AppenderConfig)) *harness {
	t.Helper()
	log := logd.New(logd.Options{Seed: 1})
	cfg := logstore.DefaultAppenderConfig()
	cfg.Rand = rand.New(rand.NewPCG(1, 2))
	if configure != nil {
		configure(&cfg)
	}
	app, err := logstore.NewAppender(log, cfg)
	must.NoError(t, err)
	s := &sink{app: app, dedup: logstore.NewDedup(10_000), copies: map[string]int{}, folds: map[string]int{}}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	wg.Go(func() { _ = app.Run(ctx) })
	fc := logstore.DefaultFollowConfig()
	fc.Rand = rand.New(rand.NewPCG(3, 4))
	read := &failingReader{Log: log}
	wg.Go(func() { _ = logstore.Follow(ctx, read, fc, s) })
	return &harness{log: log, read: read, app: app, sink: s, stop: func() { cancel(); wg.Wait() }}
}

func rec(id string) logstore.Record {
	return logstore.Record{ID: id, Kind: logstore.KindClaim, At: time.Now(), Body: []byte(`{}`)}
}

// Guards against a publication that is folded twice, or never reported as done, after its
// acknowledgement was lost.
func TestLostAckIsSettledByRetryAndRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.log.Update(func(k *logd.Knobs) { k.AcksToLose = 1 })
		offset, err := h.app.Append(t.Context(), rec("a"))
		must.NoError(t, err)
		must.Eq(t, 0, offset)
		time.Sleep(10 * time.Second)
		h.stop()
		must.Eq(t, 1, h.sink.folds["a"])
		must.Eq(t, 1, h.app.Stats().Uncertain)
	})
}

// Guards against several copies of a record being folded. The copies arise because
// acknowledgements are lost and the reader fails, so that the Appender retries.
func TestRetriedRecordsFoldOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.read.failing.Store(true)
		time.AfterFunc(5*time.Second, func() { h.read.failing.Store(false) })
		h.log.Update(func(k *logd.Knobs) { k.AckLoss = 0.7; k.DelayMillis = 300 })
		var wg sync.WaitGroup
		for i := range 50 {
			wg.Go(func() {
				_, err := h.app.Append(t.Context(), rec(fmt.Sprint("r", i)))
				must.NoError(t, err)
			})
		}
		wg.Wait()
		time.Sleep(time.Minute)
		h.stop()
		copies := 0
		for i := range 50 {
			must.Eq(t, 1, h.sink.folds[fmt.Sprint("r", i)])
			copies += h.sink.copies[fmt.Sprint("r", i)]
		}
		must.Greater(t, 50, copies)
	})
}

// Guards against a surge of claims at one node that uses the log's capacity for other nodes.
// The records must share appends, and the appends must stay within the node's rate.
func TestSurgeStaysWithinAppendRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *logstore.AppenderConfig) { c.PerSecond, c.Burst = 4, 2 })
		h.log.Update(func(k *logd.Knobs) { k.DelayMillis = 5 })
		start := time.Now()
		var wg sync.WaitGroup
		for i := range 2000 {
			wg.Go(func() {
				time.Sleep(time.Duration(i) * 5 * time.Millisecond)
				_, err := h.app.Append(t.Context(), rec(fmt.Sprint("r", i)))
				must.NoError(t, err)
			})
		}
		wg.Wait()
		budget := 2 + 4*time.Since(start).Seconds() + 1
		must.Less(t, budget, float64(h.log.Appends()))
		// A record can be read back, which ends its Append, before the appender has counted it.
		synctest.Wait()
		must.Eq(t, 2000, h.app.Stats().Records)
		h.stop()
	})
}

// Guards against a record that may be in the log being reported as not recorded. Both callers
// are canceled while the log hangs: the record of the first was sent, that of the second not.
func TestCanceledAppendIsUncertainOnlyIfSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.log.Update(func(k *logd.Knobs) { k.Hang = true })
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		sent, unsent := make(chan error), make(chan error)
		go func() { _, err := h.app.Append(ctx, rec("sent")); sent <- err }()
		synctest.Wait()
		go func() { _, err := h.app.Append(ctx, rec("unsent")); unsent <- err }()
		must.ErrorIs(t, <-sent, logstore.ErrUncertain)
		err := <-unsent
		must.ErrorIs(t, err, context.DeadlineExceeded)
		must.False(t, isUncertainError(err))
		h.log.Update(func(k *logd.Knobs) { k.Hang = false })
		time.Sleep(10 * time.Second)
		h.stop()
		must.Zero(t, h.sink.copies["unsent"])
	})
}

func isUncertainError(err error) bool {
	_, ok := err.(*logstore.UncertainError)
	return ok
}

// Guards against a record that reaches the log after its caller received an error, because
// retries continue after an outage.
func TestLongOutageFailsAppendInBoundedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, nil)
		h.log.Update(func(k *logd.Knobs) { k.Outage = true })
		start := time.Now()
		_, err := h.app.Append(t.Context(), rec("old"))
		must.ErrorIs(t, err, logstore.ErrUnavailable)
		must.LessEq(t, 40*time.Second, time.Since(start))
		h.log.Update(func(k *logd.Knobs) { k.Outage = false })
		_, err = h.app.Append(t.Context(), rec("new"))
		must.NoError(t, err)
		h.stop()
		must.Zero(t, h.sink.copies["old"])
	})
}

// Guards against a queue that grows during an outage. Callers enqueue records and are
// canceled; the queue must reject records above its limit and keep no record of a canceled caller.
func TestQueueIsBoundedThroughOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, func(c *logstore.AppenderConfig) { c.MaxQueue = 8 })
		h.log.Update(func(k *logd.Knobs) { k.Hang = true })
		rejected := 0
		for round := range 20 {
			var wg sync.WaitGroup
			var mu sync.Mutex
			ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
			for i := range 10 {
				wg.Go(func() {
					_, err := h.app.Append(ctx, rec(fmt.Sprint(round, "-", i)))
					mu.Lock()
					defer mu.Unlock()
					if err == logstore.ErrQueueFull {
						rejected++
					}
				})
			}
			wg.Wait()
			cancel()
			must.Zero(t, h.app.Stats().Queued)
		}
		must.Eq(t, 40, rejected)
		h.stop()
	})
}

// Guards against a configuration error that does not name the setting, its value and the bound.
func TestAppenderConfigErrorNamesSettingAndBound(t *testing.T) {
	cfg := logstore.DefaultAppenderConfig()
	cfg.RepeatFor = time.Second
	_, err := logstore.NewAppender(logd.New(logd.Options{}), cfg)
	must.ErrorContains(t, err, "repeat_for is 1s, must be at least timeout 2s")
}

// Guards against replicas that disagree on which copy of a record is the first. Two replicas
// read the same log from different offsets. Both must recognize a copy within the window, and
// IDs beyond the window must be removed.
func TestDedupWindow(t *testing.T) {
	fromStart, fromOffset50 := logstore.NewDedup(10), logstore.NewDedup(10)
	entry := func(o int64, id string) logstore.Entry {
		return logstore.Entry{Offset: o, Record: logstore.Record{ID: id}}
	}
	for o := range int64(100) {
		e := entry(o, fmt.Sprint("id", o/3))
		fresh := fromStart.Fresh(e)
		must.Eq(t, o%3 == 0, fresh)
		if o >= 50 {
			got := fromOffset50.Fresh(e)
			must.True(t, o < 60 || got == fresh)
		}
		must.LessEq(t, 11, fromStart.Len())
	}
	must.True(t, fromStart.Fresh(entry(200, "id32")))
	must.Eq(t, 1, fromStart.Len())
}
