package records

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// gossipNode is a node of a zone without the store.
type gossipNode struct {
	*Gossiper
	receivedAt atomic.Int64 // when it received the last record, in Unix nanoseconds
	messages   atomic.Int64 // number of sent messages
	bytes      atomic.Int64
}

// newGossipZone returns nodes that reach each other within 1 ms.
func newGossipZone(ctx context.Context, nodes int) []*gossipNode {
	zone := make([]*gossipNode, nodes)
	members := make([]fleet.Member, nodes)
	for i := range zone {
		members[i] = fleet.Member{Node: fmt.Sprint(i)}
	}
	for i := range zone {
		n := &gossipNode{}
		n.Gossiper = NewGossiper(ctx, func() []fleet.Member { return members }, func([]Item) { n.receivedAt.Store(time.Now().UnixNano()) })
		n.Send = func(ctx context.Context, to *fleet.Member, items []UnstoredItem) error {
			n.messages.Add(1)
			for _, item := range items {
				n.bytes.Add(int64(len(item.Key) + len(item.Value)))
			}
			wait.For(ctx, time.Millisecond)
			var j int
			_, _ = fmt.Sscan(to.Node, &j)
			zone[j].Receive(items)
			return nil
		}
		zone[i] = n
	}
	return zone
}

// Guards against a zone without the store in which only the node that wrote a record sends it:
// with hundreds of nodes the last one receives it after minutes.
func TestGossipReachesAZoneWithoutTheStore(t *testing.T) {
	const maxDelay, maxMessages = 3 * time.Second, 40
	for _, nodes := range []int{10, 50, 400} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), gossipDuration)
			defer cancel()
			zone := newGossipZone(ctx, nodes)
			var rounds sync.WaitGroup
			for _, n := range zone {
				rounds.Go(func() {
					for ctx.Err() == nil {
						wait.For(ctx, RoundInterval)
						n.Round()
					}
				})
			}
			started := time.Now()
			record := Item{Key: "node/x", Value: make([]byte, 250)}
			zone[0].Publish(record)
			rounds.Wait()
			last := time.Duration(0)
			for _, n := range zone[1:] {
				must.NotEq(t, 0, n.receivedAt.Load())
				last = max(last, time.Unix(0, n.receivedAt.Load()).Sub(started))
				must.LessEq(t, maxMessages, n.messages.Load())
				must.LessEq(t, maxMessages*(int64(len(record.Key)+len(record.Value))), n.bytes.Load())
			}
			t.Logf("%d nodes: last received after %v", nodes, last)
			must.LessEq(t, maxDelay, last)
		})
	}
}

// Guards against nodes that stay unknown after a power loss in a large zone without the store, because
// the records of all its nodes are more than are passed on.
func TestGossipCarriesTheRecordsOfAWholeZone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes = 200
		ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
		defer cancel()
		zone := newGossipZone(ctx, nodes)
		var running sync.WaitGroup
		for i, n := range zone {
			running.Go(func() {
				n.Publish(Item{Key: fmt.Sprint("node/", i), Value: make([]byte, 250)})
				for ctx.Err() == nil {
					wait.For(ctx, RoundInterval)
					n.Round()
				}
			})
		}
		running.Wait()
		for _, n := range zone {
			must.EqOp(t, nodes, len(n.records))
		}
	})
}

// Guards against memory use that grows with the number of records during a long outage.
func TestGossipRecordsAreBounded(t *testing.T) {
	g := NewGossiper(t.Context(), func() []fleet.Member { return nil }, func([]Item) {})
	for i := range 10 * minGossipRecords {
		g.Publish(Item{Key: fmt.Sprint(i), Value: make([]byte, 1<<10)})
	}
	must.LessEq(t, minGossipRecords, len(g.records))
	size := 0
	for _, item := range g.pendingItems() {
		size += len(item.Value)
	}
	must.LessEq(t, MaxGossipBytes, size)
}

// Guards against two records of a key that replace each other at node after node for as long as
// both are passed on.
func TestLaterRecordOfAKeyWins(t *testing.T) {
	var applied []string
	g := NewGossiper(t.Context(), func() []fleet.Member { return nil }, func(items []Item) {
		for _, item := range items {
			applied = append(applied, string(item.Value))
		}
	})
	record := func(value string, at int64) UnstoredItem {
		return UnstoredItem{Item{Key: "node/x", Value: []byte(value)}, at}
	}
	for _, item := range []UnstoredItem{record("second", 2), record("first", 1), record("second", 2), record("third", 3)} {
		g.Receive([]UnstoredItem{item})
	}
	must.Eq(t, []string{"second", "third"}, applied)
}
