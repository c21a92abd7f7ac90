package routing

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
)

// spareSlotsTTL is the time for which the spare slots of a service are reused. Without it each call would read all
// targets that the node uses.
const spareSlotsTTL = 5 * time.Millisecond

// spareSlotsValidity is the time for which a guard uses the number that a sender knew. Slots become free
// within it, which the next call tells the guard.
const spareSlotsValidity = 100 * time.Millisecond

// spareSlotsCell holds the spare slots of a service as last computed, and when.
type spareSlotsCell struct {
	computedAt   atomic.Int64
	free, queued atomic.Int64
	reports      atomic.Int64
}

// SpareSlots returns the free slots and the waiting calls at the targets of the own region that this node
// normally uses, by their fresh reports. It is unknown unless two of them have one.
func (t *Table) SpareSlots(now time.Time, name string) handback.SpareSlots {
	v := t.views[name]
	if v == nil {
		return handback.SpareSlots{}
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	cell := &v.svc.spareSlots
	if at-cell.computedAt.Load() > int64(spareSlotsTTL) {
		cell.computedAt.Store(at)
		v.computeSpareSlots(at, cfg)
	}
	if cell.reports.Load() < 2 {
		return handback.SpareSlots{}
	}
	return handback.SpareSlots{Free: float64(cell.free.Load()), Queued: float64(cell.queued.Load()), ValidUntil: now.Add(spareSlotsValidity)}
}

func (v *serviceView) computeSpareSlots(at int64, cfg *Config) {
	var free, queued, reports int64
	for d := ownZone; d <= ownRegion; d++ {
		tr := &v.tiers[d]
		for _, g := range tr.targets[:tr.prefix] {
			if !g.report.fresh(at, cfg.LoadAge) {
				continue
			}
			reports++
			queued += int64(g.report.queued())
			if !g.isDraining(at, cfg) && !g.ejection.active() && !g.isSuspect(at, cfg) && !g.fallback.Load() && g.slowStart.warm.Load() {
				free += g.freeSlots()
			}
		}
	}
	cell := &v.svc.spareSlots
	cell.free.Store(free)
	cell.queued.Store(queued)
	cell.reports.Store(reports)
}

// freeSlots returns the number of free slots by the last report and this node's own calls in flight;
// 0 if calls wait.
func (g *Target) freeSlots() int64 {
	if g.report.saturated() || g.report.queued() > 0 {
		return 0
	}
	return max(0, int64(g.concurrency(true)-g.report.otherWork())-g.inFlight.Load())
}
