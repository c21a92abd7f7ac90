package routing

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
)

// roomTTL is the time for which the room of a service is reused. Without it each call would read all
// targets that the node uses.
const roomTTL = 5 * time.Millisecond

// roomValidity is the time for which a guard uses the room that a sender knew. Slots become free
// within it, of which the guard hears from the next call.
const roomValidity = 100 * time.Millisecond

// roomCell holds the room of a service as last computed, and when.
type roomCell struct {
	computedAt   atomic.Int64
	free, queued atomic.Int64
	reports      atomic.Int64
}

// Room returns the free slots and the waiting calls at the targets of the own region that this node
// normally uses, by their fresh reports. It is unknown unless two of them have one.
func (t *Table) Room(now time.Time, name string) handback.Room {
	v := t.views[name]
	if v == nil {
		return handback.Room{}
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	cell := &v.svc.room
	if at-cell.computedAt.Load() > int64(roomTTL) {
		cell.computedAt.Store(at)
		v.computeRoom(at, cfg)
	}
	if cell.reports.Load() < 2 {
		return handback.Room{}
	}
	return handback.Room{Free: float64(cell.free.Load()), Queued: float64(cell.queued.Load()), ValidUntil: now.Add(roomValidity)}
}

func (v *serviceView) computeRoom(at int64, cfg *Config) {
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
	cell := &v.svc.room
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
