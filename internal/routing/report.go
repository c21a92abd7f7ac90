package routing

import (
	"sync/atomic"
	"time"
)

// Layout of reportCell.counts: three counts of countBits each, and flags in the bits above.
const (
	countBits      = 20
	countMask      = 1<<countBits - 1
	flagOverloaded = 1 << 60
	flagDraining   = 1 << 61
	flagTreesFail  = 1 << 62
)

// reportCell stores the last load report without a lock or an allocation. Each word is consistent
// in itself. A reader can see one word of the previous report, which has the same effect as a
// report that is one response older.
type reportCell struct {
	counts atomic.Uint64
	// thresholdAndOtherWork holds the threshold in its upper half. The lower half is the number of
	// other senders' calls when the report arrived.
	thresholdAndOtherWork atomic.Uint64
	// receivedAt is the arrival time of the report, in nanoseconds since the epoch of the tables; 0
	// if there is none.
	receivedAt atomic.Int64
}

func clampCount(n int) uint64 {
	return uint64(min(max(n, 0), countMask))
}

func (c *reportCell) store(r *LoadReport, ownInFlight, at int64) {
	word := clampCount(r.InFlight) | clampCount(r.Queued)<<countBits | clampCount(r.Limit)<<(2*countBits)
	if r.Overloaded {
		word |= flagOverloaded
	}
	if r.Draining {
		word |= flagDraining
	}
	if r.TreesFail {
		word |= flagTreesFail
	}
	otherWork := clampCount(r.InFlight + r.Queued - int(ownInFlight))
	c.counts.Store(word)
	c.thresholdAndOtherWork.Store(uint64(r.Threshold)<<32 | otherWork)
	c.receivedAt.Store(at)
}

func (c *reportCell) clear() { c.receivedAt.Store(0) }

// fresh reports whether there is a report that is at most maxAge old.
func (c *reportCell) fresh(at int64, maxAge time.Duration) bool {
	receivedAt := c.receivedAt.Load()
	return receivedAt != 0 && at-receivedAt <= int64(maxAge)
}

// threshold returns the rank from which the guard sheds calls, regardless of the report's age.
func (c *reportCell) threshold() uint32 { return uint32(c.thresholdAndOtherWork.Load() >> 32) }

// treesFail returns LoadReport.TreesFail, regardless of the report's age.
func (c *reportCell) treesFail() bool { return c.counts.Load()&flagTreesFail != 0 }

// sheds reports whether the guard would shed the rank, regardless of the report's age.
func (c *reportCell) sheds(rank uint32) bool {
	threshold := c.threshold()
	return threshold != NoThreshold && rank >= threshold
}

// saturated reports whether the guard queues calls or its upstream sheds, regardless of the
// report's age.
func (c *reportCell) saturated() bool {
	word := c.counts.Load()
	if word&flagOverloaded != 0 {
		return true
	}
	inFlight := word & countMask
	queued := word >> countBits & countMask
	limit := word >> (2 * countBits) & countMask
	return queued > 0 && inFlight >= limit
}

// queued returns the length of the guard's queue in the report.
func (c *reportCell) queued() uint64 { return c.counts.Load() >> countBits & countMask }

func (c *reportCell) draining() bool { return c.counts.Load()&flagDraining != 0 }

func (c *reportCell) limit() int64 { return int64(c.counts.Load() >> (2 * countBits) & countMask) }

// otherWork returns the number of calls from other senders in the report.
func (c *reportCell) otherWork() float64 { return float64(uint32(c.thresholdAndOtherWork.Load())) }

func (c *reportCell) unpack() LoadReport {
	word := c.counts.Load()
	return LoadReport{
		InFlight:   int(word & countMask),
		Queued:     int(word >> countBits & countMask),
		Limit:      int(word >> (2 * countBits) & countMask),
		Threshold:  uint32(c.thresholdAndOtherWork.Load() >> 32),
		Overloaded: word&flagOverloaded != 0,
		Draining:   word&flagDraining != 0,
		TreesFail:  c.treesFail(),
	}
}
