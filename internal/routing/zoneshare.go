package routing

// ZoneShare is the share of this node's calls to a service that goes to another zone.
type ZoneShare struct {
	// Zone is the region and the availability zone.
	Zone string
	// Share is in (0, 1]; the shares of a service add up to at most 1.
	Share float64
}

// SetZoneShares sets the shares of the calls to a service that go to other zones; nil keeps all calls in
// the own zone while it has capacity. shares must not be modified afterwards.
func (t *Table) SetZoneShares(service string, shares []ZoneShare) {
	v := t.views[service]
	if v == nil {
		return
	}
	if len(shares) == 0 {
		v.svc.zoneShares.Store(nil)
		return
	}
	v.svc.zoneShares.Store(&shares)
}

// ZoneAddresses returns the addresses of the endpoints of a service to which calls for another zone go.
func (t *Table) ZoneAddresses(service, zone string) []string {
	v := t.views[service]
	if v == nil || v.zones[zone] == nil {
		return nil
	}
	tr := v.zones[zone]
	var addrs []string
	for _, g := range tr.targets[:tr.prefix] {
		addrs = append(addrs, g.endpoint.Load().Addr)
	}
	return addrs
}

// UpstreamsByZone returns the number of endpoints of a service that take new calls, by zone.
func (t *Table) UpstreamsByZone(service string) map[string]int {
	counts := map[string]int{}
	for _, g := range t.Targets(service) {
		if ep := g.endpoint.Load(); !ep.Draining && !ep.Fallback {
			counts[ep.ZoneName()]++
		}
	}
	return counts
}

// CallsAway returns the number of calls that were sent to other zones for their zone's share.
func (t *Table) CallsAway() int64 {
	total := int64(0)
	for _, v := range t.views {
		total += v.svc.callsAway.Load()
	}
	return total
}

// pickByZoneShare returns a target with capacity in another zone if the call falls into the share of
// that zone. A retry stays with the usual order, in which the own zone comes first.
func (c *pickState) pickByZoneShare(v *serviceView) *Target {
	shares := v.svc.zoneShares.Load()
	if shares == nil || len(c.avoid) > 0 {
		return nil
	}
	x := c.rng.Float64()
	for _, s := range *shares {
		if x >= s.Share {
			x -= s.Share
			continue
		}
		tr := v.zones[s.Zone]
		if tr == nil {
			return nil
		}
		g := c.pickInTier(tr)
		if g != nil {
			v.svc.callsAway.Add(1)
		}
		return g
	}
	return nil
}
