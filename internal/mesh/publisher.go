package mesh

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/fleet"
)

// publisher writes the node's own record to the store. It writes the newest revision and retries
// until the store accepts it.
type publisher struct {
	topic  Topic
	logger zerolog.Logger
	calls  storeCallLog
	wake   chan struct{}
	// writeItem writes a record to the store, itself or through another node.
	writeItem func(context.Context, Item) error
	// onWriteFailed is called when the store did not accept the record.
	onWriteFailed func(Item)

	mu     sync.Mutex
	record fleet.Member
	// writtenRevision is the newest revision that the store has confirmed.
	writtenRevision uint64
}

func newPublisher(topic Topic, logger zerolog.Logger, record fleet.Member, onWriteFailed func(Item)) *publisher {
	return &publisher{
		topic:         topic,
		logger:        logger,
		calls:         storeCallLog{logger: logger, topic: topic.Name()},
		wake:          make(chan struct{}, 1),
		record:        record,
		onWriteFailed: onWriteFailed,
	}
}

// update changes the record and triggers a write.
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

// newest returns the current record, written or not.
func (p *publisher) newest() fleet.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record
}

// pending returns the record and whether its newest revision is still to be written.
func (p *publisher) pending() (fleet.Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.record, p.record.Revision > p.writtenRevision
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
			p.logger.Warn().Uint64("revision", record.Revision).Err(err).Msg("own member record not written to the store; write is retried")
			failures++
			backoff(ctx, failures, p.wake)
			continue
		}
		failures = 0
	}
}

func (p *publisher) write(ctx context.Context, record fleet.Member) error {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	raw, err := record.Encode()
	if err != nil {
		return err
	}
	item := Item{Key: memberKey(&record), Value: raw}
	if err := p.writeItem(ctx, item); err != nil {
		p.onWriteFailed(item)
		return err
	}
	p.mu.Lock()
	p.writtenRevision = max(p.writtenRevision, record.Revision)
	p.mu.Unlock()
	p.logger.Info().Uint64("revision", record.Revision).Str("state", string(record.State)).Str("upstream", record.Upstream).Msg("own member record written to the store")
	return nil
}

// put writes member records to the store in one call.
func (p *publisher) put(ctx context.Context, items []Item) error {
	sent := time.Now()
	err := p.topic.Put(ctx, items...)
	p.calls.log(ctx, PurposeOwnRecord, sent, err)
	return err
}
