package records

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// errRefused is the response of a node that refuses.
var errRefused = errors.New("refused")

// growingTopic gains a record every 100 ms; a read returns the existing records and waits for
// one if there are none.
type growingTopic struct {
	startedAt time.Time
	reads     atomic.Int64
	down      atomic.Bool
}

func (*growingTopic) Name() string                       { return "members" }
func (*growingTopic) Put(context.Context, ...Item) error { return nil }

func (g *growingTopic) end() int64 { return int64(time.Since(g.startedAt) / (100 * time.Millisecond)) }

func (g *growingTopic) NewestPage(context.Context, string) (Page, error) {
	if g.down.Load() {
		return Page{}, errors.New("store is down")
	}
	return Page{Next: g.end()}, nil
}

func (g *growingTopic) Read(ctx context.Context, from int64, _ time.Duration) ([]Item, int64, error) {
	g.reads.Add(1)
	for from >= g.end() && ctx.Err() == nil && !g.down.Load() {
		wait.For(ctx, time.Millisecond)
	}
	if g.down.Load() {
		return nil, 0, errors.New("store is down")
	}
	var items []Item
	for i := from; i < g.end(); i++ {
		items = append(items, Item{Key: fmt.Sprint(i)})
	}
	return items, g.end(), nil
}

// reader is one node of a zone whose nodes follow a growing topic.
type reader struct {
	follower     *Follower
	seen         map[string]bool
	lastUpdate   atomic.Int64 // when records were last applied, in Unix nanoseconds
	unreachable  atomic.Bool  // other nodes' requests to it fail after 1 s
	paused       atomic.Bool  // other nodes' requests to it time out
	storeTimeout atomic.Int64 // how long its reads of the store take to fail; 0 if they succeed
}

func newReaders(topic Topic, n int) []*reader {
	readers := make([]*reader, n)
	var zone []fleet.Member
	for i := range readers {
		name := fmt.Sprintf("vm-%d", i)
		readers[i] = &reader{seen: map[string]bool{}}
		zone = append(zone, fleet.Member{Node: name, State: fleet.Serving, Address: fmt.Sprint(i)})
	}
	fetch := func(ctx context.Context, source *fleet.Member, req WatchRequest) (Batch, error) {
		var i int
		_, _ = fmt.Sscan(source.Address, &i)
		if readers[i].unreachable.Load() {
			wait.For(ctx, time.Second)
			return Batch{}, errors.New("silent")
		}
		if readers[i].paused.Load() {
			<-ctx.Done()
			return Batch{}, ctx.Err()
		}
		readers[i].follower.ObserveOffset(req.From)
		b, err := readers[i].follower.feed.readFrom(ctx, req.From, req.Wait, req.WaitForStore)
		if err != nil && ctx.Err() == nil {
			return Batch{}, errRefused
		}
		return b, err
	}
	for i, r := range readers {
		neighbours := append(append([]fleet.Member{}, zone[:i]...), zone[i+1:]...)
		apply := func(items []Item) {
			for _, item := range items {
				r.seen[item.Key] = true
			}
			r.lastUpdate.Store(time.Now().UnixNano())
		}
		rel := &Relay{
			Candidates:     func() []fleet.Member { return fleet.Sources(zone[i].Node, neighbours) },
			NeighbourCount: func() int { return len(neighbours) },
			Fetch:          fetch,
			Refused:        func(err error) bool { return errors.Is(err, errRefused) },
			Wait:           MembersWatchWait,
		}
		r.follower = NewFollower(&unresponsiveTopic{topic, &r.storeTimeout}, apply, rel, zerolog.Nop())
		r.follower.BatchWindow = func() time.Duration { return MinBatchWindow }
	}
	return readers
}

// readsForZone reports whether the node reads the store for the other nodes of its zone.
func (r *reader) readsForZone() bool { return len(r.follower.relay.Candidates()) == 0 }

func runReaders(t *testing.T, readers []*reader, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	done := make(chan struct{})
	for _, r := range readers {
		go func() {
			r.follower.Run(ctx)
			done <- struct{}{}
		}()
	}
	for range readers {
		<-done
	}
}

func missedRecords(r *reader, from, to int64) (missed int) {
	for i := from; i < to; i++ {
		if !r.seen[fmt.Sprint(i)] {
			missed++
		}
	}
	return missed
}

// Guards against every node of a zone reading the store itself, and against records that a node
// misses.
func TestZoneReadsOnceAndMissesNoRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 40)
		runReaders(t, readers, 20*time.Second)
		// The first reads happen before any node has records to serve: up to 2 of each of the 40 nodes.
		must.LessEq(t, 2*40+int64(20*time.Second/MinBatchWindow), topic.reads.Load())
		for _, r := range readers {
			must.LessEq(t, 1, missedRecords(r, 1, topic.end()-10))
		}
	})
}

// Guards against a zone without updates when the node that reads for it becomes unreachable
// while its connections stay open. The other nodes must receive the records within 2 s on their
// own.
func TestZoneContinuesWhenItsReaderIsUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 20)
		for _, r := range readers {
			if r.readsForZone() {
				time.AfterFunc(5*time.Second, func() { r.unreachable.Store(true) })
			}
		}
		runReaders(t, readers, 20*time.Second)
		for _, r := range readers {
			must.Less(t, 2*time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
			must.LessEq(t, 1, missedRecords(r, 1, topic.end()-20))
		}
	})
}

// Guards against a zone without updates while the process that reads for it is paused and the
// kernel of its VM acknowledges all packets. The other nodes must not be behind by more than the
// wait of one watch request.
func TestZoneContinuesWhileItsReaderIsPaused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 20)
		for _, r := range readers {
			if r.readsForZone() {
				time.AfterFunc(5*time.Second, func() { r.paused.Store(true) })
			}
		}
		time.AfterFunc(5*time.Second+MembersWatchWait+watchMargin+2*MinBatchWindow, func() {
			for _, r := range readers {
				must.Less(t, time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
			}
		})
		runReaders(t, readers, 20*time.Second)
	})
}

// maxRoutesDelay is how long a node may go without published changes.
const maxRoutesDelay = 2 * time.Second

// runZoneWithFailingReader runs a zone that reads routes through its reader, and calls fail on
// the reader after 5 s. No other node may be without changes for longer than maxRoutesDelay.
func runZoneWithFailingReader(t *testing.T, fail func(*reader)) {
	synctest.Test(t, func(t *testing.T) {
		const end = 20 * time.Second
		rng := rand.New(rand.NewPCG(1, 2))
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 20)
		for _, r := range readers {
			r.follower.relay.Wait, r.follower.BatchWindow = RoutesWatchWait, nil
			if r.readsForZone() {
				time.AfterFunc(5*time.Second, func() { fail(r) })
				continue
			}
			for at := 3 * time.Second; at < end; at += 100 * time.Millisecond {
				time.AfterFunc(at, func() {
					must.Less(t, maxRoutesDelay, time.Since(time.Unix(0, r.lastUpdate.Load())))
				})
			}
		}
		for at := 3 * time.Second; at < end; at += ZoneCompareInterval {
			r := readers[rng.IntN(len(readers))]
			time.AfterFunc(at, func() { r.follower.ObserveOffset(topic.end()) })
		}
		runReaders(t, readers, end)
	})
}

// Guards against late routes while the zone's reader is paused: watch requests to it get no response
// until their timeout.
func TestRoutesInForceWhileTheReaderIsPaused(t *testing.T) {
	runZoneWithFailingReader(t, func(r *reader) { r.paused.Store(true) })
}

// Guards against late routes while the zone's reader is unreachable: watch requests to it fail after
// 1 s.
func TestRoutesInForceWhileTheReaderIsUnreachable(t *testing.T) {
	runZoneWithFailingReader(t, func(r *reader) { r.unreachable.Store(true) })
}

// Guards against late routes while the zone's reader is behind: the store does not respond to the
// reader, and the reader serves its old records until its read fails after a timeout.
func TestRoutesInForceWhileTheReaderIsBehind(t *testing.T) {
	runZoneWithFailingReader(t, func(r *reader) { r.storeTimeout.Store(int64(1500 * time.Millisecond)) })
}

// Guards against a zone that keeps outdated routes because the store does not respond to its
// reader, while it responds to other nodes.
func TestRoutesInForceWhileTheStoreIgnoresTheReader(t *testing.T) {
	runZoneWithFailingReader(t, func(r *reader) {
		r.storeTimeout.Store(int64(readWait + 3*time.Second))
		r.follower.cancelRead()
	})
}

// unresponsiveTopic is a topic as seen by a node whose path to the store may become silent.
type unresponsiveTopic struct {
	Topic
	// timeout is how long a read takes to fail while the path is silent; 0 while it is healthy.
	timeout *atomic.Int64
}

func (s *unresponsiveTopic) Read(ctx context.Context, from int64, d time.Duration) ([]Item, int64, error) {
	if timeout := time.Duration(s.timeout.Load()); timeout > 0 {
		wait.For(ctx, timeout)
		return nil, 0, errors.New("silent")
	}
	return s.Topic.Read(ctx, from, d)
}

// Guards against one read of all keys per node when history expires: the zone's reader reads all
// keys once and serves them to the others.
func TestExpiredHistoryIsReadOnceForAZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &compactedTopic{growingTopic: &growingTopic{startedAt: time.Now()}}
		readers := newReaders(topic, 40)
		for at := 5 * time.Second; at < 20*time.Second; at += 2 * time.Second {
			time.AfterFunc(at, func() { topic.expired.Store(topic.end()) })
		}
		var previousSnapshots atomic.Int64
		time.AfterFunc(4*time.Second, func() { previousSnapshots.Store(topic.snapshots.Load()) })
		runReaders(t, readers, 20*time.Second)
		must.LessEq(t, 8, topic.snapshots.Load()-previousSnapshots.Load())
		for _, r := range readers {
			must.Less(t, time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
		}
	})
}

// compactedTopic drops its history up to an offset.
type compactedTopic struct {
	*growingTopic
	expired, snapshots atomic.Int64
}

func (c *compactedTopic) NewestPage(ctx context.Context, after string) (Page, error) {
	c.snapshots.Add(1)
	return c.growingTopic.NewestPage(ctx, after)
}

func (c *compactedTopic) Read(ctx context.Context, from int64, d time.Duration) ([]Item, int64, error) {
	if from < c.expired.Load() {
		return nil, 0, ErrExpired
	}
	return c.growingTopic.Read(ctx, from, d)
}

// Guards against every node of a zone probing a store that is down: together the nodes may send
// some 10 requests per second, and all must continue soon after the store returns.
func TestZoneSharesProbesOfALostStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 40)
		const lostAt, regainedAt = 5 * time.Second, 25 * time.Second
		var previousReads, reads atomic.Int64
		time.AfterFunc(lostAt, func() { topic.down.Store(true) })
		time.AfterFunc(lostAt+2*time.Second, func() { previousReads.Store(topic.reads.Load()) })
		time.AfterFunc(regainedAt, func() {
			reads.Store(topic.reads.Load() - previousReads.Load())
			topic.down.Store(false)
		})
		time.AfterFunc(regainedAt+2*time.Second, func() {
			for _, r := range readers {
				must.Less(t, time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
			}
		})
		runReaders(t, readers, 30*time.Second)
		must.LessEq(t, int64((regainedAt-lostAt)/zoneProbeInterval)*3/2, reads.Load())
	})
}

// Guards against a starting node that reads from the store what its zone can serve.
func TestStartingNodeReadsFromItsZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &compactedTopic{growingTopic: &growingTopic{startedAt: time.Now()}}
		readers := newReaders(topic, 10)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		var running sync.WaitGroup
		for i, r := range readers {
			running.Go(func() {
				if i == len(readers)-1 && !r.readsForZone() {
					wait.For(ctx, 5*time.Second)
				}
				r.follower.Run(ctx)
			})
		}
		var previousSnapshots atomic.Int64
		time.AfterFunc(4*time.Second, func() { previousSnapshots.Store(topic.snapshots.Load()) })
		running.Wait()
		must.EqOp(t, previousSnapshots.Load(), topic.snapshots.Load())
		for _, r := range readers {
			must.Less(t, time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
		}
	})
}

// Guards against stale records that look current: the store goes down for 5 s, and nodes that
// read through another one must not count its old records as new.
func TestReaderWithoutStoreServesNoBatches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 5)
		time.AfterFunc(5*time.Second, func() { topic.down.Store(true) })
		time.AfterFunc(9*time.Second, func() {
			for _, r := range readers {
				must.True(t, r.follower.lost.Load())
				must.Greater(t, 2*time.Second, r.follower.Age(time.Now()))
			}
		})
		time.AfterFunc(10*time.Second, func() { topic.down.Store(false) })
		runReaders(t, readers, 14*time.Second)
		for _, r := range readers {
			must.False(t, r.follower.lost.Load())
			must.LessEq(t, 1, missedRecords(r, 1, topic.end()-20))
		}
	})
}

// rejectingTopic is a topic as seen by a node whose reads the store rejects for a while.
type rejectingTopic struct {
	*growingTopic
	rejecting atomic.Bool
}

func (r *rejectingTopic) Read(ctx context.Context, from int64, wait time.Duration) ([]Item, int64, error) {
	if r.rejecting.Load() {
		return nil, 0, errors.New("rejected")
	}
	return r.growingTopic.Read(ctx, from, wait)
}

// Guards against a zone that is behind for longer than one read because the store rejects the
// node that reads for it. That node refuses watch requests, so that the others read elsewhere.
func TestStoreRejectsTheZoneReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{startedAt: time.Now()}
		readers := newReaders(topic, 20)
		var reader *reader
		for _, r := range readers {
			if r.readsForZone() {
				reader = r
			}
		}
		topicOfReader := &rejectingTopic{growingTopic: topic}
		reader.follower.topic = topicOfReader
		time.AfterFunc(5*time.Second, func() { topicOfReader.rejecting.Store(true) })
		time.AfterFunc(12*time.Second, func() {
			for _, r := range readers {
				if r != reader {
					must.False(t, r.follower.lost.Load())
					must.Less(t, time.Second, time.Since(time.Unix(0, r.lastUpdate.Load())))
				}
			}
		})
		runReaders(t, readers, 15*time.Second)
		must.True(t, reader.follower.lost.Load())
	})
}

// Guards against a stopping node that waits for the watch requests of other nodes while these
// wait for changes from it: closing the feed ends them at once.
func TestClosedFeedReleasesWaiters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f feed
		f.add(7, Batch{Next: 7})
		time.AfterFunc(time.Second, f.close)
		started := time.Now()
		_, err := f.readFrom(t.Context(), 7, MembersWatchWait, false)
		must.ErrorIs(t, err, errFeedNotCurrent)
		must.EqOp(t, time.Second, time.Since(started))
		f.add(7, Batch{Next: 8})
		_, err = f.readFrom(t.Context(), 7, MembersWatchWait, false)
		must.ErrorIs(t, err, errFeedNotCurrent)
	})
}

// Guards against a feed that grows beyond its bound in bytes, and against reporting no changes
// to a reader of records that were dropped.
func TestFeedDropsOldestRecords(t *testing.T) {
	var f feed
	const size = 250
	last := int64(3 * maxFeedBytes / size)
	for i := range last {
		f.add(i, Batch{Items: []Item{{Key: fmt.Sprint(i), Value: make([]byte, size)}}, Next: i + 1})
	}
	_, err := f.readFrom(t.Context(), 0, 0, false)
	must.ErrorIs(t, err, errNotBuffered)
	b, err := f.readFrom(t.Context(), last-2, 0, false)
	must.NoError(t, err)
	must.Len(t, 2, b.Items)
	must.EqOp(t, last, b.Next)
}

// Guards against memory use that grows with publications of 1,000 routes each. A publication
// larger than the bound is not buffered at all.
func TestFeedOfLargeRecordsIsBounded(t *testing.T) {
	var f feed
	for i := range int64(200) {
		f.add(i, Batch{Items: []Item{{Key: "config", Value: make([]byte, 100<<10)}}, Next: i + 1})
		must.LessEq(t, maxFeedBytes, f.bufferedBytes)
	}
	f.add(200, Batch{Items: []Item{{Key: "config", Value: make([]byte, 2*maxFeedBytes)}}, Next: 201})
	must.EqOp(t, 0, f.bufferedBytes)
	_, err := f.readFrom(t.Context(), 200, 0, false)
	must.ErrorIs(t, err, errNotBuffered)
	b, err := f.readFrom(t.Context(), 201, 0, false)
	must.NoError(t, err)
	must.EqOp(t, 201, b.Next)
}
