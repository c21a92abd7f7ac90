package mesh

import (
	"context"
	"encoding/json"
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
		others := len(x.mesh.members.collectorsByZone(x.mesh.cfg))
		interval := overview.ZoneInterval(others + 1)
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
		err := z.exchange(ctx, &candidates[i])
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

// zoneMessage carries the sum of a zone. Sum is nil while the sender doesn't know it yet.
type zoneMessage struct {
	Sum *overview.Zone `json:"sum,omitempty"`
}

func (z *zoneExchange) exchange(ctx context.Context, to *fleet.Member) error {
	raw, err := json.Marshal(z.ownSum())
	if err != nil {
		return err
	}
	raw, err = z.post(ctx, to, overviewZonesPath, raw)
	if err != nil {
		return err
	}
	var response zoneMessage
	if err := json.Unmarshal(raw, &response); err != nil {
		return errors.Wrap(err, "decode sum of another zone")
	}
	z.addZone(response.Sum)
	return nil
}

func (x *overviewExchange) ownSum() zoneMessage {
	x.mu.Lock()
	defer x.mu.Unlock()
	sum, known := x.collector.Sum(time.Now())
	if !known {
		return zoneMessage{}
	}
	return zoneMessage{&sum}
}

func (x *overviewExchange) addZone(sum *overview.Zone) {
	if sum == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if err := x.collector.AddZone(time.Now(), sum); err != nil {
		x.mesh.rateLimited.Debug().Str("zone", sum.Name).Err(err).Msg("sum of another zone ignored")
	}
}

// serveZone receives the sum of another zone and responds with that of the own zone.
func (x *overviewExchange) serveZone(w http.ResponseWriter, req *http.Request) {
	body, ok := x.receive(w, req)
	if !ok {
		return
	}
	var message zoneMessage
	if err := json.Unmarshal(body, &message); err != nil {
		http.Error(w, "sum could not be decoded", http.StatusBadRequest)
		return
	}
	if !x.isCollecting() {
		http.Error(w, "this node collects no reports", http.StatusServiceUnavailable)
		return
	}
	x.addZone(message.Sum)
	omitUnusedHeaders(w)
	x.mesh.sendJSON(w, x.ownSum())
}
