package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// firstStartDelay is how long the nodes of a deployment that starts for the first
	// time wait before they read who is there: upstreams report every 1.5 s, and until
	// all have done so there is nobody to read through.
	firstStartDelay = 2500 * time.Millisecond
	// firstStartJitter spreads those reads.
	firstStartJitter = 300 * time.Millisecond
	// firstSnapshotPause is how long a node waits after it: nodes start within 0.3 s of each
	// other, and one that has not read yet has nothing to pass on.
	firstSnapshotPause = 700 * time.Millisecond
	// membersReadTimeout bounds how long a node that starts waits to learn whom it can ask
	// for routes, before it asks the store.
	membersReadTimeout = 500 * time.Millisecond
)

// followMembers follows the records of nodes. Load pattern: all nodes of a deployment
// start within a second. Each would read all records, and then each one that comes, from
// the store, since nobody knows yet whom to read through.
func (m *Mesh) followMembers(ctx context.Context) {
	if m.cfg.FirstStart {
		wait.For(ctx, firstStartDelay+rand.N(firstStartJitter))
		m.membersFollower.pauseAfterSnapshot = firstSnapshotPause
	}
	m.membersFollower.run(ctx)
}

// followRoutes follows the published routes, from a node of the zone if one is known.
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
