package routing

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// epochMargin puts the epoch before the first table, so that the time 0 can
// stand for "never".
const epochMargin = time.Hour

// Table is an immutable view of the endpoints known to one node.
type Table struct {
	cfg   Config
	self  Self
	epoch time.Time
	views map[string]*view
	nodes map[string]*Target
	// carried finds the targets for the next table.
	carried map[targetKey]*Target
}

// targetKey identifies a process behind an endpoint.
type targetKey struct {
	node        string
	service     string
	incarnation uint64
}

// view is one service in a table.
type view struct {
	svc   *service
	all   []*Target
	tiers [distances]tier
	// own is the target of the choosing node itself, or nil.
	own *Target

	// The refusals are made once, so that refusing costs no allocation.
	noUpstream *result.Refusal
	draining   *result.Refusal
	shedEarly  *result.Refusal
}

// NewTable makes a table. Targets of endpoints with the same node, incarnation
// and service are taken over from prev, which may be nil; the incarnation last
// seen in a report counts too. Of two endpoints with the same node and service
// the one that joined later is kept. One goroutine at a time may make tables;
// others may go on using prev.
func NewTable(prev *Table, cfg Config, self Self, endpoints []Endpoint, now time.Time) *Table {
	t := &Table{
		cfg:     cfg,
		self:    self,
		epoch:   now.Add(-epochMargin),
		views:   map[string]*view{},
		nodes:   make(map[string]*Target, len(endpoints)),
		carried: make(map[targetKey]*Target, len(endpoints)),
	}
	if prev != nil {
		t.epoch = prev.epoch
	}
	for _, ep := range latest(endpoints) {
		t.add(prev, ep, now)
	}
	for _, v := range t.views {
		v.finish(self, cfg)
	}
	return t
}

// latest drops every endpoint that was replaced by a later one of the same
// node and service, and keeps the order of the rest.
func latest(endpoints []Endpoint) []*Endpoint {
	at := make(map[targetKey]int, len(endpoints))
	kept := make([]*Endpoint, 0, len(endpoints))
	for i := range endpoints {
		ep := endpoints[i]
		key := targetKey{node: ep.Node, service: ep.Service}
		j, twice := at[key]
		switch {
		case !twice:
			at[key] = len(kept)
			kept = append(kept, &ep)
		case ep.Joined.After(kept[j].Joined):
			kept[j] = &ep
		}
	}
	return kept
}

func (t *Table) add(prev *Table, ep *Endpoint, now time.Time) {
	v := t.views[ep.Service]
	if v == nil {
		v = newView(t.serviceFrom(prev, ep.Service), ep.Service, t.cfg)
		t.views[ep.Service] = v
	}
	g := prev.find(ep)
	if g == nil {
		g = newTarget(v.svc, ep, now)
	}
	g.update(ep)
	v.all = append(v.all, g)
	if ep.Node == t.self.Node {
		v.own = g
	}
	if t.nodes[ep.Node] == nil {
		t.nodes[ep.Node] = g
	}
	t.carried[targetKey{ep.Node, ep.Service, ep.Incarnation}] = g
}

// find returns the target of the same process in t, which may be nil.
func (t *Table) find(ep *Endpoint) *Target {
	if t == nil {
		return nil
	}
	if g := t.carried[targetKey{ep.Node, ep.Service, ep.Incarnation}]; g != nil {
		return g
	}
	v := t.views[ep.Service]
	if v == nil {
		return nil
	}
	g := t.nodes[ep.Node]
	if g == nil || g.svc != v.svc || g.incarnation.Load() != ep.Incarnation {
		return nil
	}
	return g
}

func (t *Table) serviceFrom(prev *Table, name string) *service {
	var s *service
	if prev != nil && prev.views[name] != nil {
		s = prev.views[name].svc
	} else {
		s = newService(t.epoch)
	}
	s.cfg.Store(t.cfg.forService(name))
	return s
}

func newView(s *service, name string, cfg Config) *view {
	shed := result.Refuse(result.ShedEarly, "every upstream of %q reports that it sheds this rank", name)
	shed.AllFull = true
	shed.RetryAfter = cfg.RetryAfter
	return &view{
		svc:        s,
		noUpstream: result.Refuse(result.NoUpstream, "no untried upstream of %q", name).After(cfg.RetryAfter),
		draining:   result.Refuse(result.Draining, "every upstream of %q that was not tried is leaving", name).After(cfg.RetryAfter),
		shedEarly:  shed,
	}
}

func (v *view) finish(self Self, cfg Config) {
	v.tiers = buildTiers(self, v.all, cfg.SubsetSize)
	v.svc.targets.Store(&v.all)
	v.svc.clearFull()
}

// Targets returns the targets of a service; the slice must not be changed.
func (t *Table) Targets(service string) []*Target {
	v := t.views[service]
	if v == nil {
		return nil
	}
	return v.all
}

// ByNode returns the target of a node, or nil. For a node with several
// services it is the first one announced.
func (t *Table) ByNode(node string) *Target { return t.nodes[node] }
