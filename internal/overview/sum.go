package overview

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Trim drops the entries beyond the bounds of a report, those of the lowest rate first.
func (r *Report) Trim() {
	r.Workspaces, _ = topWorkspaces(r.Workspaces)
	r.Calls = topCalls(r.Calls, MaxCalls)
	if r.Upstream != nil {
		r.Upstream.Kinds = topKinds(r.Upstream.Kinds)
	}
}

// sumReports adds up reports, in the given order.
func sumReports(zone string, reports []*Report) Zone {
	z := Zone{Name: zone, Nodes: len(reports)}
	workspaces := map[string]float64{}
	calls := map[string]float64{}
	services := map[string]*capacitySum{}
	for _, r := range reports {
		for _, w := range r.Workspaces {
			workspaces[w.Workspace] += w.PerSecond
		}
		for _, c := range r.Calls {
			calls[c.Service] += c.PerSecond
		}
		if r.Upstream != nil {
			addCapacity(services, r.Upstream)
		}
	}
	for name, rate := range workspaces {
		z.Workspaces = append(z.Workspaces, WorkspaceDemand{name, bounded(rate)})
	}
	z.Workspaces, z.Rest = topWorkspaces(z.Workspaces)
	for name, rate := range calls {
		z.Calls = append(z.Calls, ServiceDemand{name, bounded(rate)})
	}
	z.Calls = topCalls(z.Calls, MaxServices)
	for _, name := range slices.Sorted(maps.Keys(services)) {
		z.Services = append(z.Services, services[name].capacity())
	}
	return z
}

// bounded keeps a sum within the bounds of a message.
func bounded(sum float64) float64 { return min(sum, maxValue) }

// capacitySum adds up the capacity of upstreams of one service. The seconds of its kinds are weighted
// by their rates until the end.
type capacitySum struct {
	Capacity
	kinds map[uint32]KindTime
}

func addCapacity(sums map[string]*capacitySum, c *Capacity) {
	sum := sums[c.Service]
	if sum == nil {
		sum = &capacitySum{Capacity: Capacity{Service: c.Service}, kinds: map[uint32]KindTime{}}
		sums[c.Service] = sum
	}
	sum.Upstreams += c.Upstreams
	sum.Slots += c.Slots
	sum.Busy += c.Busy
	sum.Queued += c.Queued
	sum.PerSecond += c.PerSecond
	for _, k := range c.Kinds {
		total := sum.kinds[k.Kind]
		total.Seconds += k.Seconds * k.PerSecond
		total.PerSecond += k.PerSecond
		sum.kinds[k.Kind] = total
	}
}

func (s *capacitySum) capacity() Capacity {
	c := s.Capacity
	for _, v := range []*float64{&c.Slots, &c.Busy, &c.Queued, &c.PerSecond} {
		*v = bounded(*v)
	}
	for kind, k := range s.kinds {
		if k.PerSecond > 0 {
			c.Kinds = append(c.Kinds, KindTime{kind, bounded(k.Seconds / k.PerSecond), bounded(k.PerSecond)})
		}
	}
	c.Kinds = topKinds(c.Kinds)
	return c
}

// sortWorkspaces sorts workspaces by demand, the highest first.
func sortWorkspaces(list []WorkspaceDemand) {
	slices.SortFunc(list, func(a, b WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Workspace, b.Workspace))
	})
}

// topWorkspaces sorts workspaces by demand, the highest first, and returns at most MaxWorkspaces of
// them and the sum of the others.
func topWorkspaces(list []WorkspaceDemand) ([]WorkspaceDemand, RestDemand) {
	sortWorkspaces(list)
	if len(list) <= MaxWorkspaces {
		return list, RestDemand{}
	}
	rest := RestDemand{Workspaces: len(list) - MaxWorkspaces}
	for _, w := range list[MaxWorkspaces:] {
		rest.PerSecond += w.PerSecond
	}
	rest.PerSecond = bounded(rest.PerSecond)
	return list[:MaxWorkspaces], rest
}

func topCalls(list []ServiceDemand, limit int) []ServiceDemand {
	slices.SortFunc(list, func(a, b ServiceDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Service, b.Service))
	})
	return list[:min(len(list), limit)]
}

func topKinds(list []KindTime) []KindTime {
	slices.SortFunc(list, func(a, b KindTime) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Kind, b.Kind))
	})
	return list[:min(len(list), MaxKinds)]
}

// Demand returns the demand of a workspace over all zones. known is false if the view doesn't list it.
func (v *View) Demand(workspace string) (perSecond float64, known bool) {
	for _, w := range v.Workspaces {
		if w.Workspace == workspace {
			return w.PerSecond, true
		}
	}
	return 0, false
}

// Service returns the capacity of a service over all zones. known is false if the view doesn't list
// it.
func (v *View) Service(name string) (total Capacity, known bool) {
	sums := map[string]*capacitySum{}
	for i := range v.Zones {
		for k := range v.Zones[i].Services {
			if c := &v.Zones[i].Services[k]; c.Service == name {
				addCapacity(sums, c)
			}
		}
	}
	if sums[name] == nil {
		return Capacity{}, false
	}
	return sums[name].capacity(), true
}

// Age returns the age of a zone's sum at a time.
func (v *View) Age(now time.Time, z *Zone) time.Duration {
	return time.Duration(z.AgeMillis)*time.Millisecond + max(now.Sub(v.ReceivedAt), 0)
}

// Capacity returns the capacity of a service in the zone; zero if it has none.
func (z *Zone) Capacity(service string) Capacity {
	for i := range z.Services {
		if z.Services[i].Service == service {
			return z.Services[i]
		}
	}
	return Capacity{Service: service}
}

// CallRate returns the rate of the calls that the nodes of the zone send to a service.
func (z *Zone) CallRate(service string) float64 {
	for i := range z.Calls {
		if z.Calls[i].Service == service {
			return z.Calls[i].PerSecond
		}
	}
	return 0
}
