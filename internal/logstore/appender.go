package logstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ErrQueueFull is returned for a record that the Appender rejects because its queue is full;
// the record was not sent.
var ErrQueueFull = errors.New("append queue is full")

// AppenderConfig limits the load that one node puts on the log.
type AppenderConfig struct {
	// PerSecond is the maximum sustained rate of appends per second.
	PerSecond float64
	// Burst is the number of appends that may be sent without a pause; at least 1.
	Burst int
	// MaxQueue limits the number of records that are queued or in flight.
	MaxQueue int
	// MaxGroup limits the number of records in one append.
	MaxGroup int
	// MinBackoff and MaxBackoff limit the delay after a failed append.
	MinBackoff, MaxBackoff time.Duration
	// Timeout limits one append request to the log.
	Timeout time.Duration
	// RepeatFor is the time after the first attempt during which an append of a record is
	// retried. The window of Dedup must cover it; see Dedup.
	RepeatFor time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
	// Rand is the source of the backoff's jitter; nil means one seeded from the global source.
	Rand *rand.Rand
}

// DefaultAppenderConfig returns the settings of an ordinary node. At 5 appends per second, 60
// busy nodes stay within the log's capacity of 300 or more appends per second.
func DefaultAppenderConfig() AppenderConfig {
	return AppenderConfig{
		PerSecond:  5,
		Burst:      5,
		MaxQueue:   4096,
		MaxGroup:   256,
		MinBackoff: 50 * time.Millisecond,
		MaxBackoff: 2 * time.Second,
		Timeout:    2 * time.Second,
		RepeatFor:  30 * time.Second,
	}
}

// Validate returns an error for the first setting that is out of bounds.
func (c *AppenderConfig) Validate() error {
	switch {
	case c.PerSecond <= 0:
		return fmt.Errorf("per_second is %v, must be above 0", c.PerSecond)
	case c.Burst < 1:
		return fmt.Errorf("burst is %d, must be at least 1", c.Burst)
	case c.MaxQueue < 1:
		return fmt.Errorf("max_queue is %d, must be at least 1", c.MaxQueue)
	case c.MaxGroup < 1 || c.MaxGroup > MaxAppendRecords:
		return fmt.Errorf("max_group is %d, bound 1..%d", c.MaxGroup, MaxAppendRecords)
	case c.MinBackoff <= 0 || c.MaxBackoff < c.MinBackoff:
		return fmt.Errorf("backoff is %v..%v, must be above 0 and ascending", c.MinBackoff, c.MaxBackoff)
	case c.Timeout <= 0:
		return fmt.Errorf("timeout is %v, must be above 0", c.Timeout)
	case c.RepeatFor < c.Timeout:
		return fmt.Errorf("repeat_for is %v, must be at least timeout %v", c.RepeatFor, c.Timeout)
	}
	return nil
}

// pendingRecord is one record that is queued or in flight. It is settled exactly once, that is,
// its offset or error becomes final and Append returns it: by Observe when the reader has folded
// the record, by the run loop when it stops retrying or is canceled, or when the caller of Append
// is canceled.
type pendingRecord struct {
	rec     Record
	settled chan struct{} // closed once offset and err are final
	offset  int64
	err     error
	// firstSent is the time of the first attempt; zero before it.
	firstSent time.Time
	// inFlight is true while an append with the record has not returned.
	inFlight bool
	// acked is true once the log has acknowledged the record; the reader has not folded it yet.
	acked bool
	// uncertain is true once an attempt may have taken effect.
	uncertain bool
}

// Appender batches the records of one node. One append is in flight at a time; records that
// arrive meanwhile are sent with the next one. Run must be running, and the node's reader must
// pass every entry that it has folded to Observe.
type Appender struct {
	log  Log
	cfg  AppenderConfig
	wake chan struct{}

	mu    sync.Mutex
	queue []*pendingRecord
	byID  map[string]*pendingRecord
	stats AppenderStats
}

// AppenderStats holds counters since the start of the Appender. Appends and Records count the
// append requests and the records in them, Failures the failed requests, and Uncertain the failed
// requests that may have taken effect. Retries counts records sent again, GaveUp records whose
// RepeatFor passed, and Rejected records that Append rejected because the queue was full. Queued is
// the current number of records that are queued or in flight.
type AppenderStats struct {
	Appends, Records, Failures, Uncertain, Retries, GaveUp, Rejected int64
	Queued                                                           int
}

// NewAppender returns an Appender for log.
func NewAppender(log Log, cfg AppenderConfig) (*Appender, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return &Appender{
		log:  log,
		cfg:  cfg,
		wake: make(chan struct{}, 1),
		byID: map[string]*pendingRecord{},
	}, nil
}

// Append queues rec and waits until the reader has folded it. It returns the offset of the
// record's first copy. If the error matches ErrUncertain, the record may be in the log or may
// still reach it; every other error means that it is not in the log and never reaches it.
func (a *Appender) Append(ctx context.Context, rec Record) (int64, error) {
	p, err := a.enqueue(rec)
	if err != nil {
		return 0, err
	}
	// The timeout removes records that the reader never passes to Observe, such as those that
	// it skipped by adopting the state of a peer.
	ctx, cancel := context.WithTimeout(ctx, 2*a.cfg.RepeatFor)
	defer cancel()
	select {
	case <-p.settled:
	case <-ctx.Done():
		if err := a.abandon(p, ctx.Err()); err != nil {
			return 0, err
		}
	}
	return p.offset, p.err
}

// Stats returns a copy of the counters.
func (a *Appender) Stats() AppenderStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Queued = len(a.byID)
	return s
}
