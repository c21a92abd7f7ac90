package server

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/platform"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// meteredLog times what the node asks of the log.
type meteredLog struct {
	platform.Log
	metrics *metrics.Set
}

// Append implements platform.Log.
func (l *meteredLog) Append(ctx context.Context, records []platform.Record) (int64, error) {
	began := time.Now()
	first, err := l.Log.Append(ctx, records)
	l.metrics.Observe(metrics.LogAppendTime, time.Since(began))
	return first, err
}

// Read implements platform.Log. The time includes the wait at the log's head.
func (l *meteredLog) Read(ctx context.Context, from int64, most int, wait time.Duration) (platform.Page, error) {
	began := time.Now()
	page, err := l.Log.Read(ctx, from, most, wait)
	l.metrics.Observe(metrics.LogReadTime, time.Since(began))
	return page, err
}

// logState is what the reader knows of the log's health.
type logState struct {
	// lastRead is when the last good read was sent, in Unix nanoseconds; 0
	// when there was none.
	lastRead atomic.Int64
	failing  atomic.Bool
}

// noteRead takes the end of one read of the log that was sent at sent.
func (c *control) noteRead(sent time.Time, err error) {
	c.server.metrics.Inc(metrics.LogReads, 1)
	now := c.server.node.Now()
	if err == nil {
		c.log.lastRead.Store(sent.UnixNano())
		if c.log.failing.Swap(false) {
			c.server.node.Event(now, timeline.Event{Kind: timeline.LogBack})
		}
		return
	}
	c.server.metrics.Inc(metrics.LogReadFailures, 1)
	if !c.log.failing.Swap(true) {
		c.server.node.Event(now, timeline.Event{Kind: timeline.LogUnavailable, Detail: err.Error()})
		c.server.logger.Warn().Err(err).Msg("the log can't be read")
	}
}

// logHealth returns the next offset to read, the age of the last good read
// (negative when there was none), and whether the last read went well.
func (c *control) logHealth() (next int64, age time.Duration, available bool) {
	at := c.log.lastRead.Load()
	if at == 0 {
		return c.next(), -time.Millisecond, false
	}
	return c.next(), c.server.node.Now().Sub(time.Unix(0, at)), !c.log.failing.Load()
}
