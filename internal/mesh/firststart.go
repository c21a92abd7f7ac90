package mesh

import (
	"context"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/records"
)

const (
	// firstReportMargin is how much longer than the interval between reports it takes until all
	// upstreams of a deployment that starts for the first time have reported and their nodes have
	// written their records.
	firstReportMargin = time.Second
	// membersReadTimeout bounds how long a starting node waits for the member records before it
	// reads the routes. With the records it can read the routes through another node; without them
	// it reads the store.
	membersReadTimeout = 500 * time.Millisecond
)

// followMembers follows the member records.
//
// Load pattern: all nodes of a deployment start within a second, for the first time or after a power
// loss. A node that knows no other one can read from the store alone, and all records are as many as
// nodes. It therefore reads the records of its own zone in one call and all others through a node of
// the zone.
func (m *Mesh) followMembers(ctx context.Context) {
	if m.cfg.FirstStart {
		m.awaitFirstReports(ctx)
	}
	if !m.members.isInitialized() || !m.cfg.FirstStart {
		if err := m.readZone(ctx); err != nil {
			m.members.acceptPeers() // the follower reads all records, perhaps through one of them
		}
	}
	if m.cfg.FirstStart {
		m.introduceToZone(ctx)
	}
	m.membersFollower.Run(ctx)
}

// awaitFirstReports waits until the other nodes of a deployment that starts for the first time have
// written their records. The nodes then read one after another, at random times, and each introduces
// itself to some others, which need not read any more.
func (m *Mesh) awaitFirstReports(ctx context.Context) {
	interval := m.cfg.Upstream.ReportInterval.Std()
	timer := time.NewTimer(interval + firstReportMargin + rand.N(interval))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-m.members.known:
	case <-ctx.Done():
	}
}

// readZone reads the records of the node's own zone. If that fails, all records are read instead.
func (m *Mesh) readZone(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, records.StoreCallTimeout)
	defer cancel()
	sent := time.Now()
	topic := m.platform.Members()
	items, err := records.ReadPrefix(ctx, topic, zonePrefix(m.cfg.Region, m.cfg.Zone))
	records.NewCallLog(m.logger, topic).Log(ctx, records.PurposeZone, sent, err)
	if err != nil {
		return err
	}
	m.members.applyPart(items)
	return nil
}

// introduceToZone introduces the node to some nodes of its zone. Those that wait for the first reports
// fetch the member records from it and introduce themselves in turn.
func (m *Mesh) introduceToZone(ctx context.Context) {
	neighbours := m.members.zoneNeighbours(m.cfg)
	var group errgroup.Group
	for _, i := range rand.Perm(len(neighbours))[:min(records.GossipFanOut, len(neighbours))] {
		group.Go(func() error {
			_, err := m.exchangeRecords(ctx, neighbours[i].Address)
			return err
		})
	}
	if err := group.Wait(); err != nil {
		m.logger.Debug().Err(err).Msg("introduction to a node of the zone failed; other nodes introduce themselves to it")
	}
}

// followRoutes follows the published routes, through a node of the zone if one is known.
func (m *Mesh) followRoutes(ctx context.Context) {
	timeout := membersReadTimeout
	if m.cfg.FirstStart {
		timeout += 2*m.cfg.Upstream.ReportInterval.Std() + firstReportMargin
	}
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-m.membersFollower.FirstReadDone():
	case <-timer.C:
	case <-ctx.Done():
		return
	}
	m.routes.follower.Run(ctx)
}
