package routing

import (
	"math/rand/v2"
	"time"
)

// PickGuard returns a guard of a service that may be asked for room; nil if there is none. It chooses by
// slots over all zones: the calls of a scarce service spread over all of them, whatever zone they come
// from. skip returns the guards that are not to be asked.
func (t *Table) PickGuard(now time.Time, rng *rand.Rand, service string, skip func(node string) bool) *Target {
	v := t.views[service]
	if v == nil {
		return nil
	}
	at := int64(now.Sub(t.epoch))
	cfg := v.svc.cfg.Load()
	var choice guardChoice
	for _, g := range v.targets {
		if g.isDraining(at, cfg) || g.isSuspect(at, cfg) || g.ejection.active() {
			continue
		}
		endpoint := g.endpoint.Load()
		if endpoint.Fallback || skip(endpoint.Node) {
			continue
		}
		choice.add(rng, g, float64(max(g.slots.Load(), 1)))
	}
	return choice.chosen
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
