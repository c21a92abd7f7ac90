package mesh

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

// spreadingNode is one node of a zone without the store.
type spreadingNode struct {
	*spreader
	learned  atomic.Int64 // when, Unix nanoseconds
	messages atomic.Int64 // sent
	bytes    atomic.Int64
}

// newSpreadingZone returns nodes that reach each other in a millisecond.
func newSpreadingZone(down context.Context, nodes int) []*spreadingNode {
	zone := make([]*spreadingNode, nodes)
	others := make([]fleet.Member, nodes)
	for i := range zone {
		others[i] = fleet.Member{Node: fmt.Sprint(i)}
	}
	for i := range zone {
		n := &spreadingNode{}
		n.spreader = newSpreader(down, func() []fleet.Member { return others }, func([]Item) { n.learned.Store(time.Now().UnixNano()) })
		n.send = func(ctx context.Context, to *fleet.Member, items []unstoredItem) error {
			n.messages.Add(1)
			for _, item := range items {
				n.bytes.Add(int64(len(item.Key) + len(item.Value)))
			}
			wait.For(ctx, time.Millisecond)
			var j int
			_, _ = fmt.Sscan(to.Node, &j)
			zone[j].told(items)
			return nil
		}
		zone[i] = n
	}
	return zone
}

// Guards against a zone without the store in which each record is spread by its own node
// alone, so that the last of hundreds learns of it after minutes.
func TestRecordReachesAZoneWithoutTheStore(t *testing.T) {
	const within, most = 3 * time.Second, 40
	for _, nodes := range []int{10, 50, 400} {
		synctest.Test(t, func(t *testing.T) {
			down, end := context.WithTimeout(t.Context(), spreadFor)
			defer end()
			zone := newSpreadingZone(down, nodes)
			var turning sync.WaitGroup
			for _, n := range zone {
				turning.Go(func() {
					for down.Err() == nil {
						wait.For(down, introduceEvery)
						n.turn()
					}
				})
			}
			begun := time.Now()
			record := Item{Key: "node/x", Value: make([]byte, 250)}
			zone[0].tell(record)
			turning.Wait()
			last := time.Duration(0)
			for _, n := range zone[1:] {
				must.NotEq(t, 0, n.learned.Load())
				last = max(last, time.Unix(0, n.learned.Load()).Sub(begun))
				must.LessEq(t, most, n.messages.Load())
				must.LessEq(t, most*(int64(len(record.Key)+len(record.Value))), n.bytes.Load())
			}
			t.Logf("%d nodes: the last after %v", nodes, last)
			must.LessEq(t, within, last)
		})
	}
}

// Guards against memory that grows with the records of a long outage.
func TestUnstoredRecordsAreBounded(t *testing.T) {
	s := newSpreader(t.Context(), func() []fleet.Member { return nil }, func([]Item) {})
	for i := range 10 * maxUnstored {
		s.tell(Item{Key: fmt.Sprint(i), Value: make([]byte, 1<<10)})
	}
	must.LessEq(t, maxUnstored, len(s.known))
	size := 0
	for _, item := range s.items() {
		size += len(item.Value)
	}
	must.LessEq(t, maxUnstoredBytes, size)
}

// Guards against two records of a key that push each other out, node by node, for as long
// as both are passed on.
func TestLaterRecordOfAKeyHolds(t *testing.T) {
	var applied []string
	s := newSpreader(t.Context(), func() []fleet.Member { return nil }, func(items []Item) {
		for _, item := range items {
			applied = append(applied, string(item.Value))
		}
	})
	record := func(value string, at int64) unstoredItem {
		return unstoredItem{Item{Key: "node/x", Value: []byte(value)}, at}
	}
	for _, item := range []unstoredItem{record("second", 2), record("first", 1), record("second", 2), record("third", 3)} {
		s.told([]unstoredItem{item})
	}
	must.Eq(t, []string{"second", "third"}, applied)
}
