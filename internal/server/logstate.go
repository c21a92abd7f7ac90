package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/galenagrade/galenagrade/internal/logstore"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// meteredLog measures the duration of requests to the log.
type meteredLog struct {
	logstore.Log
	metrics *metrics.Set
}

// Append implements logstore.Log.
func (l *meteredLog) Append(ctx context.Context, records []logstore.Record) (int64, error) {
	began := time.Now()
	first, err := l.Log.Append(ctx, records)
	l.metrics.Observe(metrics.LogAppendTime, time.Since(began))
	return first, err
}

// Read implements logstore.Log. The measured duration includes the wait at the head of the
// log.
func (l *meteredLog) Read(ctx context.Context, from int64, maxEntries int, wait time.Duration) (logstore.Page, error) {
	began := time.Now()
	page, err := l.Log.Read(ctx, from, maxEntries, wait)
	l.metrics.Observe(metrics.LogReadTime, time.Since(began))
	return page, err
}

// logState is the result of this node's own reads of the log. Most nodes do not read the log
// and receive its head from other nodes.
type logState struct{ failing atomic.Bool }

// recordRead records the result of one read of the log. It adds an event to the timeline when
// the log becomes unavailable or available again.
func (c *controlLoop) recordRead(err error) {
	now := c.server.node.Now()
	c.server.metrics.Inc(metrics.LogReads, 1)
	var truncated *logstore.TruncatedError
	if err == nil || errors.As(err, &truncated) {
		if c.log.failing.Swap(false) {
			c.server.node.Event(now, timeline.Event{Kind: timeline.LogBack})
		}
		return
	}
	c.server.metrics.Inc(metrics.LogReadFailures, 1)
	if !c.log.failing.Swap(true) {
		c.server.node.Event(now, timeline.Event{Kind: timeline.LogUnavailable, Detail: err.Error()})
		c.server.logger.Warn().Err(err).Msg("read of the log failed; retried until the log is available again")
	}
}

// maxHeadAge is the age of the newest known head at which the log counts as unavailable for a
// node that does not read it. The reader of the zone reads twice a second, and an update
// reaches the node within one exchange.
const maxHeadAge = 5 * time.Second

// logHealth returns the next offset to apply, the age of the newest known head of the log
// (negative when none is known), and whether the log is available.
func (c *controlLoop) logHealth() (next int64, age time.Duration, available bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	next = int64(c.plane.Policy().Version())
	age, known := c.plane.HeadAge(c.server.node.Now())
	if !known {
		return next, -time.Millisecond, false
	}
	return next, age, age < maxHeadAge && !c.log.failing.Load()
}
