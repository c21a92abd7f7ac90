package proxy

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routes"
)

// treeGates are those of the routes that requests came by here.
type treeGates struct {
	metrics *metrics.Set
	byRoute sync.Map // routeName to *treeGate
}

type routeName struct{ host, prefix string }

// routeSeries is the kind of the metrics of routes.
const routeSeries = "route"

func (n routeName) label() string { return n.host + n.prefix }

// treeGate is an admission.TreeGate for concurrent use.
type treeGate struct {
	series *metrics.Series
	mu     sync.Mutex
	state  admission.TreeGate
}

func (g *treeGates) of(host, prefix string) *treeGate {
	name := routeName{host, prefix}
	if got, ok := g.byRoute.Load(name); ok {
		return got.(*treeGate)
	}
	got, _ := g.byRoute.LoadOrStore(name, &treeGate{series: g.metrics.Series(routeSeries, name.label())})
	return got.(*treeGate)
}

// retain forgets the gates of routes that are gone.
func (g *treeGates) retain(t *routes.Table) {
	g.byRoute.Range(func(name, _ any) bool {
		n := name.(routeName)
		if !t.Has(n.host, n.prefix) {
			g.byRoute.Delete(name)
			g.metrics.Drop(routeSeries, n.label())
		}
		return true
	})
}

// admit decides on a root request. A call made for a running request always goes
// on: what was spent on that one would be lost.
func (g *treeGate) admit(now time.Time, call *node.Call, objective time.Duration) *result.Refusal {
	c := &call.Ctx
	if c.Depth > 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state.Admit(now, c.Level, c.CallerHash, objective, rand.Float64(), rand.Float64())
}

// learn takes what an answer says of the services behind. One that was refused
// before it reached an upstream met none of them.
func (g *treeGate) learn(now time.Time, call *node.Call, a *node.Answer) {
	if call.Ctx.Depth > 0 || a.Code.Ran() == result.RanNo {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Learn(now, a.ShedsFrom)
}

// gatedWriter tells the gate of a route what its answers say.
type gatedWriter struct {
	*routed
	gate  *treeGate
	begun time.Time
}

// refuse implements answerWriter.
func (o gatedWriter) refuse(w http.ResponseWriter, call *node.Call, refusal *result.Refusal) {
	o.gate.series.Ended(refusal.Code, 0)
	o.routed.refuse(w, call, refusal)
}

// answer implements answerWriter.
func (o gatedWriter) answer(w http.ResponseWriter, call *node.Call, a *node.Answer) {
	now := o.p.node.Now()
	o.gate.learn(now, call, a)
	o.p.node.ChildEnded(now, call, a)
	o.gate.series.Ended(a.Code, now.Sub(o.begun))
	o.routed.answer(w, call, a)
}
