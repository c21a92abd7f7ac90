package routing

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// epochMargin is the time between the epoch and the first table. It ensures that no time is 0,
// which stands for "never".
const epochMargin = time.Hour

// Table is an immutable view of the endpoints known to one node.
type Table struct {
	cfg           Config
	self          Self
	epoch         time.Time
	views         map[string]*serviceView
	targetsByNode map[string]*Target
	// targetsByProcess is used by the next table to take over the targets.
	targetsByProcess map[processKey]*Target
}

// processKey identifies a process behind an endpoint.
type processKey struct {
	node        string
	service     string
	incarnation uint64
}

// serviceView is the view of one service in a table.
type serviceView struct {
	svc     *service
	targets []*Target
	tiers   [distanceCount]tier
	// zones are the targets outside the own zone, by the name of their zone.
	zones map[string]*tier
	// ownTarget is the target of the sending node itself, or nil.
	ownTarget *Target

	// The refusals are created once, so that a refusal allocates no memory.
	noUpstream *result.Refusal
	draining   *result.Refusal
	shedEarly  *result.Refusal
}

// NewTable creates a table. It takes over the targets from prev, which may be nil, for endpoints
// with the same node, service and incarnation. An endpoint also matches the target of its node and
// service if its incarnation is the last one that the target has seen in a report. If two endpoints
// have the same node and service, the one that joined later is kept. NewTable must not be called
// concurrently, but prev may stay in use meanwhile.
func NewTable(prev *Table, cfg Config, self Self, endpoints []Endpoint, now time.Time) *Table {
	t := &Table{
		cfg:              cfg,
		self:             self,
		epoch:            now.Add(-epochMargin),
		views:            map[string]*serviceView{},
		targetsByNode:    make(map[string]*Target, len(endpoints)),
		targetsByProcess: make(map[processKey]*Target, len(endpoints)),
	}
	if prev != nil {
		t.epoch = prev.epoch
	}
	for _, ep := range latestEndpoints(endpoints) {
		t.add(prev, ep, now)
	}
	for _, v := range t.views {
		v.finalize(self, cfg)
	}
	return t
}

// latestEndpoints removes every endpoint that a later one of the same node and service replaces. It
// keeps the order of the others.
func latestEndpoints(endpoints []Endpoint) []*Endpoint {
	indexByKey := make(map[processKey]int, len(endpoints))
	kept := make([]*Endpoint, 0, len(endpoints))
	for i := range endpoints {
		ep := endpoints[i]
		key := processKey{node: ep.Node, service: ep.Service}
		j, found := indexByKey[key]
		switch {
		case !found:
			indexByKey[key] = len(kept)
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
		v = newServiceView(t.carryOverService(prev, ep.Service), ep.Service, t.cfg)
		t.views[ep.Service] = v
	}
	g := prev.findTarget(ep)
	if g == nil {
		g = newTarget(v.svc, ep, now)
	}
	g.update(ep)
	v.targets = append(v.targets, g)
	if ep.Node == t.self.Node {
		v.ownTarget = g
	}
	if t.targetsByNode[ep.Node] == nil {
		t.targetsByNode[ep.Node] = g
	}
	t.targetsByProcess[processKey{ep.Node, ep.Service, ep.Incarnation}] = g
}

// findTarget returns the target of the same process in t, or nil. t may be nil.
func (t *Table) findTarget(ep *Endpoint) *Target {
	if t == nil {
		return nil
	}
	if g := t.targetsByProcess[processKey{ep.Node, ep.Service, ep.Incarnation}]; g != nil {
		return g
	}
	v := t.views[ep.Service]
	if v == nil {
		return nil
	}
	g := t.targetsByNode[ep.Node]
	if g == nil || g.svc != v.svc || g.incarnation.Load() != ep.Incarnation {
		return nil
	}
	return g
}

func (t *Table) carryOverService(prev *Table, name string) *service {
	var s *service
	if prev != nil && prev.views[name] != nil {
		s = prev.views[name].svc
	} else {
		s = newService(t.epoch)
	}
	s.cfg.Store(t.cfg.forService(name))
	return s
}

func newServiceView(s *service, name string, cfg Config) *serviceView {
	shed := result.Refuse(result.ShedEarly, "every upstream of %q reports that it sheds this rank", name)
	shed.AllFull = true
	shed.RetryAfter = cfg.RetryAfter
	return &serviceView{
		svc:        s,
		noUpstream: result.Refuse(result.NoUpstream, "no untried upstream of %q", name).WithRetryAfter(cfg.RetryAfter),
		draining:   result.Refuse(result.Draining, "every untried upstream of %q is draining", name).WithRetryAfter(cfg.RetryAfter),
		shedEarly:  shed,
	}
}

func (v *serviceView) finalize(self Self, cfg Config) {
	v.tiers = buildTiers(self, v.targets, cfg.SubsetSize)
	v.zones = zoneTiers(&v.tiers, cfg.SubsetSize)
	v.svc.targets.Store(&v.targets)
	v.svc.clearShedMemo()
}

// Targets returns the targets of a service. The slice must not be modified.
func (t *Table) Targets(service string) []*Target {
	v := t.views[service]
	if v == nil {
		return nil
	}
	return v.targets
}

// ByNode returns the target of a node, or nil. If the node has several services, it is the first
// one announced.
func (t *Table) ByNode(node string) *Target { return t.targetsByNode[node] }

// CallCounts returns the number of calls for which a target was to be chosen so far, by service.
// Retries, and calls that only one node may run, are not counted.
func (t *Table) CallCounts() map[string]int64 {
	counts := make(map[string]int64, len(t.views))
	for name, v := range t.views {
		if n := v.svc.calls.Load(); n > 0 {
			counts[name] = n
		}
	}
	return counts
}
