package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/records"
)

const (
	// introductionInterval is how often absent members are contacted. A node that starts without
	// the store serves calls after about this time.
	introductionInterval = records.RoundInterval
	// introducersPerRound is how many nodes of a zone contact an absent member per round, on
	// average: with 3, a round without any is rare.
	introducersPerRound = 3
	// maxConcurrentIntroductions bounds the concurrent introductions of a node. If a third of the
	// 412 nodes of a zone, 137 nodes, are absent, a node contacts each of them with a probability of
	// 3 in 411, so a round contacts one or two.
	maxConcurrentIntroductions = 8
)

// introducer contacts members of its zone that may have restarted without the store, and gives
// them an address from which to fetch routes and records.
type introducer struct {
	mesh   *Mesh
	absent *fleet.Absent
	logger zerolog.Logger
}

func (i *introducer) run(ctx context.Context) {
	ticker := time.NewTicker(introductionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			i.round(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (i *introducer) round(ctx context.Context) {
	neighbours := i.mesh.members.zoneNeighbours(i.mesh.cfg)
	share := introducersPerRound / float64(max(len(neighbours), 1))
	var group errgroup.Group
	group.SetLimit(maxConcurrentIntroductions)
	start := func(m *fleet.Member) {
		group.Go(func() error { i.introduce(ctx, m); return nil })
	}
	for _, m := range i.absent.Due(time.Now(), neighbours, i.mesh.unreachable) {
		if rand.Float64() < share {
			start(&m)
		}
	}
	if i.mesh.storeLost() && len(neighbours) > 0 {
		start(&neighbours[rand.IntN(len(neighbours))])
		i.mesh.gossiper.Round()
	}
	_ = group.Wait()
}

// introduce sends this node's record to a member and receives the member's current one. Failures
// are expected: most absent members are down.
func (i *introducer) introduce(ctx context.Context, to *fleet.Member) {
	record, err := i.mesh.exchangeRecords(ctx, to.Address)
	if err != nil {
		i.logger.Debug().Str("member", to.Node).Err(err).Msg("introduction to a member failed; tried again while it is absent")
		return
	}
	if record.Incarnation != to.Incarnation {
		i.logger.Info().Str("member", record.Node).Str("state", string(record.State)).Str("address", to.Address).Msg("member restarted; its new record was received from it directly")
	}
	i.mesh.members.applyMember(record)
}

// unreachable reports whether recent calls to a node failed to reach it.
func (m *Mesh) unreachable(name string) bool {
	t := m.node.Table().ByNode(name)
	return t != nil && (t.Ejected() || t.Stats().ConsecutiveFailures > 0)
}

func (m *Mesh) storeLost() bool {
	return m.membersFollower.Lost() || m.routes.follower.Lost()
}
