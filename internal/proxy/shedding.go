package proxy

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/routing"
)

// Shedding returns the service that sheds the most ranks, as this node knows it, and the lowest rank
// that it sheds. The service is empty, and the rank routing.NoThreshold, if none sheds.
func (p *Proxy) Shedding(now time.Time) (service string, threshold uint32) {
	threshold = routing.NoThreshold
	table := p.Routes()
	if table == nil {
		return "", threshold
	}
	lower := func(name string, candidate uint32) {
		if candidate < threshold {
			service, threshold = name, candidate
		}
	}
	for _, s := range table.Config().Services {
		if reported, known := p.node.Table().ShedThreshold(now, s.Name); known {
			lower(s.Name, reported)
		}
		if gate, ok := p.routeHandler.treeGates.byService.Load(s.Name); ok {
			lower(s.Name, gate.(*serviceGate).threshold(now))
		}
	}
	return service, threshold
}

// threshold returns the lowest rank that the gate refuses at now.
func (g *serviceGate) threshold(now time.Time) uint32 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Threshold(now)
}
