package records

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// busyTopic has changes at every read, as when all nodes of a deployment restart.
type busyTopic struct{ reads atomic.Int64 }

func (*busyTopic) Name() string                                     { return "members" }
func (*busyTopic) Put(context.Context, ...Item) error               { return nil }
func (*busyTopic) NewestPage(context.Context, string) (Page, error) { return Page{}, nil }
func (b *busyTopic) Read(_ context.Context, from int64, _ time.Duration) ([]Item, int64, error) {
	b.reads.Add(1)
	return []Item{{Key: "node/x"}}, from + 1, nil
}

// Guards against reads of the store that grow with the number of nodes times the number of
// restarts when each node reads the store itself.
func TestMemberReadsOfAllNodesAreBounded(t *testing.T) {
	for _, nodes := range []int{1, 17, 76, 14000} {
		window := BatchWindowFor(nodes)
		must.Between(t, MinBatchWindow, window, maxBatchWindow)
		synctest.Test(t, func(t *testing.T) {
			topic := &busyTopic{}
			f := NewFollower(topic, func([]Item) {}, nil, zerolog.Nop())
			f.BatchWindow = func() time.Duration { return window }
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			f.Run(ctx)
			const maxNodesWithinBound = 120
			perSecond := float64(topic.reads.Load()) / 20 * float64(min(nodes, maxNodesWithinBound))
			must.LessEq(t, deploymentReadsPerSecond*1.2, perSecond, must.Sprintf("%d nodes", nodes))
		})
	}
}

// pagedTopic has one key on each page.
type pagedTopic struct {
	busyTopic
	keys []string
}

func (p *pagedTopic) NewestPage(_ context.Context, after string) (Page, error) {
	i, _ := slices.BinarySearch(p.keys, after+"\x00")
	return Page{Items: []Item{{Key: p.keys[i]}}, More: i < len(p.keys)-1, Next: int64(10 + i)}, nil
}

// Guards against records that were appended between two pages and are never read, and against a read
// of pages without end.
func TestReadNewestContinuesFromTheFirstPage(t *testing.T) {
	items, next, err := readNewest(t.Context(), &pagedTopic{keys: []string{"a", "b", "c"}})
	must.NoError(t, err)
	must.EqOp(t, 10, next)
	must.Eq(t, []Item{{Key: "a"}, {Key: "b"}, {Key: "c"}}, items)
	many := &pagedTopic{}
	for i := range maxPages + 1 {
		many.keys = append(many.keys, fmt.Sprintf("%03d", i))
	}
	_, _, err = readNewest(t.Context(), many)
	must.Error(t, err)
}

// Guards against records of a store that the node left: a node that moved before it would take their
// offset for one of the new store and wait for records at greater offsets.
func TestFeedServesNothingOfAStoreThatWasLeft(t *testing.T) {
	f := NewFollower(&busyTopic{}, func([]Item) {}, nil, zerolog.Nop())
	f.applyBatch(snapshotOffset, Batch{Items: []Item{{Key: "a", Value: []byte("v")}}, Next: 20, Snapshot: true}, time.Now())
	f.LeaveStore()
	f.applyBatch(20, Batch{Items: []Item{{Key: "b", Value: []byte("v")}}, Next: 21}, time.Now())
	f.feed.add(21, Batch{Items: []Item{{Key: "c", Value: []byte("v")}}, Next: 22})
	_, err := f.feed.readFrom(t.Context(), snapshotOffset, time.Millisecond, false)
	must.ErrorIs(t, err, errFeedNotCurrent)
	f.resync.Store(false)
	f.applyBatch(snapshotOffset, Batch{Next: 3, Snapshot: true}, time.Now())
	b, err := f.feed.readFrom(t.Context(), snapshotOffset, time.Millisecond, false)
	must.NoError(t, err)
	must.EqOp(t, 3, b.Next)
}
