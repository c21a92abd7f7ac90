package mesh

import (
	"math/rand/v2"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// memberViews are what the node needs often of the registry. To compute one takes milliseconds with
// 14,000 nodes.
type memberViews struct {
	sameZone, otherZones view[[]fleet.Member]
	collectors           view[map[string][]fleet.Member]
	zoneCount            view[int]
}

// view is a value computed from a registry, kept until the registry changes.
type view[T any] struct {
	value T
	// changes is the registry's change count for which value was computed; known is whether it was.
	changes int
	known   bool
}

// of returns the value for the current state of a registry.
func (v *view[T]) of(r *fleet.Registry, compute func() T) T {
	if !v.known || v.changes != r.Changes() {
		v.value, v.changes, v.known = compute(), r.Changes(), true
	}
	return v.value
}

// randomOtherZone returns a random serving node of another zone; known is false if there is
// none.
func (m *members) randomOtherZone(cfg *settings.Mesh) (member fleet.Member, known bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	others := m.views.otherZones.of(m.registry, func() []fleet.Member { return m.registry.OtherZones(cfg.Region, cfg.Zone) })
	if len(others) == 0 {
		return fleet.Member{}, false
	}
	return others[rand.IntN(len(others))], true
}

// collectorsByZone returns the first nodes of each other zone, by the name of the zone, in the order in
// which they are asked as collectors. They must not be changed.
func (m *members) collectorsByZone(cfg *settings.Mesh) map[string][]fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views.collectors.of(m.registry, func() map[string][]fleet.Member {
		byZone := map[string][]fleet.Member{}
		for zone, list := range m.registry.CollectorsByZone(maxZoneCandidates) {
			if zone.Region != cfg.Region || zone.Zone != cfg.Zone {
				byZone[zoneName(zone.Region, zone.Zone)] = list
			}
		}
		return byZone
	})
}

// zones returns the number of availability zones with serving nodes, the own one included.
func (m *members) zones(cfg *settings.Mesh) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views.zoneCount.of(m.registry, func() int { return m.registry.OtherZoneCount(cfg.Region, cfg.Zone) + 1 })
}

// zoneNeighbours returns the records of the other nodes of the zone; they must not be changed.
func (m *members) zoneNeighbours(cfg *settings.Mesh) []fleet.Member {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.views.sameZone.of(m.registry, func() []fleet.Member { return m.registry.Neighbours(cfg.NodeID, cfg.Region, cfg.Zone) })
}
