package mesh

import (
	"fmt"
	"testing"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/settings"
)

// BenchmarkCollectorsByZone measures the order of the nodes of 33 other zones after a change of one of
// 14,000 members.
func BenchmarkCollectorsByZone(b *testing.B) {
	m := benchMembers()
	cfg := settings.MeshDefaults()
	cfg.Region, cfg.Zone = "r", "0"
	b.ReportAllocs()
	for b.Loop() {
		m.views = memberViews{}
		m.collectorsByZone(cfg)
	}
}

// BenchmarkZones measures the number of zones after a change of one of 14,000 members.
func BenchmarkZones(b *testing.B) {
	m := benchMembers()
	cfg := settings.MeshDefaults()
	b.ReportAllocs()
	for b.Loop() {
		m.views = memberViews{}
		m.zones(cfg)
	}
}

func benchMembers() *members {
	m := &members{registry: fleet.NewRegistry()}
	for i := range 14000 {
		m.registry.Apply(fleet.Member{Node: fmt.Sprint("node-", i), Region: "r", Zone: fmt.Sprint(i % 34), State: fleet.Serving})
	}
	return m
}
