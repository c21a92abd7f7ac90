package overview

import (
	"slices"
	"time"
)

// sums are the sums of all zones with indexes by name. They don't change once made.
type sums struct {
	// own is the sum of the collector's zone; its name is empty if there is none.
	own   Zone
	zones []heldZone
	// services and calls are indexes into the lists of each zone.
	services, calls []map[string]int
	// workspaces is the demand over all zones.
	workspaces map[string]float64
	top        []WorkspaceDemand
	total      RestDemand
}

func newSums(ownZone string, zones []heldZone) *sums {
	s := &sums{zones: zones, workspaces: map[string]float64{}}
	unlisted := 0
	for i := range zones {
		z := &zones[i].Zone
		if z.Name == ownZone {
			s.own = *z
		}
		services, calls := make(map[string]int, len(z.Services)), make(map[string]int, len(z.Calls))
		for k := range z.Services {
			services[z.Services[k].Service] = k
		}
		for k := range z.Calls {
			calls[z.Calls[k].Service] = k
		}
		s.services, s.calls = append(s.services, services), append(s.calls, calls)
		for _, w := range z.Workspaces {
			s.workspaces[w.Workspace] += w.PerSecond
			s.total.PerSecond += w.PerSecond
		}
		s.total.PerSecond += z.Rest.PerSecond
		// The same workspaces may be unlisted in several zones.
		unlisted = max(unlisted, z.Rest.Workspaces)
	}
	s.total.PerSecond = bounded(s.total.PerSecond)
	for name, rate := range s.workspaces {
		s.workspaces[name] = bounded(rate)
	}
	s.total.Workspaces = len(s.workspaces) + unlisted
	s.top = s.sorted()[:min(len(s.workspaces), MaxTopWorkspaces)]
	return s
}

// sorted returns the demand of all workspaces that a zone lists, the highest first.
func (s *sums) sorted() []WorkspaceDemand {
	list := make([]WorkspaceDemand, 0, len(s.workspaces))
	for name, rate := range s.workspaces {
		list = append(list, WorkspaceDemand{name, rate})
	}
	sortWorkspaces(list)
	return list
}

// answer returns the part of the sums that concerns the workspaces and services of a report.
func (s *sums) answer(now time.Time, r *Report) *View {
	v := &View{Total: s.total}
	for _, w := range r.Workspaces {
		if rate, known := s.workspaces[w.Workspace]; known {
			v.Workspaces = append(v.Workspaces, WorkspaceDemand{w.Workspace, rate})
		}
	}
	if len(r.Workspaces) > 0 {
		v.Top = s.top
	}
	names := servicesOf(r)
	for i := range s.zones {
		z := s.summary(now, i)
		for _, name := range names {
			if k, known := s.services[i][name]; known {
				z.Services = append(z.Services, s.zones[i].Services[k])
			}
			if k, known := s.calls[i][name]; known {
				z.Calls = append(z.Calls, s.zones[i].Calls[k])
			}
		}
		v.Zones = append(v.Zones, z)
	}
	return v
}

// servicesOf returns the services that a report names, sorted.
func servicesOf(r *Report) []string {
	names := make([]string, 0, len(r.Calls)+1)
	for _, c := range r.Calls {
		names = append(names, c.Service)
	}
	if r.Upstream != nil {
		names = append(names, r.Upstream.Service)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// summary returns a zone without its lists.
func (s *sums) summary(now time.Time, i int) Zone {
	z := &s.zones[i]
	return Zone{Name: z.Name, AgeMillis: now.Sub(z.madeAt).Milliseconds(), Nodes: z.Nodes}
}

// all returns all sums.
func (s *sums) all(now time.Time) *View {
	v := &View{Total: s.total, Top: s.top}
	v.Workspaces, _ = topWorkspaces(s.sorted())
	for i := range s.zones {
		z := s.summary(now, i)
		z.Services, z.Calls = s.zones[i].Services, s.zones[i].Calls
		v.Zones = append(v.Zones, z)
	}
	return v
}
