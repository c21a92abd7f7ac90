// Package timeline records what a process did as typed events with a hybrid
// logical clock, and merges the events of several processes into one order.
package timeline

import (
	"sync/atomic"
	"time"
)

// HLC is a hybrid logical timestamp: milliseconds since the Unix epoch in the
// upper 48 bits, a counter in the lower 16. Comparing two as numbers orders
// an event after everything that its process had heard of.
type HLC uint64

const counterBits = 16

// MaxAhead bounds how far a received timestamp may run ahead of the local
// clock. One node with a broken clock would otherwise drag all others along.
const MaxAhead = time.Minute

// HLCAt returns the first timestamp of the millisecond of t.
func HLCAt(t time.Time) HLC { return HLC(max(0, t.UnixMilli())) << counterBits }

// Time returns the physical part, to the millisecond.
func (h HLC) Time() time.Time { return time.UnixMilli(int64(h >> counterBits)).UTC() }

// Counter returns the logical part.
func (h HLC) Counter() uint16 { return uint16(h) }

// Next returns the timestamp of a local event at now after last. A counter
// that runs over moves the millisecond on by one, so order is kept.
func (h HLC) Next(now time.Time) HLC { return max(h+1, HLCAt(now)) }

// Merge returns the timestamp of receiving remote at now after h.
func (h HLC) Merge(remote HLC, now time.Time) HLC {
	if remote > HLCAt(now.Add(MaxAhead)) {
		return h.Next(now)
	}
	return max(h, remote).Next(now)
}

// Clock is the hybrid clock of one process. Its zero value is ready; it reads
// no clock itself.
type Clock struct {
	last atomic.Uint64
}

// Now returns the timestamp of a local event or of a message sent at now.
func (c *Clock) Now(now time.Time) HLC {
	return c.update(func(last HLC) HLC { return last.Next(now) })
}

// Receive takes a message's timestamp in and returns that of its receipt.
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
