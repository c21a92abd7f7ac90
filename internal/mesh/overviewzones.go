package mesh

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/galenagrade/galenagrade/internal/fleet"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/overview"
	"github.com/galenagrade/galenagrade/internal/wait"
)

const (
	// overviewZonesPath is the path at which the collector of a zone receives the sums of other zones.
	overviewZonesPath = "/overview/zones"
	// concurrentZones bounds the zones that a collector exchanges sums with at a time.
	concurrentZones = 8
	// maxZoneCandidates bounds the nodes of another zone that may be asked, in turn.
	maxZoneCandidates = 8
)

// cooldowns maps nodes that failed to the time until which they are not asked.
type cooldowns map[string]time.Time

// available returns at most limit of the candidates that are not in cooldown.
func (c cooldowns) available(candidates []fleet.Member, limit int) []fleet.Member {
	now := time.Now()
	var out []fleet.Member
	for i := range candidates {
		if len(out) == limit {
			break
		}
		if !now.Before(c[candidates[i].Node]) {
			out = append(out, candidates[i])
		}
	}
	return out
}

// start excludes a node after an error: for longer if it doesn't know the exchange.
func (c cooldowns) start(node string, err error) {
	now := time.Now()
	maps.DeleteFunc(c, func(_ string, until time.Time) bool { return !now.Before(until) })
	cooldown := collectorCooldown
	var status *statusError
	if errors.As(err, &status) && status.status == http.StatusNotFound {
		cooldown = noExchangeCooldown
	}
	c[node] = now.Add(cooldown)
}

// runZones exchanges the sum of the zone with those of the other zones while this node is its
// collector.
func (x *overviewExchange) runZones(ctx context.Context) {
	z := &zoneExchange{overviewExchange: x, cooldowns: cooldowns{}}
	for ctx.Err() == nil {
		interval := overview.ZoneInterval(x.mesh.members.zones(x.mesh.cfg))
		wait.For(ctx, time.Duration((0.9+0.2*rand.Float64())*float64(interval)))
		if ctx.Err() == nil && x.wanted() && x.isCollecting() {
			z.round(ctx)
		}
	}
}

func (x *overviewExchange) isCollecting() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.collector.Collecting(time.Now())
}

// zoneExchange exchanges sums with the collectors of other zones.
type zoneExchange struct {
	*overviewExchange
	mu        sync.Mutex
	cooldowns cooldowns
}

// round exchanges sums with the zones whose names follow that of the own zone. The others ask by
// themselves.
func (z *zoneExchange) round(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(concurrentZones)
	for zone, members := range z.mesh.members.collectorsByZone(z.mesh.cfg) {
		if zone > z.zone {
			group.Go(func() error {
				z.exchangeWith(ctx, zone, members)
				return nil
			})
		}
	}
	_ = group.Wait() // the functions return no error
}

// exchangeWith exchanges sums with the first node of a zone that collects its reports.
func (z *zoneExchange) exchangeWith(ctx context.Context, zone string, members []fleet.Member) {
	z.mu.Lock()
	candidates := z.cooldowns.available(members, maxReportAttempts)
	z.mu.Unlock()
	for i := range candidates {
		err := z.exchange(ctx, zone, &candidates[i])
		if err == nil || ctx.Err() != nil {
			return
		}
		z.mesh.metrics.Inc(metrics.OverviewZoneFailures, 1)
		z.mesh.rateLimited.Debug().Str("member", candidates[i].Node).Str("zone", zone).Err(err).Msg("exchange of sums with another zone failed; the next node of the zone is asked")
		z.mu.Lock()
		z.cooldowns.start(candidates[i].Node, err)
		z.mu.Unlock()
	}
}

func (z *zoneExchange) exchange(ctx context.Context, zone string, to *fleet.Member) error {
	raw, err := z.post(ctx, to, overviewZonesPath, z.sumFor(zone))
	if err != nil {
		return err
	}
	_, err = z.addZone(raw)
	return err
}

// sumFor returns the sum of the own zone as a message for another one; empty while it is not known.
func (x *overviewExchange) sumFor(zone string) []byte {
	x.mu.Lock()
	defer x.mu.Unlock()
	sum, known := x.collector.SumFor(zone, time.Now())
	if !known {
		return nil
	}
	return sum.Encode()
}

// addZone adds the sum of another zone and returns its name; an empty message has none.
func (x *overviewExchange) addZone(message []byte) (zone string, err error) {
	if len(message) == 0 {
		return "", nil
	}
	sum, err := overview.DecodeZone(message)
	if err != nil {
		x.refuse()
		return "", err
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.collector.AddZone(time.Now(), sum); err != nil {
		x.mesh.rateLimited.Debug().Str("zone", sum.Name).Err(err).Msg("sum of another zone ignored")
	}
	return sum.Name, nil
}

// serveZone receives the sum of another zone and responds with that of the own zone.
func (x *overviewExchange) serveZone(w http.ResponseWriter, req *http.Request) {
	body, ok := x.receive(w, req)
	if !ok {
		return
	}
	if !x.isCollecting() {
		http.Error(w, "this node collects no reports", http.StatusServiceUnavailable)
		return
	}
	zone, err := x.addZone(body)
	if err != nil {
		http.Error(w, "sum could not be decoded", http.StatusBadRequest)
		return
	}
	omitUnusedHeaders(w)
	x.respond(w, x.sumFor(zone))
}
