package mesh

import (
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/records"
)

// members follows the records of all nodes and applies them to routing.
type members struct {
	logger zerolog.Logger
	// onChange is called with the registry after a change, with mu held.
	onChange      func(*fleet.Registry)
	crashReporter *crashReporter

	// onOwnKey is called with the key of each record of this node in the store, and the record, after
	// onPredecessor and without a lock.
	onOwnKey func(key string, record *fleet.Member)

	// own identifies this process. onPredecessor is called with each newer record that a previous
	// process of the node left, and onZoneRead when the records of its zone were read once, both
	// without a lock.
	own           node.Identity
	onPredecessor func(fleet.Member)
	onZoneRead    func()
	// onRecord is called with each record that replaces another, with mu held.
	onRecord func(*fleet.Member)

	mu       sync.Mutex
	registry *fleet.Registry
	// predecessors holds the newest record of a previous process of the node, which registry replaces
	// by the own one.
	predecessors *fleet.Registry
	// peersSuffice is set once the store could not be read (see acceptPeers).
	peersSuffice bool
	// ownZoneRead is closed when the records of the node's zone were read once, the one of its previous
	// process among them.
	ownZoneRead chan struct{}
	zoneRead    sync.Once
	// initialized reports whether the records of the deployment were read once, from the store or
	// from another node. known is closed when it is set.
	initialized bool
	known       chan struct{}
	// views are computed from registry.
	views memberViews
}

func newMembers(m *Mesh, own node.Identity) *members {
	return &members{
		logger:        m.rateLimited,
		known:         make(chan struct{}),
		registry:      fleet.NewRegistry(),
		predecessors:  fleet.NewRegistry(),
		ownZoneRead:   make(chan struct{}),
		crashReporter: m.crashReporter,
		own:           own,
		onChange:      m.setEndpoints,
		onOwnKey:      m.publisher.ObserveKey,
		onPredecessor: m.local.onPredecessor,
		onZoneRead:    m.local.applyPostponed,
		onRecord:      m.claims.observe,
	}
}

// apply applies records from the store, those of members and those of crashes. Deleted keys and
// invalid records are skipped.
func (m *members) apply(items []records.Item) {
	m.mu.Lock()
	news := m.applyLocked(items, isMemberKeyOf, !m.initialized)
	m.setInitializedLocked()
	m.mu.Unlock()
	m.onOwnZoneRead(news)
}

// ownNews is what a read says of the node itself.
type ownNews struct {
	// predecessor is the newest record of a previous process of the node; nil if it is not new.
	predecessor *fleet.Member
	// own are the records of the node in the store.
	own []ownRecord
}

// ownRecord is a record of the node in the store.
type ownRecord struct {
	key    string
	record fleet.Member
}

// applyUnstored applies records that other nodes pass on because the store did not accept them. They are
// a few of all, so that those of the node's zone and of the deployment are still to be read.
func (m *members) applyUnstored(items []records.Item) {
	m.mu.Lock()
	news := m.applyLocked(items, isUnstoredKeyOf, false)
	m.mu.Unlock()
	if news.predecessor != nil {
		m.onPredecessor(*news.predecessor)
	}
}

// onOwnZoneRead passes on what a read says of the node, before it reports that the records of the own
// zone are known.
func (m *members) onOwnZoneRead(news ownNews) {
	if news.predecessor != nil {
		m.onPredecessor(*news.predecessor)
	}
	for i := range news.own {
		m.onOwnKey(news.own[i].key, &news.own[i].record)
	}
	m.zoneRead.Do(func() {
		close(m.ownZoneRead)
		m.onZoneRead()
	})
}

// isOwnZoneRead reports whether the records of the node's zone were read, the one of its previous
// process among them.
func (m *members) isOwnZoneRead() bool {
	select {
	case <-m.ownZoneRead:
		return true
	default:
		return false
	}
}

func (m *members) setInitializedLocked() {
	if !m.initialized {
		m.initialized = true
		close(m.known)
	}
}

// applyPart applies the records of some members; those of the others are still to be read.
func (m *members) applyPart(items []records.Item) {
	m.mu.Lock()
	news := m.applyLocked(items, isMemberKeyOf, true)
	m.mu.Unlock()
	m.onOwnZoneRead(news)
}

// decode decodes a record, whose key must be one of its own.
func (m *members) decode(now time.Time, item records.Item, isKeyOf keyCheck) (record fleet.Member, ok bool) {
	record, err := fleet.DecodeMember(item.Value, now)
	if err == nil && !isKeyOf(item.Key, &record) {
		err = errors.Errorf("record of member %s is stored under a key of another", record.Node)
	}
	if err != nil {
		m.logger.Warn().Str("key", item.Key).Err(err).Msg("member record is invalid; record ignored")
	}
	return record, err == nil
}

// applyLocked applies records and returns what they say of the node itself. At a start it logs their
// number alone, since there are as many as nodes.
func (m *members) applyLocked(items []records.Item, isKeyOf keyCheck, atStart bool) (news ownNews) {
	updated := 0
	now := time.Now()
	for _, item := range items {
		if len(item.Value) == 0 {
			continue
		}
		if strings.HasPrefix(item.Key, crashPrefix) {
			m.crashReporter.apply(item)
			continue
		}
		record, ok := m.decode(now, item, isKeyOf)
		if !ok {
			continue
		}
		if record.Node == m.own.Node && isMemberKeyOf(item.Key, &record) {
			news.own = append(news.own, ownRecord{item.Key, record})
		}
		if m.isPredecessorLocked(&record) {
			news.predecessor = &record
		}
		if !m.registry.Apply(record) {
			continue
		}
		m.onRecord(&record)
		updated++
		if !atStart {
			m.logChange(&record, "store")
		}
	}
	if updated == 0 {
		return news
	}
	if atStart {
		m.logger.Info().Int("members", len(items)).Int("changed", updated).Msg("member records read at the start")
	}
	m.onChange(m.registry)
	return news
}

// isPredecessorLocked reports whether a record is the newest one of a previous process of the node. One that
// is there at the start may be newer by its clock, or because it superseded another (see claims).
func (m *members) isPredecessorLocked(record *fleet.Member) bool {
	if record.Node != m.own.Node || record.Incarnation == m.own.Incarnation {
		return false
	}
	isOlder := record.Incarnation < m.own.Incarnation || !m.isOwnZoneRead() && record.Address == m.own.InnerAddr
	return isOlder && m.predecessors.Apply(*record)
}

// applyMember applies a record that did not come from the store.
func (m *members) applyMember(record fleet.Member) {
	m.mu.Lock()
	isPredecessor := m.isPredecessorLocked(&record)
	if m.registry.Apply(record) {
		m.onRecord(&record)
		m.logChange(&record, "node")
		m.onChange(m.registry)
	}
	m.mu.Unlock()
	if isPredecessor {
		m.onPredecessor(record)
	}
}

func (m *members) logChange(record *fleet.Member, source string) {
	m.logger.Info().Str("member", record.Node).Str("service", record.Service).Str("upstream", record.Upstream).
		Str("state", string(record.State)).Str("address", record.Address).Int("slots", record.Slots).
		Uint64("revision", record.Revision).Str("source", source).Msg("member changed")
}

// refresh applies the records again after a change of settings, since the retry budget and the
// number of idle connections depend on both.
func (m *members) refresh() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.onChange(m.registry)
}

// ApplyMember applies a record that did not come from the store, unless a newer one is known.
func (m *Mesh) ApplyMember(record fleet.Member) { m.members.applyMember(record) }

// mergeRecords merges the records fetched from another node; invalid ones are skipped.
func (m *members) mergeRecords(records []fleet.Member, from string) {
	predecessor, suffices := m.merge(records, from)
	if suffices {
		m.onOwnZoneRead(ownNews{predecessor: predecessor})
	} else if predecessor != nil {
		m.onPredecessor(*predecessor)
	}
}

// acceptPeers makes the records of other nodes count as those of the node's zone, because the store
// could not be read. Other nodes may not have the newest ones yet.
func (m *members) acceptPeers() {
	m.mu.Lock()
	m.peersSuffice = true
	initialized := m.initialized
	m.mu.Unlock()
	if initialized {
		m.onOwnZoneRead(ownNews{})
	}
}

// merge merges records and returns the newest one of a previous process of the node, if it is new, and
// whether the records count as those of the node's zone.
func (m *members) merge(records []fleet.Member, from string) (predecessor *fleet.Member, suffices bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.setInitializedLocked()
	updated := 0
	now := time.Now()
	for i := range records {
		if err := records[i].Validate(now); err != nil {
			m.logger.Warn().Str("from", from).Err(err).Msg("member record is invalid; record ignored")
			continue
		}
		if m.isPredecessorLocked(&records[i]) {
			predecessor = &records[i]
		}
		if m.registry.Apply(records[i]) {
			m.onRecord(&records[i])
			updated++
		}
	}
	m.logger.Info().Str("from", from).Int("members", len(records)).Int("changed", updated).Msg("member records of another node merged")
	if updated > 0 {
		m.onChange(m.registry)
	}
	return predecessor, m.peersSuffice
}

// isInitialized reports whether the records of the deployment were read once.
func (m *members) isInitialized() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.initialized
}

// predecessor returns the newest record that a previous process of the node left.
func (m *members) predecessor() (record fleet.Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.predecessors.Member(m.own.Node)
}

// count returns the number of known nodes.
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
