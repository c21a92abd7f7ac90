package mesh

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/settings"
	"github.com/galenagrade/galenagrade/internal/wait"
)

// Guards against a first start at which each node reads all keys from the store repeatedly,
// because no other node has records to serve yet.
func TestFirstStartReadsOneSnapshotPerNode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const nodes, startSpread = 35, 300 * time.Millisecond
		topic := &compactedTopic{growingTopic: &growingTopic{startedAt: time.Now()}}
		readers := newReaders(topic, nodes)
		ctx, cancel := context.WithTimeout(t.Context(), firstStartDelay+firstStartJitter+startSpread+firstSnapshotPause+2*time.Second)
		defer cancel()
		var running sync.WaitGroup
		for i, r := range readers {
			m := &Mesh{cfg: &settings.Mesh{FirstStart: true}, membersFollower: r.follower, logger: zerolog.Nop()}
			r.follower.lagGrace = membersLagGrace
			sources := r.follower.relay.candidates
			r.follower.relay.candidates = func() []fleet.Member {
				if r.follower.next.Load() == snapshotOffset {
					return nil
				}
				return sources()
			}
			running.Go(func() {
				wait.For(ctx, startSpread*time.Duration(i)/nodes)
				m.followMembers(ctx)
			})
		}
		running.Wait()
		must.EqOp(t, nodes, topic.snapshots.Load())
		must.LessEq(t, 2+int64(3*time.Second/minBatchWindow), topic.reads.Load())
	})
}
