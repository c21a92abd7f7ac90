package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// firstStartDelay is how long the nodes of a deployment that starts for the first time wait
	// before they read the members: upstreams report every 1.5 s, and until all have reported
	// there is no node to read through.
	firstStartDelay = 2500 * time.Millisecond
	// firstStartJitter is the upper bound of a random time added to firstStartDelay, so that the
	// nodes do not all read at once.
	firstStartJitter = 300 * time.Millisecond
	// firstSnapshotPause is how long a node waits after its first read: nodes start within 0.3 s
	// of each other, and a node that has not read yet has nothing to serve to others.
	firstSnapshotPause = 700 * time.Millisecond
	// membersReadTimeout bounds how long a starting node waits for the member records before it
	// reads the routes. With the records it can read the routes through another node; without them
	// it reads the store.
	membersReadTimeout = 500 * time.Millisecond
)

// followMembers follows the member records. Load pattern: all nodes of a deployment start within
// 1 s. Without the delays each would read all records, and then each new one, from the store,
// since no node knows yet which node to read through.
func (m *Mesh) followMembers(ctx context.Context) {
	if m.cfg.FirstStart {
		wait.For(ctx, firstStartDelay+rand.N(firstStartJitter))
		m.membersFollower.pauseAfterSnapshot = firstSnapshotPause
	}
	m.membersFollower.run(ctx)
}

// followRoutes follows the published routes, through a node of the zone if one is known.
func (m *Mesh) followRoutes(ctx context.Context) {
	timeout := membersReadTimeout
	if m.cfg.FirstStart {
		timeout += firstStartDelay + firstStartJitter
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-m.membersFollower.firstReadDone:
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	m.routes.follower.run(ctx)
}
