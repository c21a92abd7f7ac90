package mesh

import (
	"math/rand/v2"
	"strings"
	"sync"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// nodePrefix begins the keys of nodes' own records.
const nodePrefix = "node/"

// members follows the records of all nodes and puts them in force for routing.
type members struct {
	logger zerolog.Logger
	// onChange takes the registry after a change, with the lock held.
	onChange      func(*fleet.Registry)
	crashReporter *crashReporter

	mu       sync.Mutex
	registry *fleet.Registry
	// initialized is whether the records of the deployment were read once, from the
	// store or from another node.
	initialized bool
	// sameZone are the neighbours as of that many changes of the registry: they are
	// asked for twice a second, and 14,000 nodes take milliseconds to look through.
	sameZone         []fleet.Member
	sameZoneRevision int
	// otherZones are the serving nodes of other zones, as of that many changes.
	otherZones         []fleet.Member
	otherZonesRevision int
}

func (m *members) apply(items []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialized = true
	updated := false
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		if strings.HasPrefix(item.Key, crashPrefix) {
			m.crashReporter.apply(item)
			continue
		}
		record, err := fleet.DecodeMember(item.Value)
		if err != nil {
			m.logger.Warn().Str("key", item.Key).Err(err).Msg("member record unreadable, ignored")
			continue
		}
		if m.registry.Apply(record) {
			updated = true
			m.logChange(&record, "store")
		}
	}
	if updated {
		m.onChange(m.registry)
	}
}

// learn takes a record that did not come from the store.
func (m *members) learn(record fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registry.Apply(record) {
		m.logChange(&record, "node")
		m.onChange(m.registry)
	}
}

func (m *members) logChange(record *fleet.Member, source string) {
	m.logger.Info().Str("member", record.Node).Str("service", record.Service).Str("upstream", record.Upstream).
		Str("state", string(record.State)).Str("address", record.Address).Int("slots", record.Slots).
		Uint64("revision", record.Revision).Str("source", source).Msg("member changed")
}

// refresh puts the records in force again, under settings that changed.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange(m.registry)
}

// ApplyMember takes in a record that did not come from the store, unless a newer one is
// known.
func (m *Mesh) ApplyMember(record fleet.Member) { m.members.learn(record) }

// mergeRecords folds records that another node knows; unsound ones are left out.
func (m *members) mergeRecords(records []fleet.Member, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.initialized = true
	updated := 0
	for i := range records {
		if err := records[i].Validate(); err != nil {
			m.logger.Warn().Str("from", from).Err(err).Msg("member record unreadable, ignored")
			continue
		}
		if m.registry.Apply(records[i]) {
			updated++
		}
	}
	m.logger.Info().Str("from", from).Int("members", len(records)).Int("changed", updated).Msg("members taken over from another node")
	if updated > 0 {
		m.onChange(m.registry)
	}
}

// isInitialized reports whether the records of the deployment were read once.
func (m *members) isInitialized() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.initialized
}

// predecessor returns the record that an earlier process of the node left.
func (m *members) predecessor(node string, incarnation uint64) (record fleet.Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	record, known = m.registry.Member(node)
	return record, known && record.Incarnation < incarnation
}

// count returns how many nodes are known.
func (m *members) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Len()
}

// all returns the newest record of each node.
func (m *members) all() []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.registry.Members()
}

// randomOtherZone returns a serving node of another zone, any of them; known is false where
// there is none.
func (m *members) randomOtherZone(cfg *settings.Mesh) (member fleet.Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.otherZonesRevision != m.registry.Changes() {
		m.otherZones = m.registry.OtherZones(cfg.Region, cfg.Zone)
		m.otherZonesRevision = m.registry.Changes()
	}
	if len(m.otherZones) == 0 {
		return fleet.Member{}, false
	}
	return m.otherZones[rand.IntN(len(m.otherZones))], true
}

// zoneNeighbours returns the records of the other nodes of the zone; they must not be
// changed.
func (m *members) zoneNeighbours(cfg *settings.Mesh) []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sameZoneRevision != m.registry.Changes() {
		m.sameZone = m.registry.Neighbours(cfg.NodeID, cfg.Region, cfg.Zone)
		m.sameZoneRevision = m.registry.Changes()
	}
	return m.sameZone
}
