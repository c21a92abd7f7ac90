package logstore

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// ErrQueueFull matches a record that the Appender refused for want of room;
// nothing was sent.
var ErrQueueFull = errors.New("append queue is full")

// AppenderConfig bounds what one node asks of the log.
type AppenderConfig struct {
	// PerSecond is the node's budget of appends a second.
	PerSecond float64
	// Burst is how many appends may follow each other at once; at least 1.
	Burst int
	// MaxQueue bounds the records that wait or are in flight.
	MaxQueue int
	// MaxGroup bounds the records of one append.
	MaxGroup int
	// MinBackoff and MaxBackoff bound the pause after a failed append.
	MinBackoff, MaxBackoff time.Duration
	// Timeout bounds one append at the log.
	Timeout time.Duration
	// RepeatFor is how long a record is appended again after its first
	// attempt. Dedup's window must cover it; see Dedup.
	RepeatFor time.Duration
	// Now reads the clock; nil means time.Now.
	Now func() time.Time
	// Rand spreads the backoff; nil seeds one from the global source.
	Rand *rand.Rand
}

// DefaultAppenderConfig returns the settings of an ordinary node: 5 appends a
// second leaves room for 60 busy nodes below the log's 300 or more.
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

// Validate reports the first setting out of bounds.
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
		return fmt.Errorf("backoff is %v..%v, must be above 0 and ascend", c.MinBackoff, c.MaxBackoff)
	case c.Timeout <= 0:
		return fmt.Errorf("timeout is %v, must be above 0", c.Timeout)
	case c.RepeatFor < c.Timeout:
		return fmt.Errorf("repeat_for is %v, must be at least timeout %v", c.RepeatFor, c.Timeout)
	}
	return nil
}

// pending is one record on its way. It is settled once: by Observe, or by the
// run loop when it gives the record up.
type pending struct {
	rec     Record
	settled chan struct{}
	offset  int64
	err     error
	// firstTried is zero until the record was first sent.
	firstTried time.Time
	// inFlight says that an append with it has not returned.
	inFlight bool
	// acked says that the log acknowledged it; the reader still has to see it.
	acked bool
	// uncertain says that an attempt may have taken effect.
	uncertain bool
}

// Appender groups the records of one node: one append is in flight, and what
// arrives meanwhile goes with the next. Run must run, and the node's reader
// must pass every entry it folded to Observe.
type Appender struct {
	log  Log
	cfg  AppenderConfig
	wake chan struct{}

	mu    sync.Mutex
	queue []*pending
	byID  map[string]*pending
	stats AppenderStats
}

// AppenderStats counts since the start; Queued is the present value.
type AppenderStats struct {
	Appends, Records, Failures, Uncertain, Repeats, GaveUp, Refused int64
	Queued                                                          int
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
		byID: map[string]*pending{},
	}, nil
}

// Append hands rec over and returns its offset once the reader has folded it.
// The offset is that of the first copy. With ErrUncertain the record may be in
// the log or come there; every other error says that it is not and won't be.
func (a *Appender) Append(ctx context.Context, rec Record) (int64, error) {
	p, err := a.enqueue(rec)
	if err != nil {
		return 0, err
	}
	// The bound frees the queue of records that no reader will ever confirm,
	// such as those that a reader skipped by taking a peer's state.
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

// Stats returns the counters.
func (a *Appender) Stats() AppenderStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	s := a.stats
	s.Queued = len(a.byID)
	return s
}
