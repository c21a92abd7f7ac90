// Package zoneshare decides which share of a zone's calls to a service goes to which other zones.
//
// Load pattern: demand moves between availability zones within seconds while the deployment as a
// whole has room. A zone that keeps its calls until all of its upstreams are full makes them queue,
// and each of its senders finds the free upstreams of other zones by itself.
//
// The decision follows from the demand of the zones' senders and the rates that the zones' upstreams
// can complete. It changes neither, so that calls that were moved don't move the next decision. All
// zones compute the same flows from the same sums, and each uses its own row.
//
// The package is pure: no I/O, no clock, no random source of its own.
package zoneshare

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
)

const (
	// targetLoad is the share of its rate up to which a zone keeps its calls.
	targetLoad = 0.8
	// maxLoad is the share of its rate up to which a zone takes calls of others.
	maxLoad = 1.0
	// minShare is the smallest share of a zone's calls that is sent to another zone.
	minShare = 0.01
	// minRate is the number of calls per second that the upstreams of a service must end for their
	// service time to be known.
	minRate = 1.0
	// priorWeight is the weight of the service's mean service time in that of one zone, as a share of the
	// calls of the service. Without it, few calls would decide the
	// service time of a zone that ends few.
	priorWeight = 0.1
	// minCoverage is the share of a zone's known upstreams whose capacity must be in its sum. A sum with
	// few of them, as while nodes of an older version don't report, would make the zone look full.
	minCoverage = 0.5
)

// Zone is the demand and the capacity of one availability zone for one service.
type Zone struct {
	// Name is the region and the availability zone.
	Name string `json:"name"`
	// Demand is the rate of calls that the nodes of the zone send, in calls per second.
	Demand float64 `json:"demand"`
	// Rate is the rate at which the upstreams in the zone can complete calls, in calls per second.
	Rate float64 `json:"rate"`
}

// region returns the region of the zone.
func (z *Zone) region() string {
	region, _, _ := strings.Cut(z.Name, "/")
	return region
}

// Load returns demand over rate; infinite for a zone without upstreams.
func (z *Zone) Load() float64 {
	if z.Demand <= 0 {
		return 0
	}
	return z.Demand / max(z.Rate, 0)
}

// Share is the share of the own zone's calls that goes to another zone.
type Share struct {
	Zone  string  `json:"zone"`
	Share float64 `json:"share"`
}

// Zones returns the demand and the capacity of each zone for a service. Zones whose sums are older than
// maxAge are left out, those without demand and upstreams, and those whose sums lack most of their
// upstreams; upstreams is the number of serving upstreams that the node knows, by zone. It returns nil if
// the service time is unknown.
func Zones(v *overview.View, service string, upstreams map[string]int, now time.Time, maxAge time.Duration) []Zone {
	var capacities []overview.Capacity
	var zones []Zone
	busy, rate := 0.0, 0.0
	for i := range v.Zones {
		z := &v.Zones[i]
		if v.Age(now, z) > maxAge {
			continue
		}
		c, demand := z.Capacity(service), z.CallRate(service)
		if c.Slots == 0 && demand == 0 || float64(c.Upstreams) < minCoverage*float64(upstreams[z.Name]) {
			continue
		}
		zones = append(zones, Zone{Name: z.Name, Demand: demand})
		capacities = append(capacities, c)
		busy += c.Busy
		rate += c.PerSecond
	}
	if rate < minRate || busy <= 0 {
		return nil
	}
	prior := priorWeight * rate
	for i, c := range capacities {
		serviceTime := (c.Busy + prior*busy/rate) / (c.PerSecond + prior)
		zones[i].Rate = c.Slots / serviceTime
	}
	return zones
}

// Shares returns the shares of the own zone's calls that go to other zones, sorted by zone; nil if all
// stay. zones must be sorted by name.
//
// A zone above the level sends the excess away, one below it takes calls up to the level. The level is
// the load of all zones together, and at least targetLoad, so that a little more demand than elsewhere
// moves nothing. A zone takes no more than its upstreams can complete. Zones of the same region come
// first.
func Shares(own string, zones []Zone) []Share {
	excess, room := balance(zones)
	self := slices.IndexFunc(zones, func(z Zone) bool { return z.Name == own })
	if self < 0 || excess[self] <= 0 {
		return nil
	}
	flows := make([]float64, len(zones))
	addFlows(flows, zones, self, excess, room, func(a, b *Zone) bool { return a.region() == b.region() })
	addFlows(flows, zones, self, excess, room, func(_, _ *Zone) bool { return true })
	var shares []Share
	for i, flow := range flows {
		if share := flow / zones[self].Demand; share >= minShare {
			shares = append(shares, Share{zones[i].Name, min(share, 1)})
		}
	}
	return shares
}

// balance returns by how much each zone is above and below the level, in calls per second.
func balance(zones []Zone) (excess, room []float64) {
	demand, rate := 0.0, 0.0
	for i := range zones {
		demand += zones[i].Demand
		rate += zones[i].Rate
	}
	level := targetLoad
	if rate > 0 {
		level = max(level, demand/rate)
	}
	excess, room = make([]float64, len(zones)), make([]float64, len(zones))
	for i := range zones {
		excess[i] = max(0, zones[i].Demand-level*zones[i].Rate)
		room[i] = max(0, min(level, maxLoad)*zones[i].Rate-zones[i].Demand)
	}
	return excess, room
}

// addFlows matches the excess of zones with the room of those that may take it, and subtracts what is
// matched. Each zone's part is proportional to its excess or room, so that the result doesn't depend on
// an order. It adds the flows of zone self.
func addFlows(flows []float64, zones []Zone, self int, excess, room []float64, mayTake func(a, b *Zone) bool) {
	totalExcess, totalRoom := make([]float64, len(zones)), make([]float64, len(zones))
	for i := range zones {
		for k := range zones {
			if mayTake(&zones[i], &zones[k]) {
				totalExcess[i] += excess[k]
				totalRoom[i] += room[k]
			}
		}
	}
	for k := range zones {
		if totalRoom[self] > 0 && totalExcess[self] > 0 && mayTake(&zones[self], &zones[k]) {
			flows[k] += min(totalExcess[self], totalRoom[self]) * excess[self] / totalExcess[self] * room[k] / totalRoom[self]
		}
	}
	for i := range zones {
		matched := min(totalExcess[i], totalRoom[i])
		if matched > 0 {
			excess[i] *= 1 - matched/totalExcess[i]
			room[i] *= 1 - matched/totalRoom[i]
		}
	}
}

// smoothing is the time constant with which shares follow the demand, so that a share doesn't follow
// each burst.
const smoothing = 300 * time.Millisecond

// Smoother damps the shares of one service.
type Smoother struct {
	shares map[string]float64
	at     time.Time
}

// Update returns the shares to use, sorted by zone, from the newly decided ones. nil if all calls stay.
func (s *Smoother) Update(now time.Time, decided []Share) []Share {
	gain := 1 - math.Exp(-now.Sub(s.at).Seconds()/smoothing.Seconds())
	s.at = now
	if s.shares == nil {
		s.shares = map[string]float64{}
	}
	target := make(map[string]float64, len(decided))
	for _, d := range decided {
		target[d.Zone] = d.Share
		s.shares[d.Zone] += 0 // adds the zone
	}
	var out []Share
	for zone, share := range s.shares {
		share += gain * (target[zone] - share)
		if share < minShare && target[zone] == 0 {
			delete(s.shares, zone)
			continue
		}
		s.shares[zone] = share
		out = append(out, Share{zone, share})
	}
	slices.SortFunc(out, func(a, b Share) int { return strings.Compare(a.Zone, b.Zone) })
	return out
}
