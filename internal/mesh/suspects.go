package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// crashPrefix begins the keys of records of crashes; the node's name follows.
	crashPrefix = "crash/"
	// gatherFor is how long records of one crash are gathered for one append: an
	// upstream's death shows on each of its connections within milliseconds.
	gatherFor = 50 * time.Millisecond
	// maxSuspects bounds one append: the calls of a large upstream.
	maxSuspects = 512
)

// suspectRecord is a suspect in the store. Clocks of nodes are close to the true
// time, which is enough for the seconds in which suspects are held back.
type suspectRecord struct {
	Fingerprint uint64 `json:"f"`
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	AtMillis    int64  `json:"at_ms"`
	Cleared     bool   `json:"cleared,omitempty"`
	Alone       bool   `json:"alone,omitempty"`
}

// suspects spreads the records of requests that ran when an upstream died, so
// that no third upstream runs what killed two.
type suspects struct {
	topic  Topic
	key    string
	guard  *node.Guard
	logger zerolog.Logger
	calls  callLog
	wake   chan struct{}
	// unwritten is called when the store did not take records.
	unwritten func(Item)

	mu      sync.Mutex
	pending []quarantine.CrashRecord
}

func newSuspects(topic Topic, nodeID string, logger, callLines zerolog.Logger, unwritten func(Item)) *suspects {
	return &suspects{topic: topic, key: crashPrefix + nodeID, logger: logger, calls: callLog{logger: callLines, topic: topic.Name()}, wake: make(chan struct{}, 1), unwritten: unwritten}
}

// spread takes records to be written; it doesn't block.
func (s *suspects) spread(list []quarantine.CrashRecord) {
	s.mu.Lock()
	s.pending = append(s.pending, list...)
	if over := len(s.pending) - maxSuspects; over > 0 {
		s.logger.Warn().Int("dropped", over).Msg("more records of a crash than one append holds")
		s.pending = s.pending[over:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *suspects) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, gatherFor)
		s.mu.Lock()
		batch := s.pending
		s.pending = nil
		s.mu.Unlock()
		if err := s.write(ctx, batch); err != nil && ctx.Err() == nil {
			s.logger.Warn().Int("records", len(batch)).Err(err).Msg("records of a crash not written")
		}
	}
}

// write tries once more after a failure: records are of use for seconds only.
func (s *suspects) write(ctx context.Context, batch []quarantine.CrashRecord) error {
	records := make([]suspectRecord, len(batch))
	for i, x := range batch {
		records[i] = suspectRecord{uint64(x.Fingerprint), x.Upstream, x.Incarnation, x.At.UnixMilli(), x.Cleared, x.Alone}
	}
	raw, err := json.Marshal(records)
	if err != nil {
		return errors.Wrap(err, "records of a crash")
	}
	for range 2 {
		if err = s.put(ctx, raw); err == nil {
			return nil
		}
		s.unwritten(Item{Key: s.key, Value: raw})
		wait.For(ctx, minPause)
	}
	return err
}

func (s *suspects) put(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	sent := time.Now()
	err := s.topic.Put(ctx, s.key, raw)
	s.calls.done(ctx, PurposeCrash, sent, err)
	return err
}

// apply takes in what another node wrote.
func (s *suspects) apply(item Item) {
	if item.Key == s.key {
		return
	}
	var records []suspectRecord
	if err := json.Unmarshal(item.Value, &records); err != nil {
		s.logger.Warn().Str("key", item.Key).Err(err).Msg("records of a crash unreadable, ignored")
		return
	}
	now := time.Now()
	list := make([]quarantine.CrashRecord, len(records))
	for i, r := range records {
		list[i] = quarantine.CrashRecord{
			Fingerprint: quarantine.Fingerprint(r.Fingerprint), Upstream: r.Upstream, Incarnation: r.Incarnation,
			// The monotonic reading of now makes ages immune to steps of the clock.
			At:      now.Add(-max(0, now.Sub(time.UnixMilli(r.AtMillis)))),
			Cleared: r.Cleared, Alone: r.Alone,
		}
	}
	if fresh := s.guard.MergeCrashRecords(now, list); len(fresh) > 0 {
		s.logger.Info().Str("from", item.Key).Int("records", len(fresh)).Msg("suspects learned")
	}
}
