package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// scanLimit bounds how many targets of a tier are looked at for one with room
// once one is known that would at least queue the call.
const scanLimit = 64

// unknownService is the refusal for a service without any endpoint.
var unknownService = result.Refuse(result.NoUpstream, "no upstream of the service is known")

// verdict says what a target offers to one call, best first.
type verdict int

const (
	// hasRoom would run the call at once.
	hasRoom verdict = iota
	// isBusy would queue it, or is cold and had its share of calls.
	isBusy
	// isSpare is to be left alone while another one takes the call.
	isSpare
	// wouldShed would refuse it, as a fresh report says.
	wouldShed
	// isOut is ejected or suspect.
	isOut
	// probeDue is ejected, and its time is up.
	probeDue
	// never is draining or was tried before.
	never
)

// choice is the state of one Pick. It lives on the stack.
type choice struct {
	at    int64
	cfg   *Config
	svc   *service
	rng   *rand.Rand
	rank  uint32
	deep  bool
	avoid []string

	// The best of each verdict but hasRoom that was met.
	busy      *Target
	busyScore float64
	spare     *Target
	shedding  *Target
	out       *Target
	draining  bool
	// validUntil is when the first report behind a wouldShed gets old.
	validUntil int64
}

// Pick chooses the target of a call. rng is used by one goroutine at a time.
// The refusal, when there is one, has the code NoUpstream, ShedEarly or
// Draining and is shared: it must not be changed.
func (t *Table) Pick(now time.Time, rng *rand.Rand, info PickInfo) (*Target, *result.Refusal) {
	v := t.views[info.Service]
	if v == nil {
		return nil, unknownService
	}
	c := choice{
		at:         int64(now.Sub(t.epoch)),
		cfg:        v.svc.cfg.Load(),
		svc:        v.svc,
		rng:        rng,
		rank:       info.Rank,
		deep:       info.HasPriorWork,
		avoid:      info.Avoid,
		validUntil: math.MaxInt64,
	}
	if info.Node != "" {
		return c.pickNode(t, v, info.Node)
	}
	probe := false
	if !c.deep && v.svc.knownFull(c.at, c.rank) {
		probe = c.rollProbe()
		if !probe {
			return nil, v.shedEarly
		}
	}
	if g := c.pickWithRoom(v, info.SuspectedCrasher); g != nil {
		return g, nil
	}
	return c.settle(v, probe)
}

// pickNode is for calls that only one node may run.
func (c *choice) pickNode(t *Table, v *view, node string) (*Target, *result.Refusal) {
	g := t.nodes[node]
	if g == nil || g.svc != v.svc {
		return nil, v.noUpstream
	}
	c.avoid = nil
	switch c.judge(g) {
	case never:
		return nil, v.draining
	case wouldShed:
		if !c.rollProbe() {
			return nil, v.shedEarly
		}
	}
	return g, nil
}

// pickWithRoom returns a target with room, the nearest tier first. A tier is
// left only when none of it has room, so neither is work sent away while the
// own zone has room nor refused while another zone has some.
func (c *choice) pickWithRoom(v *view, crasher bool) *Target {
	if crasher {
		return c.fewestBystanders(v)
	}
	if own := v.own; own != nil && c.cfg.OwnNodeLoad > 0 {
		if c.judge(own) == hasRoom && own.score(c.at, c.cfg) <= c.cfg.OwnNodeLoad {
			return own
		}
	}
	for d := range v.tiers {
		tr := &v.tiers[d]
		if tr.prefix == 0 {
			continue
		}
		if g := c.pickOfTwo(tr); g != nil {
			return g
		}
		if g := c.scan(tr); g != nil {
			return g
		}
	}
	return nil
}

// pickOfTwo compares two random targets of the tier's prefix; nil when neither
// has room.
func (c *choice) pickOfTwo(tr *tier) *Target {
	if tr.prefix == 1 {
		return nil
	}
	i := c.rng.IntN(tr.prefix)
	j := c.rng.IntN(tr.prefix - 1)
	if j >= i {
		j++
	}
	a, b := tr.targets[i], tr.targets[j]
	va, vb := c.judge(a), c.judge(b)
	switch {
	case va == probeDue && a.ejection.takeProbe(c.at, c.cfg):
		return a
	case vb == probeDue && b.ejection.takeProbe(c.at, c.cfg):
		return b
	}
	c.remember(a, va)
	c.remember(b, vb)
	switch {
	case va == hasRoom && vb == hasRoom:
		if a.score(c.at, c.cfg) <= b.score(c.at, c.cfg) {
			return a
		}
		return b
	case va == hasRoom:
		return c.orBusy(a)
	case vb == hasRoom:
		return c.orBusy(b)
	}
	return nil
}

// orBusy returns g, which has room, or the best busy target when even with its
// queue that one costs less. Room is what a report said some time ago; when
// all others queue, every sender in turn would take the one upstream that was
// slow or failing, hence left alone and not heard of, and bury it in calls.
func (c *choice) orBusy(g *Target) *Target {
	if c.busy != nil && c.busyScore < g.score(c.at, c.cfg) {
		return c.busy
	}
	return g
}

// scan looks through the tier for a target with room: the prefix from a random
// start, then the rest in order, which widens the subset by as little as the
// saturation asks for.
func (c *choice) scan(tr *tier) *Target {
	start := c.rng.IntN(tr.prefix)
	for k, g := range tr.targets {
		if k < tr.prefix {
			g = tr.targets[(start+k)%tr.prefix]
		}
		v := c.judge(g)
		if v == hasRoom {
			return c.orBusy(g)
		}
		if v == probeDue && g.ejection.takeProbe(c.at, c.cfg) {
			return g
		}
		c.remember(g, v)
		if k >= scanLimit && c.busy != nil {
			return nil
		}
	}
	return nil
}

// fewestBystanders returns the target with room that runs the fewest calls, so
// that a crash takes the fewest with it.
func (c *choice) fewestBystanders(v *view) *Target {
	for d := range v.tiers {
		tr := &v.tiers[d]
		var best *Target
		fewest := math.Inf(1)
		for k, g := range tr.targets {
			if k >= tr.prefix && best != nil {
				break
			}
			verdict := c.judge(g)
			if verdict != hasRoom {
				c.remember(g, verdict)
				continue
			}
			if n := float64(g.inFlight.Load()) + g.report.others(); n < fewest {
				best, fewest = g, n
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// judge says what g offers to this call.
func (c *choice) judge(g *Target) verdict {
	if g.isDraining(c.at, c.cfg) {
		c.draining = true
		return never
	}
	if len(c.avoid) > 0 && slices.Contains(c.avoid, g.endpoint.Load().Node) {
		return never
	}
	if g.ejection.out() {
		// A retry is no probe: it has met one failure already.
		if len(c.avoid) == 0 && g.ejection.probeDue(c.at) {
			return probeDue
		}
		return isOut
	}
	if g.isSuspect(c.at, c.cfg) {
		return isOut
	}
	if g.fallback.Load() {
		return isSpare
	}
	fresh := g.report.fresh(c.at, c.cfg.LoadAge)
	if fresh && g.report.sheds(c.rank) && !(c.deep && g.idle()) {
		return wouldShed
	}
	if fresh && g.report.saturated() || g.inFlight.Load() > g.capacity(fresh) {
		return isBusy
	}
	if g.ramp.warm.Load() {
		return hasRoom
	}
	if share := g.ramp.share(c.at, c.cfg); share < 1 && c.rng.Float64() >= share {
		return isBusy
	}
	return hasRoom
}

// remember keeps the best target of each verdict in case none has room.
func (c *choice) remember(g *Target, v verdict) {
	switch v {
	case isBusy:
		// A cold target holds few calls; without its share it would take
		// the overflow of all the others.
		score := g.score(c.at, c.cfg) / g.ramp.share(c.at, c.cfg)
		if c.busy == nil || score < c.busyScore {
			c.busy, c.busyScore = g, score
		}
	case isSpare:
		if c.spare == nil {
			c.spare = g
		}
	case wouldShed:
		if c.shedding == nil {
			c.shedding = g
		}
		c.validUntil = min(c.validUntil, g.report.at.Load()+int64(c.cfg.LoadAge))
	case isOut, probeDue:
		if c.out == nil {
			c.out = g
		}
	}
}

// settle decides when no target has room.
func (c *choice) settle(v *view, probe bool) (*Target, *result.Refusal) {
	if c.busy != nil {
		return c.busy, nil
	}
	if c.spare != nil {
		return c.spare, nil
	}
	if c.shedding != nil {
		if probe || c.rollProbe() {
			return c.shedding, nil
		}
		if len(c.avoid) == 0 && !c.deep {
			v.svc.setFull(c.at, c.rank, c.validUntil)
		}
		return nil, v.shedEarly
	}
	if c.out != nil {
		return c.out, nil
	}
	if c.draining {
		return nil, v.draining
	}
	return nil, v.noUpstream
}

// rollProbe lets a small share of calls through against the reports, so that a
// wrong "full" cannot keep itself alive by never being tested.
func (c *choice) rollProbe() bool {
	return c.rng.Float64() < c.cfg.ProbeShare
}
