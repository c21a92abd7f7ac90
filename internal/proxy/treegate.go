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
	"github.com/galenagrade/galenagrade/internal/routes"
)

// treeGates are those of the routes that requests came by here, and what is known of
// the services that shed behind them. All routes that meet a service learn of it
// together: the requests of a route that is refused bring nothing new, and a gate for each
// route would open after a while without, to requests that fail.
type treeGates struct {
	metrics   *metrics.Set
	byRoute   sync.Map // routeName to *treeGate
	byService sync.Map // name of a service to *serviceGate
}

type routeName struct{ host, prefix string }

// routeSeries is the kind of the metrics of routes.
const routeSeries = "route"

func (n routeName) label() string { return n.host + n.prefix }

// treeGate is that of one route, for concurrent use.
type treeGate struct {
	series *metrics.Series
	gates  *treeGates
	// behind is the service that its answers last said to shed; nil when they never
	// did.
	behind atomic.Pointer[serviceGate]
}

// serviceGate is an admission.TreeGate for concurrent use.
type serviceGate struct {
	mu    sync.Mutex
	state admission.TreeGate
}

func (g *treeGates) of(host, prefix string) *treeGate {
	name := routeName{host, prefix}
	if got, ok := g.byRoute.Load(name); ok {
		return got.(*treeGate)
	}
	got, _ := g.byRoute.LoadOrStore(name, &treeGate{series: g.metrics.Series(routeSeries, name.label()), gates: g})
	return got.(*treeGate)
}

func (g *treeGates) ofService(name string) *serviceGate {
	if got, ok := g.byService.Load(name); ok {
		return got.(*serviceGate)
	}
	got, _ := g.byService.LoadOrStore(name, &serviceGate{})
	return got.(*serviceGate)
}

// retain forgets the gates of routes and services that are gone.
func (g *treeGates) retain(t *routes.Table) {
	g.byRoute.Range(func(name, _ any) bool {
		n := name.(routeName)
		if !t.Has(n.host, n.prefix) {
			g.byRoute.Delete(name)
			g.metrics.Drop(routeSeries, n.label())
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

// admit decides on a root request. A call made for a running request always goes
// on: what was spent on that one would be lost.
func (g *treeGate) admit(now time.Time, call *node.Call, objective time.Duration) *result.Refusal {
	c := &call.Ctx
	behind := g.behind.Load()
	if c.Depth > 0 || behind == nil {
		return nil
	}
	behind.mu.Lock()
	defer behind.mu.Unlock()
	return behind.state.Admit(now, c.Level, c.CallerHash, objective, rand.Float64(), rand.Float64())
}

// learn takes what an answer says of the services behind. One that was refused
// before it reached an upstream met none of them. An answer that names no service says
// of the one that earlier answers named that it sheds nothing now.
func (g *treeGate) learn(now time.Time, call *node.Call, a *node.Response) {
	if call.Ctx.Depth > 0 || a.Code.Ran() == result.RanNo {
		return
	}
	if a.ShedsBy != "" {
		g.behind.Store(g.gates.ofService(a.ShedsBy))
	}
	behind := g.behind.Load()
	if behind == nil {
		return
	}
	behind.mu.Lock()
	defer behind.mu.Unlock()
	behind.state.ObserveThreshold(now, a.ShedsFrom)
}

// gatedWriter tells the gate of a route what its answers say.
type gatedWriter struct {
	*routed
	gate  *treeGate
	begun time.Time
}

// offered counts a request that came.
func (o gatedWriter) offered(call *node.Call) {
	o.gate.series.Offered()
	if counted(call) {
		o.workspaces.of(call.Ctx.Workspace).Offered()
	}
}

// ended counts how a request ended.
func (o gatedWriter) ended(call *node.Call, code result.Code, took time.Duration) {
	o.gate.series.Ended(code, took)
	if counted(call) {
		o.workspaces.of(call.Ctx.Workspace).Ended(code, took)
	}
}

// refuse implements answerWriter.
func (o gatedWriter) refuse(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	o.ended(call, refusal.Code, 0)
	o.routed.refuse(w, call, refusal)
}

// answer implements answerWriter.
func (o gatedWriter) answer(w http.ResponseWriter, call *node.Call, a *node.Response) {
	now := o.p.node.Now()
	o.gate.learn(now, call, a)
	o.p.node.ChildEnded(now, call, a)
	o.ended(call, a.Code, now.Sub(o.begun))
	o.routed.answer(w, call, a)
}
