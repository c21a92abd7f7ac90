package mesh

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// growingTopic gets a record every 100 ms; a read brings what is there and waits for
// one.
type growingTopic struct {
	begun time.Time
	reads atomic.Int64
	down  atomic.Bool
}

func (*growingTopic) Name() string                              { return "members" }
func (*growingTopic) Put(context.Context, string, []byte) error { return nil }

func (g *growingTopic) end() int64 { return int64(time.Since(g.begun) / (100 * time.Millisecond)) }

func (g *growingTopic) Newest(context.Context) ([]Item, int64, error) {
	if g.down.Load() {
		return nil, 0, errors.New("store is down")
	}
	return nil, g.end(), nil
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

// reader is one node of a zone of readers of a growing topic.
type reader struct {
	follower *follower
	seen     map[string]bool
	newest   atomic.Int64 // when it had news last, Unix nanoseconds
	cut      atomic.Bool  // nobody reaches it
	still    atomic.Bool  // it answers nothing
}

func newReaders(topic Topic, n int) []*reader {
	readers := make([]*reader, n)
	var zone []fleet.Member
	for i := range readers {
		name := fmt.Sprintf("vm-%d", i)
		readers[i] = &reader{seen: map[string]bool{}}
		zone = append(zone, fleet.Member{Node: name, State: fleet.Serving, Address: fmt.Sprint(i)})
	}
	ask := func(ctx context.Context, of *fleet.Member, _ string, from int64) (page, error) {
		var i int
		_, _ = fmt.Sscan(of.Address, &i)
		if readers[i].cut.Load() {
			wait.For(ctx, time.Second)
			return page{}, errors.New("silent")
		}
		if readers[i].still.Load() {
			<-ctx.Done()
			return page{}, ctx.Err()
		}
		return readers[i].follower.feed.after(ctx, from, newsWait)
	}
	for i, r := range readers {
		others := append(append([]fleet.Member{}, zone[:i]...), zone[i+1:]...)
		r.follower = &follower{
			topic: topic, logger: zerolog.Nop(), kick: make(chan struct{}, 1),
			settle: func() time.Duration { return minSettle },
			relay:  &relay{parent: parentAmong(zone[i].Node, others), ask: ask},
			apply: func(items []Item) {
				for _, item := range items {
					r.seen[item.Key] = true
				}
				r.newest.Store(time.Now().UnixNano())
			},
		}
	}
	return readers
}

func parentAmong(node string, others []fleet.Member) func(func(string) bool) (fleet.Member, bool) {
	return func(mayAsk func(string) bool) (fleet.Member, bool) {
		var asked []fleet.Member
		for _, other := range others {
			if mayAsk(other.Node) {
				asked = append(asked, other)
			}
		}
		return fleet.Parent(node, asked)
	}
}

func everyNode(string) bool { return true }

func runReaders(t *testing.T, readers []*reader, d time.Duration) {
	ctx, cancel := context.WithTimeout(t.Context(), d)
	defer cancel()
	done := make(chan struct{})
	for _, r := range readers {
		go func() {
			r.follower.run(ctx)
			done <- struct{}{}
		}()
	}
	for range readers {
		<-done
	}
}

func gaps(r *reader, from, to int64) (missed int) {
	for i := from; i < to; i++ {
		if !r.seen[fmt.Sprint(i)] {
			missed++
		}
	}
	return missed
}

// A zone of 40 nodes while others are restarted one after the other for 20 s: each
// node learned of each by reading the store, 40 times what one reads. One reads now,
// and all have each record.
func TestZoneReadsOnceAndMissesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{begun: time.Now()}
		readers := newReaders(topic, 40)
		runReaders(t, readers, 20*time.Second)
		// The first reads come before anybody has something to pass on.
		must.LessEq(t, 2*40+int64(20*time.Second/minSettle), topic.reads.Load())
		for _, r := range readers {
			must.LessEq(t, 1, gaps(r, 1, topic.end()-10))
		}
	})
}

// The node that reads for a zone goes silent, without its connections ending. What it
// should have passed on must reach the others within two seconds, by themselves.
func TestZoneReadsOnWithoutItsReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{begun: time.Now()}
		readers := newReaders(topic, 20)
		for _, r := range readers {
			if _, known := r.follower.relay.parent(everyNode); !known {
				time.AfterFunc(5*time.Second, func() { r.cut.Store(true) })
			}
		}
		runReaders(t, readers, 20*time.Second)
		for _, r := range readers {
			must.Less(t, 2*time.Second, time.Since(time.Unix(0, r.newest.Load())))
			must.LessEq(t, 1, gaps(r, 1, topic.end()-20))
		}
	})
}

// The process that reads for a zone stands still, while its VM's kernel acknowledges all
// that comes. The others must not know less than the wait of one question ago.
func TestZoneReadsOnWhileItsReaderStandsStill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{begun: time.Now()}
		readers := newReaders(topic, 20)
		for _, r := range readers {
			if _, known := r.follower.relay.parent(everyNode); !known {
				time.AfterFunc(5*time.Second, func() { r.still.Store(true) })
			}
		}
		time.AfterFunc(5*time.Second+newsWait+newsSlack+2*minSettle, func() {
			for _, r := range readers {
				must.Less(t, time.Second, time.Since(time.Unix(0, r.newest.Load())))
			}
		})
		runReaders(t, readers, 20*time.Second)
	})
}

// A deployment of a thousand nodes reads its routes from the store, a larger one through
// its zones' readers.
func TestRoutesAreReadThroughOthersInLargeDeploymentsOnly(t *testing.T) {
	for _, n := range []int{routesAlone, routesAlone + 1} {
		m := &Mesh{cfg: &settings.Mesh{NodeID: "vm-none", Region: "r", Zone: "z"}}
		m.members = &members{logger: zerolog.Nop(), registry: fleet.NewRegistry()}
		for i := range n {
			m.members.registry.Apply(fleet.Member{Node: fmt.Sprintf("vm-%d", i), Incarnation: 1, Region: "r", Zone: "z", State: fleet.Serving})
		}
		_, known := m.routesParent(everyNode)
		must.EqOp(t, n > routesAlone, known)
		_, known = m.parent(everyNode)
		must.True(t, known)
	}
}

// The store goes down for five seconds. Who reads through another node must not take
// what that one knew for the present: its belief would look fresh while it grows old.
func TestReaderWithoutStorePassesNothingOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{begun: time.Now()}
		readers := newReaders(topic, 5)
		time.AfterFunc(5*time.Second, func() { topic.down.Store(true) })
		time.AfterFunc(9*time.Second, func() {
			for _, r := range readers {
				must.True(t, r.follower.lost.Load())
				must.Greater(t, 2*time.Second, r.follower.age(time.Now()))
			}
		})
		time.AfterFunc(10*time.Second, func() { topic.down.Store(false) })
		runReaders(t, readers, 14*time.Second)
		for _, r := range readers {
			must.False(t, r.follower.lost.Load())
			must.LessEq(t, 1, gaps(r, 1, topic.end()-20))
		}
	})
}

// refusedTopic is the topic as a node sees it that the store turns away for a while.
type refusedTopic struct {
	*growingTopic
	refused atomic.Bool
}

func (r *refusedTopic) Read(ctx context.Context, from int64, wait time.Duration) ([]Item, int64, error) {
	if r.refused.Load() {
		return nil, 0, errors.New("turned away")
	}
	return r.growingTopic.Read(ctx, from, wait)
}

// The store turns away one node, which happens to read for its zone. It says so to who
// reads through it, and the zone must not be behind for longer than one read.
func TestReaderThatTheStoreTurnsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		topic := &growingTopic{begun: time.Now()}
		readers := newReaders(topic, 20)
		var reader *reader
		for _, r := range readers {
			if _, known := r.follower.relay.parent(everyNode); !known {
				reader = r
			}
		}
		turned := &refusedTopic{growingTopic: topic}
		reader.follower.topic = turned
		time.AfterFunc(5*time.Second, func() { turned.refused.Store(true) })
		time.AfterFunc(12*time.Second, func() {
			for _, r := range readers {
				if r != reader {
					must.False(t, r.follower.lost.Load())
					must.Less(t, time.Second, time.Since(time.Unix(0, r.newest.Load())))
				}
			}
		})
		runReaders(t, readers, 15*time.Second)
		must.True(t, reader.follower.lost.Load())
	})
}

// A node that is about to end lets go of those who wait for news from it at once: its
// stop would wait for them else, and they for it.
func TestClosedFeedLetsGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f feed
		f.add(7, page{Next: 7})
		time.AfterFunc(time.Second, f.close)
		begun := time.Now()
		_, err := f.after(t.Context(), 7, newsWait)
		must.ErrorIs(t, err, errNotCurrent)
		must.EqOp(t, time.Second, time.Since(begun))
		f.add(7, page{Next: 8})
		_, err = f.after(t.Context(), 7, newsWait)
		must.ErrorIs(t, err, errNotCurrent)
	})
}

// A feed holds so many bytes and no more. Who comes for older records must not be told
// that nothing came.
func TestFeedForgetsInOrder(t *testing.T) {
	var f feed
	const size = 250
	last := int64(3 * feedBytes / size)
	for i := range last {
		f.add(i, page{Items: []Item{{Key: fmt.Sprint(i), Value: make([]byte, size)}}, Next: i + 1})
	}
	_, err := f.after(t.Context(), 0, 0)
	must.ErrorIs(t, err, errNotHeld)
	p, err := f.after(t.Context(), last-2, 0)
	must.NoError(t, err)
	must.Len(t, 2, p.Items)
	must.EqOp(t, last, p.Next)
}

// Operators publish 1,000 routes at a time, again and again. What is held for others
// must not grow with it, and one publication above the bound is not held at all.
func TestFeedOfLargeRecordsStaysSmall(t *testing.T) {
	var f feed
	for i := range int64(200) {
		f.add(i, page{Items: []Item{{Key: "config", Value: make([]byte, 100<<10)}}, Next: i + 1})
		must.LessEq(t, feedBytes, f.held)
	}
	f.add(200, page{Items: []Item{{Key: "config", Value: make([]byte, 2*feedBytes)}}, Next: 201})
	must.EqOp(t, 0, f.held)
	_, err := f.after(t.Context(), 200, 0)
	must.ErrorIs(t, err, errNotHeld)
	p, err := f.after(t.Context(), 201, 0)
	must.NoError(t, err)
	must.EqOp(t, 201, p.Next)
}
