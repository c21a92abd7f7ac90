package server

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

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
