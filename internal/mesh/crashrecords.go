package mesh

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/quarantine"
	"github.com/galenagrade/galenagrade/internal/records"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// crashPrefix is the prefix of the keys of crash records; the node's name follows.
	crashPrefix = "crash/"
	// maxPendingCrashRecords bounds the records of one append: a crash makes one record for each
	// call that runs at the upstream, and a large upstream runs about as many.
	maxPendingCrashRecords = 512
	// maxClockLead bounds how far another writer's clock may be ahead.
	maxClockLead = time.Hour
)

// storedCrashRecord is the JSON document of a quarantine.CrashRecord in the store. Its time is that
// of the writer's clock. Suspect requests are held back for seconds, and the clocks of nodes differ
// by much less.
type storedCrashRecord struct {
	Fingerprint uint64 `json:"f"`
	Upstream    string `json:"upstream"`
	Incarnation uint64 `json:"incarnation"`
	AtMillis    int64  `json:"at_ms"`
	Cleared     bool   `json:"cleared,omitempty"`
	Alone       bool   `json:"alone,omitempty"`
}

// crashReporter writes the records of requests that ran when an upstream crashed to the store,
// and applies those of other nodes, so that no third upstream runs a request that crashed 2.
type crashReporter struct {
	topic  records.Topic
	key    string
	guard  *node.Guard
	logger zerolog.Logger
	calls  records.CallLog
	wake   chan struct{}
	// onWriteFailed is called when the store did not accept the records.
	onWriteFailed func(records.Item)

	mu      sync.Mutex
	pending []quarantine.CrashRecord
}

func newCrashReporter(topic records.Topic, nodeID string, logger, storeCallLogger zerolog.Logger, onWriteFailed func(records.Item)) *crashReporter {
	return &crashReporter{topic: topic, key: crashPrefix + nodeID, logger: logger, calls: records.NewCallLog(storeCallLogger, topic), wake: make(chan struct{}, 1), onWriteFailed: onWriteFailed}
}

// enqueue adds records to the next write; it doesn't block.
func (s *crashReporter) enqueue(list []quarantine.CrashRecord) {
	s.mu.Lock()
	s.pending = append(s.pending, list...)
	if excess := len(s.pending) - maxPendingCrashRecords; excess > 0 {
		s.logger.Warn().Int("dropped", excess).Msg("crash records exceed one append; the oldest are dropped")
		s.pending = s.pending[excess:]
	}
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

func (s *crashReporter) run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-s.wake:
		case <-ctx.Done():
			return
		}
		wait.For(ctx, records.BatchDelay)
		s.mu.Lock()
		crashes := s.pending
		s.pending = nil
		s.mu.Unlock()
		if err := s.write(ctx, crashes); err != nil && ctx.Err() == nil {
			s.logger.Warn().Int("records", len(crashes)).Err(err).Msg("crash records not written to the store; nodes outside the zone may not receive them")
		}
	}
}

// write writes the records, with one retry after a failure: crash records are useful for seconds
// only.
func (s *crashReporter) write(ctx context.Context, crashes []quarantine.CrashRecord) error {
	stored := make([]storedCrashRecord, len(crashes))
	for i, crash := range crashes {
		stored[i] = storedCrashRecord{uint64(crash.Fingerprint), crash.Upstream, crash.Incarnation, crash.At.UnixMilli(), crash.Cleared, crash.Alone}
	}
	raw, err := json.Marshal(stored)
	if err != nil {
		return errors.Wrap(err, "encode crash records")
	}
	for range 2 {
		if err = s.put(ctx, raw); err == nil {
			return nil
		}
		s.onWriteFailed(records.Item{Key: s.key, Value: raw})
		wait.For(ctx, records.MinRetryDelay)
	}
	return err
}

func (s *crashReporter) put(ctx context.Context, raw []byte) error {
	ctx, cancel := context.WithTimeout(ctx, records.StoreCallTimeout)
	defer cancel()
	sent := time.Now()
	err := s.topic.Put(ctx, records.Item{Key: s.key, Value: raw})
	s.calls.Log(ctx, records.PurposeCrash, sent, err)
	return err
}

// apply applies the crash records that another node wrote.
func (s *crashReporter) apply(item records.Item) {
	if item.Key == s.key {
		return
	}
	now := time.Now()
	records, err := decodeCrashRecords(now, item.Value)
	if err != nil {
		s.logger.Warn().Str("key", item.Key).Err(err).Msg("crash records are invalid; records ignored")
		return
	}
	crashes := make([]quarantine.CrashRecord, len(records))
	for i, r := range records {
		crashes[i] = quarantine.CrashRecord{
			Fingerprint: quarantine.Fingerprint(r.Fingerprint), Upstream: r.Upstream, Incarnation: r.Incarnation,
			// The monotonic clock reading of now makes ages immune to steps of the wall clock.
			At:      now.Add(-max(0, now.Sub(time.UnixMilli(r.AtMillis)))),
			Cleared: r.Cleared, Alone: r.Alone,
		}
	}
	if fresh := s.guard.MergeCrashRecords(now, crashes); len(fresh) > 0 {
		s.logger.Info().Str("from", item.Key).Int("records", len(fresh)).Msg("crash records of another node merged into the quarantine")
	}
}

// decodeCrashRecords decodes the crash records of another writer. It returns an error if a field is out of
// bounds.
func decodeCrashRecords(now time.Time, raw []byte) ([]storedCrashRecord, error) {
	var list []storedCrashRecord
	if err := json.Unmarshal(raw, &list); err != nil {
		return nil, errors.Wrap(err, "decode crash records")
	}
	if len(list) > maxPendingCrashRecords {
		return nil, errors.Errorf("%d crash records, must be at most %d", len(list), maxPendingCrashRecords)
	}
	newest := uint64(now.Add(maxClockLead).UnixNano())
	for _, r := range list {
		if !callctx.ValidName(r.Upstream) || r.Incarnation > newest || r.AtMillis < 0 {
			return nil, errors.Errorf("crash record of upstream %.64q, incarnation %d at %d ms: out of bounds", r.Upstream, r.Incarnation, r.AtMillis)
		}
	}
	return list, nil
}
