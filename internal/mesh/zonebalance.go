package mesh

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/routing"
	"github.com/galenagrade/galenagrade/internal/zoneshare"
)

const (
	// prepareTimeout bounds opening connections to a zone that calls are about to go to.
	prepareTimeout = time.Second
	// maxPreparing bounds the goroutines that open connections.
	maxPreparing = 4
)

// zoneBalance sets the shares of the calls that go to other zones from each view. It implements
// overviewConsumer.
type zoneBalance struct {
	mesh *Mesh
	zone string
	// services are the services with a share, or whose share is ending. It is used by one goroutine.
	services map[string]*zoneshare.Smoother
	// states are the decisions on the last view.
	states    atomic.Pointer[[]ServiceZones]
	preparing chan struct{}
}

// ServiceZones is the decision on one service: the demand and capacity of each zone, and the shares of
// the own zone's calls that go to others.
type ServiceZones struct {
	Service string            `json:"service"`
	Zones   []zoneshare.Zone  `json:"zones"`
	Shares  []zoneshare.Share `json:"shares,omitempty"`
}

// Share returns the share of the own zone's calls that goes to another zone.
func (s *ServiceZones) Share(zone string) float64 {
	for _, x := range s.Shares {
		if x.Zone == zone {
			return x.Share
		}
	}
	return 0
}

// sharedAway returns the share of the zone's calls that goes to other zones.
func (s *ServiceZones) sharedAway() float64 {
	total := 0.0
	for _, x := range s.Shares {
		total += x.Share
	}
	return total
}

func newZoneBalance(m *Mesh) *zoneBalance {
	return &zoneBalance{
		mesh: m, zone: zoneName(m.cfg.Region, m.cfg.Zone),
		services: map[string]*zoneshare.Smoother{}, preparing: make(chan struct{}, maxPreparing),
	}
}

// viewChanged implements overviewConsumer. Without a view, and with the setting off, all calls stay in
// the own zone while it has capacity.
func (b *zoneBalance) viewChanged(now time.Time, v *overview.View) {
	if v == nil || !b.mesh.Settings().Balance.Zones {
		b.reset()
		return
	}
	maxAge := maxZoneAge(v)
	table := b.mesh.node.Table()
	states := []ServiceZones{}
	for _, service := range calledServices(v, b.zone) {
		zones := zoneshare.Zones(v, service, table.UpstreamsByZone(service), now, maxAge)
		states = append(states, ServiceZones{service, zones, b.update(now, service, zoneshare.Shares(b.zone, zones))})
	}
	for service := range b.services {
		if !slices.ContainsFunc(states, func(s ServiceZones) bool { return s.Service == service }) {
			b.update(now, service, nil)
		}
	}
	b.states.Store(&states)
}

// maxZoneAge returns the age up to which a zone's sum is used: the time that two exchanges of sums and
// two reports may take.
func maxZoneAge(v *overview.View) time.Duration {
	nodes := 0
	for i := range v.Zones {
		nodes = max(nodes, v.Zones[i].Nodes)
	}
	return 2*overview.ZoneInterval(len(v.Zones)) + 2*overview.ReportInterval(nodes)
}

// calledServices returns the services that the nodes of a zone call, sorted.
func calledServices(v *overview.View, zone string) []string {
	var names []string
	for i := range v.Zones {
		if v.Zones[i].Name != zone {
			continue
		}
		for _, c := range v.Zones[i].Calls {
			names = append(names, c.Service)
		}
	}
	slices.Sort(names)
	return names
}

// update puts the shares of a service in force, and returns them.
func (b *zoneBalance) update(now time.Time, service string, decided []zoneshare.Share) []zoneshare.Share {
	smoother := b.services[service]
	if smoother == nil {
		if len(decided) == 0 {
			return nil
		}
		smoother = &zoneshare.Smoother{}
		b.services[service] = smoother
		b.mesh.logger.Info().Str("service", service).Str("zone", decided[0].Zone).Float64("share", decided[0].Share).
			Msg("demand of this zone exceeds its share of the room; a part of its calls goes to other zones")
	}
	table := b.mesh.node.Table()
	shares := smoother.Update(now, decided)
	out := make([]routing.ZoneShare, 0, len(shares))
	for _, s := range shares {
		b.prepare(table.ZoneAddresses(service, s.Zone))
		out = append(out, routing.ZoneShare{Zone: s.Zone, Share: s.Share})
	}
	table.SetZoneShares(service, out)
	if len(shares) == 0 {
		delete(b.services, service)
		b.mesh.logger.Info().Str("service", service).Msg("calls of this zone stay in it again while it has room")
	}
	return shares
}

func (b *zoneBalance) reset() {
	table := b.mesh.node.Table()
	for service := range maps.Keys(b.services) {
		table.SetZoneShares(service, nil)
		b.mesh.logger.Info().Str("service", service).Msg("calls of this zone stay in it again while it has room")
	}
	clear(b.services)
	b.states.Store(nil)
}

// prepare opens connections to the addresses that have no idle one, in the background.
func (b *zoneBalance) prepare(addrs []string) {
	select {
	case b.preparing <- struct{}{}:
	default:
		return // the next view tries again
	}
	b.mesh.spawn(func() {
		defer func() { <-b.preparing }()
		ctx, cancel := context.WithTimeout(b.mesh.ctx, prepareTimeout)
		defer cancel()
		for _, addr := range addrs {
			if err := b.mesh.peers.Prepare(ctx, addr); err != nil {
				b.mesh.rateLimited.Debug().Str("address", addr).Err(err).Msg("connection to another zone not opened ahead; a call opens it")
			}
		}
	})
}

// highestShare returns the highest share of a service's calls that goes to other zones.
func (b *zoneBalance) highestShare() float64 {
	states := b.states.Load()
	if states == nil {
		return 0
	}
	highest := 0.0
	for i := range *states {
		highest = max(highest, (*states)[i].sharedAway())
	}
	return highest
}

// state returns the decisions on the last view, sorted by service.
func (b *zoneBalance) state() []ServiceZones {
	states := b.states.Load()
	if states == nil {
		return nil
	}
	out := slices.Clone(*states)
	slices.SortFunc(out, func(a, b ServiceZones) int { return strings.Compare(a.Service, b.Service) })
	return out
}
