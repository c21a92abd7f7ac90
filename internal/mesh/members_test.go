package mesh

import (
	"testing"

	"github.com/rs/zerolog"
	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/records"
)

// Guards against a departed upstream that is served again, because another node whose records are older
// introduced itself to the restarted node before that read the store.
func TestRecordsOfOtherNodesSufficeOnlyWithoutTheStore(t *testing.T) {
	record := fleet.Member{Node: "n", Incarnation: 1, Revision: 1, Address: "10.0.0.1:1", Service: "s", Upstream: "u", Slots: 1, State: fleet.Serving}
	newer := record
	newer.Revision, newer.State = 2, fleet.Leaving
	raw, err := newer.Encode()
	must.NoError(t, err)
	var seen []fleet.State
	start := func() *members {
		seen = nil
		return &members{
			logger: zerolog.Nop(), registry: fleet.NewRegistry(), predecessors: fleet.NewRegistry(),
			known: make(chan struct{}), ownZoneRead: make(chan struct{}), own: node.Identity{Node: "n", Incarnation: 2},
			onChange:      func(*fleet.Registry) {},
			onPredecessor: func(m fleet.Member) { seen = append(seen, m.State) },
			onOwnKey:      func(string, *fleet.Member) {},
			onZoneRead:    func() {},
			onRecord:      func(*fleet.Member) {},
		}
	}
	m := start()
	m.mergeRecords([]fleet.Member{record}, "other")
	must.False(t, m.isOwnZoneRead())
	m.applyPart([]records.Item{{Key: memberKey(&newer), Value: raw}})
	must.True(t, m.isOwnZoneRead())
	must.Eq(t, []fleet.State{fleet.Serving, fleet.Leaving}, seen)

	m = start()
	m.acceptPeers()
	must.False(t, m.isOwnZoneRead())
	m.mergeRecords([]fleet.Member{record}, "other")
	must.True(t, m.isOwnZoneRead())

	m = start()
	m.applyUnstored([]records.Item{{Key: newer.Node, Value: raw}})
	must.False(t, m.isOwnZoneRead(), must.Sprint("a record that a neighbour passed on is not the zone's"))
	must.Eq(t, []fleet.State{fleet.Leaving}, seen)
}
