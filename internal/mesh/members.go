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
	// changed takes the registry after a change, with the lock held.
	changed  func(*fleet.Registry)
	suspects *suspects

	mu       sync.Mutex
	registry *fleet.Registry
	// told is whether the records of the deployment were read once, from the
	// store or from another node.
	told bool
	// near are the neighbours as of that many changes of the registry: they are
	// asked for twice a second, and 14,000 nodes take milliseconds to look through.
	near   []fleet.Member
	nearAt int
	// far are the serving nodes of other zones, as of that many changes.
	far   []fleet.Member
	farAt int
}

func (m *members) apply(items []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = true
	updated := false
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		if strings.HasPrefix(item.Key, crashPrefix) {
			m.suspects.apply(item)
			continue
		}
		record, err := fleet.DecodeMember(item.Value)
		if err != nil {
			m.logger.Warn().Str("key", item.Key).Err(err).Msg("member record unreadable, ignored")
			continue
		}
		if m.registry.Apply(record) {
			updated = true
			m.note(&record, "store")
		}
	}
	if updated {
		m.changed(m.registry)
	}
}

// learn takes a record that did not come from the store.
func (m *members) learn(record fleet.Member) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.registry.Apply(record) {
		m.note(&record, "node")
		m.changed(m.registry)
	}
}

func (m *members) note(record *fleet.Member, source string) {
	m.logger.Info().Str("member", record.Node).Str("service", record.Service).Str("upstream", record.Upstream).
		Str("state", string(record.State)).Str("address", record.Address).Int("slots", record.Slots).
		Uint64("revision", record.Revision).Str("source", source).Msg("member changed")
}

// refresh puts the records in force again, under settings that changed.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.changed(m.registry)
}

// ApplyMember takes in a record that did not come from the store, unless a newer one is
// known.
func (m *Mesh) ApplyMember(record fleet.Member) { m.members.learn(record) }

// takeOver folds records that another node knows; unsound ones are left out.
func (m *members) takeOver(records []fleet.Member, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = true
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
		m.changed(m.registry)
	}
}

// informed reports whether the records of the deployment were read once.
func (m *members) informed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.told
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

// elsewhere returns a serving node of another zone, any of them; known is false where
// there is none.
func (m *members) elsewhere(cfg *settings.Mesh) (of fleet.Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.farAt != m.registry.Changes() {
		m.far = m.registry.OtherZones(cfg.Region, cfg.Zone)
		m.farAt = m.registry.Changes()
	}
	if len(m.far) == 0 {
		return fleet.Member{}, false
	}
	return m.far[rand.IntN(len(m.far))], true
}

// neighbours returns the records of the other nodes of the zone; they must not be
// changed.
func (m *members) neighbours(cfg *settings.Mesh) []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.nearAt != m.registry.Changes() {
		m.near = m.registry.Neighbours(cfg.NodeID, cfg.Region, cfg.Zone)
		m.nearAt = m.registry.Changes()
	}
	return m.near
}
