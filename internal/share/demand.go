package share

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
)

// MaxAge is the age from which a view, or a zone of it, is no longer used. It is several times the
// interval of reports, so that a few lost messages change nothing, and short against the time for which
// a demand lasts.
const MaxAge = 4 * time.Second

// Demand is the rate of requests of all workspaces, in requests per second.
type Demand struct {
	// listed is the demand of the workspaces with the highest demand, as all nodes know it.
	listed map[string]float64
	// restMean is the mean rate of all others, and rest their number.
	restMean float64
	rest     int
	// own is the demand of others of which this node knows more than the mean.
	own map[string]float64
}

// DemandOf sums the demand over the zones of a view. It returns nil if the view, or each zone of it, is
// too old or invalid. A workspace that a zone doesn't list has the mean of the rest of that zone.
func DemandOf(view *overview.View, now time.Time) *Demand {
	if view == nil || view.ReceivedAt.IsZero() {
		return nil
	}
	d := &Demand{listed: map[string]float64{}, own: map[string]float64{}}
	fresh := 0
	for i := range view.Zones {
		if age := zoneAge(view, &view.Zones[i], now); age < 0 || age > MaxAge {
			continue
		}
		fresh++
		d.addZone(&view.Zones[i])
	}
	if fresh == 0 {
		return nil
	}
	d.countRest()
	return d
}

// zoneAge returns the age of the sum of a zone; negative if it is from the future.
func zoneAge(view *overview.View, z *overview.Zone, now time.Time) time.Duration {
	held := now.Sub(view.ReceivedAt)
	if held < 0 || z.AgeMillis < 0 || z.AgeMillis > MaxAge.Milliseconds() {
		return -1
	}
	return held + time.Duration(z.AgeMillis)*time.Millisecond
}

func (d *Demand) addZone(z *overview.Zone) {
	mean, rest := 0.0, 0
	if z.Rest.Workspaces > 0 && validRate(z.Rest.PerSecond) {
		rest = z.Rest.Workspaces
		mean = z.Rest.PerSecond / float64(rest)
	}
	listed := make(map[string]bool, len(z.Workspaces))
	for _, w := range z.Workspaces[:min(len(z.Workspaces), overview.MaxWorkspaces)] {
		if !validRate(w.PerSecond) || listed[w.Workspace] {
			continue
		}
		listed[w.Workspace] = true
		if _, known := d.listed[w.Workspace]; !known {
			d.listed[w.Workspace] = d.restMean
		}
		d.listed[w.Workspace] += w.PerSecond
	}
	for name := range d.listed {
		if !listed[name] {
			d.listed[name] += mean
		}
	}
	d.restMean += mean
	d.rest = max(d.rest, rest+len(listed))
}

// countRest turns the greatest number of workspaces of a zone into that of workspaces that no zone lists.
func (d *Demand) countRest() { d.rest = max(0, d.rest-len(d.listed)) }

func validRate(perSecond float64) bool {
	return perSecond >= 0 && !math.IsInf(perSecond, 0) && perSecond <= MaxRate*1000
}

// AtLeast raises the demand of a workspace to a rate that the node itself sees.
func (d *Demand) AtLeast(workspace string, perSecond float64) {
	if validRate(perSecond) && perSecond > d.Of(workspace) {
		d.own[workspace] = perSecond
	}
}

// Of returns the demand of a workspace.
func (d *Demand) Of(workspace string) float64 {
	if rate, known := d.own[workspace]; known {
		return rate
	}
	if rate, known := d.listed[workspace]; known {
		return rate
	}
	return d.restMean
}
