package mesh

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
)

// ownLoadWindow is the time constant of the averages that a node reports.
const ownLoadWindow = 500 * time.Millisecond

// ownLoad fills the calls that the node sends and the capacity of its upstream into its reports.
type ownLoad struct {
	mesh    *Mesh
	sampled time.Time
	// busy and queued are averages of the calls at the guard.
	busy, queued float64
	ended        callRate
	calls        map[string]*callRate
	filled       time.Time
}

// callRate is the average rate of calls.
type callRate struct {
	count     int64
	perSecond float64
}

// update adds the calls since the last count. Without a last count, elapsed is 0.
func (c *callRate) update(count int64, elapsed time.Duration) {
	if elapsed > 0 {
		// The count of a service that had no upstreams in between starts again.
		rate := float64(max(count-c.count, 0)) / elapsed.Seconds()
		c.perSecond += averageGain(elapsed) * (rate - c.perSecond)
	}
	c.count = count
}

func newOwnLoad(m *Mesh) *ownLoad { return &ownLoad{mesh: m, calls: map[string]*callRate{}} }

// sample implements overviewSampler.
func (l *ownLoad) sample(now time.Time) {
	load := l.mesh.node.Guard().Load()
	gain := averageGain(now.Sub(l.sampled))
	l.busy += gain * (float64(load.InFlight) - l.busy)
	l.queued += gain * (float64(load.Queued) - l.queued)
	l.sampled = now
}

// averageGain returns the weight of a value that stands for the given time in an average.
func averageGain(elapsed time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/ownLoadWindow.Seconds())
}

// fillReport implements overviewSource.
func (l *ownLoad) fillReport(now time.Time, r *overview.Report) {
	elapsed := time.Duration(0)
	if !l.filled.IsZero() {
		elapsed = now.Sub(l.filled)
	}
	l.filled = now
	for service, count := range l.mesh.node.Table().CallCounts() {
		c := l.calls[service]
		if c == nil {
			c = &callRate{}
			l.calls[service] = c
		}
		c.update(count, elapsed)
		if c.perSecond >= minReportedRate {
			r.Calls = append(r.Calls, overview.ServiceDemand{Service: service, PerSecond: c.perSecond})
		}
	}
	guard := l.mesh.node.Guard()
	l.ended.update(guard.Ended(), elapsed)
	if guard.Serving() {
		r.Upstream = &overview.Capacity{
			Service: l.mesh.cfg.Service, Upstreams: 1, Slots: float64(guard.Load().Limit),
			Busy: l.busy, Queued: l.queued, PerSecond: l.ended.perSecond,
		}
	}
}

// minReportedRate is the rate in calls per second below which a service is left out of reports.
const minReportedRate = 0.1
