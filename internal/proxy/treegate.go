package proxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/routes"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// treeGates contains a gate for each route that received requests at this node, and the thresholds
// of the deeper services that shed calls. Routes that depend on the same service share its
// threshold: a route whose requests are refused gets no responses, so a gate with a threshold of its
// own would open after a while and admit requests that fail.
type treeGates struct {
	metrics   *metrics.Set
	byRoute   sync.Map // routeKey to *treeGate
	byService sync.Map // service name to *serviceGate
}

type routeKey struct{ host, prefix string }

// routeSeries is the kind of the metrics of routes.
const routeSeries = "route"

func (k routeKey) label() string { return k.host + k.prefix }

// treeGate is the gate of one route. It is safe for concurrent use.
type treeGate struct {
	series *metrics.Series
	gates  *treeGates
	// kind identifies the trees of the route to guards that are asked for room.
	kind uint32
	// shedding is the gate of the service that responses last named as shedding; nil if no response
	// named one.
	shedding atomic.Pointer[serviceGate]
	// responseTime is the time from a request's header to its response.
	responseTime responseTimeEstimator
	// named are the services that are asked for room.
	named namedServices
}

// serviceGate is an admission.TreeGate that is safe for concurrent use.
type serviceGate struct {
	name string

	mu    sync.Mutex
	state admission.TreeGate
	// room decides whether guards of the service are asked.
	room room.Gate
}

func (g *treeGates) forRoute(host, prefix string) *treeGate {
	key := routeKey{host, prefix}
	if got, ok := g.byRoute.Load(key); ok {
		return got.(*treeGate)
	}
	got, _ := g.byRoute.LoadOrStore(key, &treeGate{series: g.metrics.Series(routeSeries, key.label()), gates: g, kind: kindOf(key)})
	return got.(*treeGate)
}

func (g *treeGates) forService(name string) *serviceGate {
	if got, ok := g.byService.Load(name); ok {
		return got.(*serviceGate)
	}
	got, _ := g.byService.LoadOrStore(name, &serviceGate{name: name})
	return got.(*serviceGate)
}

// retain deletes the gates of routes and services that are not in t.
func (g *treeGates) retain(t *routes.Table) {
	g.byRoute.Range(func(name, _ any) bool {
		key := name.(routeKey)
		if !t.Has(key.host, key.prefix) {
			g.byRoute.Delete(name)
			g.metrics.DropSeries(routeSeries, key.label())
		}
		return true
	})
	g.byService.Range(func(name, _ any) bool {
		if !t.HasService(name.(string)) {
			g.byService.Delete(name)
		}
		return true
	})
}

// admit decides whether to admit a root request. A call made for a running request is always admitted,
// since a refusal would waste the work done for that request.
func (g *treeGate) admit(now time.Time, call *node.Call, objective time.Duration) *result.Refusal {
	c := &call.Ctx
	shedding := g.shedding.Load()
	if c.Depth > 0 || shedding == nil {
		return nil
	}
	shedding.mu.Lock()
	defer shedding.mu.Unlock()
	// An idempotent request may be repeated after a failure, so its caller gains from the trees that
	// complete. The caller of any other request would not know whether it ran.
	if c.Idempotent && shedding.state.TreesFail() {
		return nil
	}
	return shedding.state.Admit(now, c.Level, c.CallerHash, objective, rand.Float64(), rand.Float64())
}

// observe applies the shedding information of a response. A call that was refused before it reached
// an upstream has none. If a response names no service, the service named by earlier responses no
// longer sheds calls.
func (g *treeGate) observe(now time.Time, call *node.Call, resp *node.Response) {
	if call.Ctx.Depth > 0 || resp.Code.Ran() == result.RanNo {
		return
	}
	if resp.SheddingService != "" {
		service := g.gates.forService(resp.SheddingService)
		g.shedding.Store(service)
		g.named.add(now, service)
	}
	shedding := g.shedding.Load()
	if shedding == nil {
		return
	}
	shedding.observe(now, resp.ShedThreshold)
}

// observeReports applies the load reports that this node has of a service to its gate, if an earlier
// response named the service as shedding. A call of any route that ends at the service brings a newer
// report than the few requests that the gate admits.
func (g *treeGates) observeReports(now time.Time, table *routing.Table, service string) {
	got, ok := g.byService.Load(service)
	if !ok {
		return
	}
	threshold, known := table.ShedThreshold(now, service)
	if !known {
		return
	}
	got.(*serviceGate).observe(now, threshold)
}

// observe applies the threshold that a response or the reports of the service name.
func (s *serviceGate) observe(now time.Time, threshold uint32) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state.ObserveThreshold(now, threshold)
	if threshold < room.OpenThreshold {
		s.room.Named(now)
	}
}

// threshold returns the lowest rank that the gate refuses at now.
func (g *treeGate) threshold(now time.Time) uint32 {
	shedding := g.shedding.Load()
	if shedding == nil {
		return routing.NoThreshold
	}
	return shedding.threshold(now)
}

// gatedWriter passes the responses of a route to its gate and to the metrics.
type gatedWriter struct {
	*routeHandler
	gate      *treeGate
	startedAt time.Time
	// divided reports whether the rank of the request follows from the share of its workspace.
	divided bool
}

// countReceived counts a received request.
func (g gatedWriter) countReceived(call *node.Call) {
	g.gate.series.CountReceived()
	if countsAgainstQuota(call) {
		g.workspaceMetrics.forWorkspace(call.Ctx.Workspace).CountReceived()
	}
}

// countEnded counts the result and the duration of a request.
func (g gatedWriter) countEnded(call *node.Call, code result.Code, took time.Duration) {
	g.gate.series.CountEnded(code, took)
	if countsAgainstQuota(call) {
		g.workspaceMetrics.forWorkspace(call.Ctx.Workspace).CountEnded(code, took)
		g.countShare(call, code)
	}
}

// writeRefusal implements responseWriter.
func (g gatedWriter) writeRefusal(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	g.countEnded(call, refusal.Code, 0)
	g.routeHandler.writeRefusal(w, call, g.withShare(g.p.node.Now(), call, refusal))
}

// writeResponse implements responseWriter.
func (g gatedWriter) writeResponse(w http.ResponseWriter, call *node.Call, resp *node.Response) {
	now := g.p.node.Now()
	g.gate.observe(now, call, resp)
	g.treeGates.observeReports(now, g.p.node.Table(), call.Ctx.Service)
	g.p.node.ChildEnded(now, call, resp)
	g.countEnded(call, resp.Code, now.Sub(g.startedAt))
	if resp.Code.Ran() != result.RanNo {
		g.gate.responseTime.observe(now.Sub(g.startedAt))
	}
	if !resp.Complete() {
		explained := *resp
		explained.Refusal = g.withShare(now, call, resp.Refusal)
		resp = &explained
	}
	g.routeHandler.writeResponse(w, call, resp)
}
