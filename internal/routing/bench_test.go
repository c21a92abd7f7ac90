package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var benchReports = map[string]LoadReport{
	"room": {InFlight: 10, Limit: 100, Threshold: NoThreshold},
	"busy": {InFlight: 100, Queued: 1, Limit: 100, Threshold: NoThreshold},
	"shed": {InFlight: 100, Limit: 100},
}

func benchTable(count int, r LoadReport) *Table {
	var eps []Endpoint
	for i := range count {
		eps = append(eps, Endpoint{Node: fmt.Sprint(i), Service: "archive", Slots: 100, Joined: origin.Add(-time.Hour)})
	}
	table := NewTable(nil, DefaultConfig(), Self{Node: "self"}, eps, origin)
	for _, g := range table.Targets("archive") {
		g.Start(origin)
		g.Done(origin, Answered, time.Millisecond, &r)
	}
	return table
}

func BenchmarkPick(b *testing.B) {
	for _, name := range []string{"room", "busy", "shed"} {
		for _, count := range []int{10, 100, 1000} {
			b.Run(fmt.Sprint(name, "/", count), func(b *testing.B) {
				table := benchTable(count, benchReports[name])
				rng := rand.New(rand.NewPCG(1, 1))
				b.ReportAllocs()
				for b.Loop() {
					table.Pick(origin, rng, PickInfo{Service: "archive", Rank: lowRank})
				}
			})
		}
	}
}

// BenchmarkCall measures Pick, Start and Done in parallel; use -cpu for the cost under contention.
func BenchmarkCall(b *testing.B) {
	report := benchReports["room"]
	table := benchTable(100, report)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		rng := rand.New(rand.NewPCG(1, 1))
		for pb.Next() {
			g, _ := table.Pick(origin, rng, PickInfo{Service: "archive", Rank: lowRank})
			g.Start(origin)
			g.Done(origin, Answered, time.Millisecond, &report)
		}
	})
}

func BenchmarkNewTable(b *testing.B) {
	var eps []Endpoint
	for i := range 14000 {
		eps = append(eps, Endpoint{Node: fmt.Sprint(i), Service: fmt.Sprint(i % 1700), Zone: fmt.Sprint(i % 34)})
	}
	self := Self{Node: "self", Zone: "1"}
	table := NewTable(nil, DefaultConfig(), self, eps, origin)
	b.ReportAllocs()
	for b.Loop() {
		table = NewTable(table, DefaultConfig(), self, eps, origin)
	}
}

// BenchmarkPickWithZoneShare chooses targets of which a third are in another zone.
func BenchmarkPickWithZoneShare(b *testing.B) {
	n := newFakeNode(b, DefaultConfig(), append(upstreams("saga", 50, 100), upstreams("omuta", 50, 100)...)...)
	n.table.SetZoneShares("archive", []ZoneShare{{"kyushu/omuta", 0.3}})
	b.ReportAllocs()
	for b.Loop() {
		n.table.Pick(n.now, n.rng, PickInfo{Service: "archive", Rank: lowRank})
	}
}

// BenchmarkSpareSlots measures a computation of the spare slots, of which there is one in spareSlotsTTL for each service.
func BenchmarkSpareSlots(b *testing.B) {
	for _, count := range []int{10, 1000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			table := benchTable(count, benchReports["room"])
			now := origin
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(2 * spareSlotsTTL)
				table.SpareSlots(now, "archive")
			}
		})
	}
}
