// Package timeline records typed events of a process with timestamps of a hybrid logical clock,
// and merges the events of several processes into one order.
package timeline

import (
	"sync/atomic"
	"time"
)

// HLC is a timestamp of a hybrid logical clock: milliseconds since the Unix epoch in the upper 48
// bits, a counter in the lower 16. The timestamp of an event is greater than the timestamps of all
// events that its process recorded before, and greater than all timestamps that its process received
// in messages before, except those beyond MaxAhead.
type HLC uint64

const counterBits = 16

// MaxAhead is the maximum lead of a received timestamp over the local clock. Timestamps further
// ahead are ignored; otherwise one node with a wrong clock would advance the clocks of all nodes.
const MaxAhead = time.Minute

// HLCAt returns the lowest timestamp in the millisecond of t.
func HLCAt(t time.Time) HLC { return HLC(max(0, t.UnixMilli())) << counterBits }

// Time returns the physical part, with millisecond precision.
func (h HLC) Time() time.Time { return time.UnixMilli(int64(h >> counterBits)).UTC() }

// Counter returns the logical part.
func (h HLC) Counter() uint16 { return uint16(h) }

// Next returns the timestamp of a local event at now that follows h. A counter overflow carries
// into the milliseconds, so the order is kept.
func (h HLC) Next(now time.Time) HLC { return max(h+1, HLCAt(now)) }

// Merge returns the timestamp that follows h for the receipt of a message with the timestamp remote
// at now. A remote that is more than MaxAhead ahead of now is ignored.
func (h HLC) Merge(remote HLC, now time.Time) HLC {
	if remote > HLCAt(now.Add(MaxAhead)) {
		return h.Next(now)
	}
	return max(h, remote).Next(now)
}

// Clock is the hybrid logical clock of one process. The zero value is ready to use. Callers pass in
// the physical time. Safe for concurrent use.
type Clock struct {
	last atomic.Uint64
}

// Now returns the timestamp for a local event or a message sent at now.
func (c *Clock) Now(now time.Time) HLC {
	return c.update(func(last HLC) HLC { return last.Next(now) })
}

// Receive merges the timestamp of a received message into the clock and returns the timestamp of
// the receipt.
func (c *Clock) Receive(remote HLC, now time.Time) HLC {
	return c.update(func(last HLC) HLC { return last.Merge(remote, now) })
}

func (c *Clock) update(step func(HLC) HLC) HLC {
	for {
		last := c.last.Load()
		next := step(HLC(last))
		if c.last.CompareAndSwap(last, uint64(next)) {
			return next
		}
	}
}
