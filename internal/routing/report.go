package routing

import (
	"sync/atomic"
	"time"
)

// Layout of reportCell.load: three counts of countBits each, flags above.
const (
	countBits      = 20
	countMask      = 1<<countBits - 1
	flagOverloaded = 1 << 60
	flagDraining   = 1 << 61
)

// reportCell keeps the last load report without a lock or an allocation. Each
// word is consistent in itself. A reader may see one word of an older report,
// which is no worse than a report that is one answer old.
type reportCell struct {
	load atomic.Uint64
	// rest holds the threshold in its upper half; the lower half counts the
	// work of other senders when the report came.
	rest atomic.Uint64
	// at is when the report came, in nanoseconds since the epoch of the
	// tables; 0 when there is none.
	at atomic.Int64
}

func clampCount(n int) uint64 {
	return uint64(min(max(n, 0), countMask))
}

func (c *reportCell) store(r *LoadReport, own, at int64) {
	word := clampCount(r.InFlight) | clampCount(r.Queued)<<countBits | clampCount(r.Limit)<<(2*countBits)
	if r.Overloaded {
		word |= flagOverloaded
	}
	if r.Draining {
		word |= flagDraining
	}
	others := clampCount(r.InFlight + r.Queued - int(own))
	c.load.Store(word)
	c.rest.Store(uint64(r.Threshold)<<32 | others)
	c.at.Store(at)
}

func (c *reportCell) clear() { c.at.Store(0) }

// fresh reports whether there is a report no older than maxAge.
func (c *reportCell) fresh(at int64, maxAge time.Duration) bool {
	got := c.at.Load()
	return got != 0 && at-got <= int64(maxAge)
}

// threshold is the rank from which on the guard refuses, whatever the age.
func (c *reportCell) threshold() uint32 { return uint32(c.rest.Load() >> 32) }

// sheds reports whether the guard would refuse the rank, whatever the age.
func (c *reportCell) sheds(rank uint32) bool {
	threshold := c.threshold()
	return threshold != NoThreshold && rank >= threshold
}

// saturated reports whether the guard queues calls or its upstream sheds,
// whatever the age.
func (c *reportCell) saturated() bool {
	word := c.load.Load()
	if word&flagOverloaded != 0 {
		return true
	}
	inFlight := word & countMask
	queued := word >> countBits & countMask
	limit := word >> (2 * countBits) & countMask
	return queued > 0 && inFlight >= limit
}

// waiting returns the length of the queue in the report.
func (c *reportCell) waiting() uint64 { return c.load.Load() >> countBits & countMask }

func (c *reportCell) draining() bool { return c.load.Load()&flagDraining != 0 }

func (c *reportCell) limit() int64 { return int64(c.load.Load() >> (2 * countBits) & countMask) }

// others is the work of other senders in the report.
func (c *reportCell) others() float64 { return float64(uint32(c.rest.Load())) }

func (c *reportCell) unpack() LoadReport {
	word := c.load.Load()
	return LoadReport{
		InFlight:   int(word & countMask),
		Queued:     int(word >> countBits & countMask),
		Limit:      int(word >> (2 * countBits) & countMask),
		Threshold:  uint32(c.rest.Load() >> 32),
		Overloaded: word&flagOverloaded != 0,
		Draining:   word&flagDraining != 0,
	}
}
