package mesh

import (
	"context"
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
}

func (m *members) apply(items []Item) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = true
	news := false
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
			news = true
			m.note(&record, "store")
		}
	}
	if news {
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

// Learn takes in a record that did not come from the store, unless a newer one is
// known.
func (m *Mesh) Learn(record fleet.Member) { m.members.learn(record) }

// takeOver folds records that another node knows; unsound ones are left out.
func (m *members) takeOver(records []fleet.Member, from string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.told = true
	news := 0
	for i := range records {
		if err := records[i].Validate(); err != nil {
			m.logger.Warn().Str("from", from).Err(err).Msg("member record unreadable, ignored")
			continue
		}
		if m.registry.Apply(records[i]) {
			news++
		}
	}
	m.logger.Info().Str("from", from).Int("members", len(records)).Int("changed", news).Msg("members taken over from another node")
	if news > 0 {
		m.changed(m.registry)
	}
}

// informed reports whether the records of the deployment were read once.
func (m *members) informed() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.told
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

// publisher keeps the node's own record in the store: the newest that was set is
// written, again and again until the store takes it.
type publisher struct {
	topic  Topic
	logger zerolog.Logger
	wake   chan struct{}
	// unwritten is called when the store did not take the record.
	unwritten func(context.Context)

	mu     sync.Mutex
	record fleet.Member
	// written is the revision that the store has confirmed.
	written uint64
}

func newPublisher(topic Topic, logger zerolog.Logger, record fleet.Member, unwritten func(context.Context)) *publisher {
	return &publisher{topic: topic, logger: logger, wake: make(chan struct{}, 1), record: record, unwritten: unwritten}
}

// update changes the record and has it written.
func (p *publisher) update(change func(*fleet.Member)) fleet.Member {
	p.mu.Lock()
	change(&p.record)
	p.record.Revision++
	record := p.record
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
	return record
}

// newest returns the record as it stands, written or not.
func (p *publisher) newest() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

func (p *publisher) pending() (fleet.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record, p.record.Revision > p.written
}

func (p *publisher) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		record, due := p.pending()
		if !due {
			failures = 0
			select {
			case <-p.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := p.write(ctx, record); err != nil {
			p.logger.Warn().Uint64("revision", record.Revision).Err(err).Msg("own record not written yet")
			failures++
			p.unwritten(ctx)
			p.pause(ctx, failures)
			continue
		}
		failures = 0
	}
}

func (p *publisher) write(ctx context.Context, record fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	if err := p.topic.Put(ctx, nodePrefix+record.Node, raw); err != nil {
		return err
	}
	p.mu.Lock()
	p.written = max(p.written, record.Revision)
	p.mu.Unlock()
	p.logger.Info().Uint64("revision", record.Revision).Str("state", string(record.State)).Str("upstream", record.Upstream).Msg("own record written")
	return nil
}

func (p *publisher) pause(ctx context.Context, failures int) { pauseAfter(ctx, failures, p.wake) }
