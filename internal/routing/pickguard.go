package routing

import (
	"math/rand/v2"
	"time"
)

// PickGuard returns a guard of a service that may be asked for room; nil if there is none. It prefers
// the own zone and chooses by slots, so that guards are asked as often as calls reach them. skip returns
// the guards that are not to be asked.
func (t *Table) PickGuard(now time.Time, rng *rand.Rand, service string, skip func(node string) bool) *Target {
	v := t.views[service]
	if v == nil {
		return nil
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	var near, all guardChoice
	for _, g := range v.targets {
		if g.isDraining(at, cfg) || g.isSuspect(at, cfg) || g.ejection.active() {
			continue
		}
		endpoint := g.endpoint.Load()
		if endpoint.Fallback || skip(endpoint.Node) {
			continue
		}
		slots := float64(max(g.slots.Load(), 1))
		all.add(rng, g, slots)
		if endpoint.Region == t.self.Region && endpoint.Zone == t.self.Zone {
			near.add(rng, g, slots)
		}
	}
	if near.chosen != nil {
		return near.chosen
	}
	return all.chosen
}

// guardChoice chooses one of the targets added to it, by weight.
type guardChoice struct {
	chosen *Target
	weight float64
}

func (c *guardChoice) add(rng *rand.Rand, g *Target, weight float64) {
	c.weight += weight
	if rng.Float64()*c.weight < weight {
		c.chosen = g
	}
}
