package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// TargetPlacement is how this node places its calls at one target.
type TargetPlacement struct {
	Service string `json:"service"`
	Node    string `json:"node"`
	Zone    string `json:"zone"`
	// Slots is the number that the upstream announced, and Limit that of the last report.
	Slots int `json:"slots"`
	Limit int `json:"limit"`
	// Speed is the relative speed that counts; 0 if unknown.
	Speed float64 `json:"speed"`
	// Score is the cost of one more call; lower is better.
	Score float64 `json:"score"`
	// InFlight is the number of this node's calls there. Running and Queued are those of all nodes by
	// the last report, which is ReportAgeMillis old; -1 without one.
	InFlight        int   `json:"in_flight"`
	Running         int   `json:"running"`
	Queued          int   `json:"queued"`
	ReportAgeMillis int64 `json:"report_age_ms"`
	// Sent is the number of calls that this node sent there, and Share its part of those to the
	// service.
	Sent  int64   `json:"sent"`
	Share float64 `json:"share"`
	// State is "used", "draining", "ejected", "suspect", "fallback" or "slow start".
	State string `json:"state"`
}

// Placement returns the targets of the services that this node sent calls to, by service and node.
func (t *Table) Placement(now time.Time) []TargetPlacement {
	var all []TargetPlacement
	at := int64(now.Sub(t.epoch))
	for _, name := range slices.Sorted(maps.Keys(t.views)) {
		v := t.views[name]
		if v.svc.calls.Load() == 0 {
			continue
		}
		sent := int64(0)
		for _, g := range v.targets {
			sent += g.sent.Load()
		}
		first := len(all)
		for _, g := range v.targets {
			p := g.placement(at, v.svc.cfg.Load())
			p.Service = name
			p.Share = float64(p.Sent) / float64(max(sent, 1))
			all = append(all, p)
		}
		slices.SortFunc(all[first:], func(a, b TargetPlacement) int { return cmp.Compare(a.Node, b.Node) })
	}
	return all
}

func (g *Target) placement(at int64, cfg *Config) TargetPlacement {
	ep := g.endpoint.Load()
	report := g.report.unpack()
	p := TargetPlacement{
		Node: ep.Node, Zone: ep.Zone, Slots: ep.Slots, Limit: report.Limit, Score: g.score(at, cfg),
		InFlight: int(g.inFlight.Load()), Running: report.InFlight, Queued: report.Queued, ReportAgeMillis: -1,
		Sent: g.sent.Load(), State: g.state(at, cfg),
	}
	if relative, known := g.relativeSpeed(at); known {
		p.Speed = relative
	}
	if receivedAt := g.report.receivedAt.Load(); receivedAt != 0 {
		p.ReportAgeMillis = (at - receivedAt) / int64(time.Millisecond)
	}
	return p
}

// state returns what decides whether the target is used.
func (g *Target) state(at int64, cfg *Config) string {
	switch {
	case g.isDraining(at, cfg):
		return "draining"
	case g.ejection.active():
		return "ejected"
	case g.isSuspect(at, cfg):
		return "suspect"
	case g.fallback.Load():
		return "fallback"
	case !g.slowStart.warm.Load():
		return "slow start"
	}
	return "used"
}
