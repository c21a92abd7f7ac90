package share

import (
	"math"

	"github.com/galenagrade/galenagrade/internal/overview"
)

// maxDemand bounds the demand of a workspace, in requests per second.
const maxDemand = 1e9

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

// DemandOf returns the demand that a view holds; nil if the view is nil or lists no workspace.
func DemandOf(view *overview.View) *Demand {
	if view == nil {
		return nil
	}
	d := &Demand{listed: map[string]float64{}, own: map[string]float64{}}
	sum := 0.0
	for _, w := range view.Top[:min(len(view.Top), overview.MaxTopWorkspaces)] {
		if _, twice := d.listed[w.Workspace]; validRate(w.PerSecond) && !twice {
			d.listed[w.Workspace] = w.PerSecond
			sum += w.PerSecond
		}
	}
	if rest := view.Total.Workspaces - len(d.listed); rest > 0 && validRate(view.Total.PerSecond-sum) {
		d.rest = rest
		d.restMean = (view.Total.PerSecond - sum) / float64(rest)
	}
	if sum <= 0 {
		return nil
	}
	for _, w := range view.Workspaces[:min(len(view.Workspaces), overview.MaxWorkspaces)] {
		if _, listed := d.listed[w.Workspace]; validRate(w.PerSecond) && !listed {
			d.own[w.Workspace] = w.PerSecond
		}
	}
	return d
}

// validRate is false for NaN.
func validRate(perSecond float64) bool {
	return perSecond >= 0 && perSecond <= maxDemand && !math.IsInf(perSecond, 0)
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
