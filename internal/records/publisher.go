package records

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

// maxReplaced bounds the keys that one write deletes. Others are deleted later, when they are read.
const maxReplaced = 16

// Publisher writes the node's own record to the store. It writes the newest revision and retries
// until the store accepts it.
type Publisher struct {
	topic  Topic
	logger zerolog.Logger
	calls  CallLog
	wake   chan struct{}
	// key returns the key of a record. No two revisions share one.
	key func(*fleet.Member) string
	// WriteItem writes a record to the store, itself or through another node.
	WriteItem func(context.Context, Write) error
	// onWriteFailed is called when the store did not accept the record.
	onWriteFailed func(Item)

	mu     sync.Mutex
	record fleet.Member
	// writtenRevision is the newest revision that the store has confirmed, and written is closed when
	// it changes.
	writtenRevision uint64
	written         chan struct{}
	// replaced are the keys of older records that may be in the store.
	replaced map[string]bool
}

// NewPublisher returns the publisher of a record. key returns the key of a record; no two revisions share
// one. Its WriteItem must be set before Run.
func NewPublisher(topic Topic, logger zerolog.Logger, key func(*fleet.Member) string, record fleet.Member, onWriteFailed func(Item)) *Publisher {
	return &Publisher{
		topic:         topic,
		logger:        logger,
		calls:         CallLog{logger: logger, topic: topic.Name()},
		wake:          make(chan struct{}, 1),
		key:           key,
		record:        record,
		onWriteFailed: onWriteFailed,
		written:       make(chan struct{}),
		replaced:      map[string]bool{},
	}
}

// ObserveKey notes the key of a record of the node in the store. The next write deletes it if the record
// is older, so what that record says must be part of the published one already.
func (p *Publisher) ObserveKey(key string, record *fleet.Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.replaced) < maxReplaced && p.record.Newer(record) {
		p.replaced[key] = true
	}
}

// Prepare changes the record without a write if none was requested yet. The change is written with the
// first Update. Later it is an Update, since a revision has one content.
func (p *Publisher) Prepare(change func(*fleet.Member)) {
	p.mu.Lock()
	published := p.record.Revision > 0
	if !published {
		change(&p.record)
	}
	p.mu.Unlock()
	if published {
		p.Update(change)
	}
}

// AwaitWritten returns when the store has confirmed a revision or a newer one, or with an error when
// ctx ends.
func (p *Publisher) AwaitWritten(ctx context.Context, revision uint64) error {
	for {
		p.mu.Lock()
		done, written := p.writtenRevision >= revision, p.written
		p.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-written:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "revision %d of the node's record is not in the store", revision)
		}
	}
}

// Update changes the record and triggers a write.
func (p *Publisher) Update(change func(*fleet.Member)) fleet.Member {
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

// Supersede makes the record newer than those of an incarnation and triggers a write.
func (p *Publisher) Supersede(incarnation uint64) fleet.Member {
	return p.Update(func(own *fleet.Member) { own.Incarnation = max(own.Incarnation, incarnation) + 1 })
}

// Newest returns the current record, written or not.
func (p *Publisher) Newest() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// pending returns the record, whether its newest revision is still to be written, and the keys that its
// write deletes.
func (p *Publisher) pending() (record fleet.Member, due bool, replaced []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.record.Revision <= p.writtenRevision {
		return p.record, false, nil
	}
	own := p.key(&p.record)
	replaced = slices.DeleteFunc(slices.Sorted(maps.Keys(p.replaced)), func(key string) bool { return key == own })
	return p.record, true, replaced
}

// Run writes the record whenever it changed, until ctx ends.
func (p *Publisher) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		record, due, replaced := p.pending()
		if !due {
			failures = 0
			select {
			case <-p.wake:
			case <-ctx.Done():
			}
			continue
		}
		if err := p.write(ctx, record, replaced); err != nil {
			p.logger.Warn().Uint64("revision", record.Revision).Err(err).Msg("own member record not written to the store; write is retried")
			failures++
			Backoff(ctx, failures, p.wake)
			continue
		}
		failures = 0
	}
}

func (p *Publisher) write(ctx context.Context, record fleet.Member, replaced []string) error {
	ctx, cancel := context.WithTimeout(ctx, StoreCallTimeout)
	defer cancel()
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	item := Item{Key: p.key(&record), Value: raw}
	err = p.WriteItem(ctx, Write{Item: item, Replaces: replaced})
	p.noteWrite(item.Key, replaced, &record, err)
	if err != nil {
		p.onWriteFailed(Item{Key: record.Node, Value: raw})
		return err
	}
	p.logger.Info().Uint64("revision", record.Revision).Str("state", string(record.State)).Str("upstream", record.Upstream).Msg("own member record written to the store")
	return nil
}

// noteWrite notes the result of a write. A write that failed may still be done at any time, so that its
// record is one to be deleted in either case.
func (p *Publisher) noteWrite(key string, replaced []string, record *fleet.Member, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err == nil {
		for _, old := range replaced {
			delete(p.replaced, old)
		}
	}
	if len(p.replaced) < maxReplaced {
		p.replaced[key] = true
	}
	if err != nil {
		return
	}
	p.writtenRevision = max(p.writtenRevision, record.Revision)
	close(p.written)
	p.written = make(chan struct{})
}

// Put writes member records to the store in one call.
func (p *Publisher) Put(ctx context.Context, items []Item) error {
	sent := time.Now()
	err := p.topic.Put(ctx, items...)
	p.calls.Log(ctx, PurposeOwnRecord, sent, err)
	return err
}
