package mesh

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"
)

// busyTopic has changes at every read, as when all nodes of a deployment restart.
type busyTopic struct{ reads atomic.Int64 }

func (*busyTopic) Name() string                                  { return "members" }
func (*busyTopic) Put(context.Context, string, []byte) error     { return nil }
func (*busyTopic) Newest(context.Context) ([]Item, int64, error) { return nil, 0, nil }
func (b *busyTopic) Read(_ context.Context, from int64, _ time.Duration) ([]Item, int64, error) {
	b.reads.Add(1)
	return []Item{{Key: "node/x"}}, from + 1, nil
}

// Guards against reads of the store that grow with the number of nodes times the number of
// restarts when each node reads the store itself.
func TestMemberReadsOfAllNodesAreBounded(t *testing.T) {
	for _, nodes := range []int{1, 17, 76, 14000} {
		window := batchWindowFor(nodes)
		must.Between(t, minBatchWindow, window, maxBatchWindow)
		synctest.Test(t, func(t *testing.T) {
			topic := &busyTopic{}
			f := newFollower(topic, func([]Item) {}, nil, zerolog.Nop())
			f.batchWindow = func() time.Duration { return window }
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			f.run(ctx)
			const maxNodesWithinBound = 120
			perSecond := float64(topic.reads.Load()) / 20 * float64(min(nodes, maxNodesWithinBound))
			must.LessEq(t, deploymentReadsPerSecond*1.2, perSecond, must.Sprintf("%d nodes", nodes))
		})
	}
}
