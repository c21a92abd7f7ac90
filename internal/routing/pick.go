package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// scanLimit bounds the scan of a tier for a target with capacity. After this number of targets the
// scan stops if it has found one that would at least queue the call.
const scanLimit = 64

// unknownServiceRefusal is the refusal for a service without endpoints.
var unknownServiceRefusal = result.Refuse(result.NoUpstream, "no upstream of the service is known")

// verdict is the evaluation of a target for one call. The values are in order from best to worst.
type verdict int

const (
	// hasCapacity means that the target would run the call at once.
	hasCapacity verdict = iota
	// isBusy means that the target would queue the call, or that it is in slow start and has
	// received its share of calls.
	isBusy
	// isFallback means that the target is used only if no other target takes the call.
	isFallback
	// wouldShed means that the target would refuse the call, according to a fresh report.
	wouldShed
	// isUnavailable means that the target is ejected or suspect.
	isUnavailable
	// isProbeDue means that the target is ejected and may be probed.
	isProbeDue
	// isExcluded means that the target is draining or was already tried.
	isExcluded
)

// pickState is the state of one Pick. It is allocated on the stack.
type pickState struct {
	at      int64
	cfg     *Config
	svc     *service
	rng     *rand.Rand
	rank    uint32
	isChild bool
	avoid   []string

	// Targets found so far, by verdict: the best busy one, and the first one of each other verdict
	// except hasCapacity.
	bestBusy          *Target
	bestBusyScore     float64
	fallbackTarget    *Target
	sheddingTarget    *Target
	unavailableTarget *Target
	foundDraining     bool
	// shedValidUntil is the time at which the oldest report behind a wouldShed verdict expires.
	shedValidUntil int64
}

// Pick chooses the target of a call. rng must not be used by several goroutines at once. A refusal
// has the code NoUpstream, ShedEarly or Draining. It is shared and must not be modified.
func (t *Table) Pick(now time.Time, rng *rand.Rand, info PickInfo) (*Target, *result.Refusal) {
	v := t.views[info.Service]
	if v == nil {
		return nil, unknownServiceRefusal
	}
	c := pickState{
		at:             int64(now.Sub(t.epoch)),
		cfg:            v.svc.cfg.Load(),
		svc:            v.svc,
		rng:            rng,
		rank:           info.Rank,
		isChild:        info.IsChild,
		avoid:          info.Avoid,
		shedValidUntil: math.MaxInt64,
	}
	if info.Node != "" {
		return c.pickNode(t, v, info.Node)
	}
	if len(c.avoid) == 0 {
		v.svc.calls.Add(1)
	}
	probe := false
	if !c.isChild && v.svc.shedMemoCovers(c.at, c.rank) {
		probe = c.sampleProbe()
		if !probe {
			return nil, v.shedEarly
		}
	}
	if g := c.pickWithCapacity(v, info.SuspectedCrasher); g != nil {
		return g, nil
	}
	return c.pickWithoutCapacity(v, probe)
}

// pickNode handles calls that only one node may run.
func (c *pickState) pickNode(t *Table, v *serviceView, node string) (*Target, *result.Refusal) {
	g := t.targetsByNode[node]
	if g == nil || g.svc != v.svc {
		return nil, v.noUpstream
	}
	c.avoid = nil
	switch c.evaluate(g) {
	case isExcluded:
		return nil, v.draining
	case wouldShed:
		if !c.sampleProbe() {
			return nil, v.shedEarly
		}
	}
	return g, nil
}

// pickWithCapacity returns a target with capacity, from the nearest tier that has one. A tier is
// left only if none of its targets has capacity. So no call leaves the own zone while the own zone
// has capacity, and none is refused while another zone has capacity.
func (c *pickState) pickWithCapacity(v *serviceView, suspectedCrasher bool) *Target {
	if suspectedCrasher {
		return c.fewestInFlight(v)
	}
	if g := c.pickByZoneShare(v); g != nil {
		return g
	}
	if own := v.ownTarget; own != nil && c.cfg.OwnNodeLoad > 0 {
		if c.evaluate(own) == hasCapacity && own.score(c.at, c.cfg) <= c.cfg.OwnNodeLoad {
			return own
		}
	}
	for d := range v.tiers {
		tr := &v.tiers[d]
		if tr.prefix == 0 {
			continue
		}
		if g := c.pickInTier(tr); g != nil {
			return g
		}
	}
	return nil
}

// pickInTier returns a target of the tier with capacity.
func (c *pickState) pickInTier(tr *tier) *Target {
	if g := c.pickOfTwo(tr); g != nil {
		return g
	}
	return c.scan(tr)
}

// pickOfTwo compares two random targets of the tier's prefix. It returns nil if neither has
// capacity.
func (c *pickState) pickOfTwo(tr *tier) *Target {
	if tr.prefix == 1 {
		return nil
	}
	i := c.rng.IntN(tr.prefix)
	j := c.rng.IntN(tr.prefix - 1)
	if j >= i {
		j++
	}
	a, b := tr.targets[i], tr.targets[j]
	va, vb := c.evaluate(a), c.evaluate(b)
	switch {
	case va == isProbeDue && a.ejection.claimProbe(c.at, c.cfg):
		return a
	case vb == isProbeDue && b.ejection.claimProbe(c.at, c.cfg):
		return b
	}
	c.addCandidate(a, va)
	c.addCandidate(b, vb)
	switch {
	case va == hasCapacity && vb == hasCapacity:
		if a.score(c.at, c.cfg) <= b.score(c.at, c.cfg) {
			return a
		}
		return b
	case va == hasCapacity:
		return c.orCheaperBusy(a)
	case vb == hasCapacity:
		return c.orCheaperBusy(b)
	}
	return nil
}

// orCheaperBusy returns g, which has capacity, or the best busy target if that one has the lower
// score in spite of its queue. The capacity of g comes from a report that may be outdated: a slow
// or failing upstream receives few calls and therefore reports rarely. When all other targets queue
// calls, every sender would choose that upstream and overload it.
func (c *pickState) orCheaperBusy(g *Target) *Target {
	if c.bestBusy != nil && c.bestBusyScore < g.score(c.at, c.cfg) {
		return c.bestBusy
	}
	return g
}

// scan searches the tier for a target with capacity. It searches the prefix from a random start and
// then the remaining targets in order, which widens the subset by no more targets than the
// saturation requires.
func (c *pickState) scan(tr *tier) *Target {
	start := c.rng.IntN(tr.prefix)
	for k, g := range tr.targets {
		if k < tr.prefix {
			g = tr.targets[(start+k)%tr.prefix]
		}
		v := c.evaluate(g)
		if v == hasCapacity {
			return c.orCheaperBusy(g)
		}
		if v == isProbeDue && g.ejection.claimProbe(c.at, c.cfg) {
			return g
		}
		c.addCandidate(g, v)
		if k >= scanLimit && c.bestBusy != nil {
			return nil
		}
	}
	return nil
}

// fewestInFlight returns the target with capacity that runs the fewest calls, which limits the
// calls lost in a crash.
func (c *pickState) fewestInFlight(v *serviceView) *Target {
	for d := range v.tiers {
		tr := &v.tiers[d]
		var best *Target
		fewest := math.Inf(1)
		for k, g := range tr.targets {
			if k >= tr.prefix && best != nil {
				break
			}
			verdict := c.evaluate(g)
			if verdict != hasCapacity {
				c.addCandidate(g, verdict)
				continue
			}
			if n := float64(g.inFlight.Load()) + g.report.otherWork(); n < fewest {
				best, fewest = g, n
			}
		}
		if best != nil {
			return best
		}
	}
	return nil
}

// evaluate returns the verdict on g for this call.
func (c *pickState) evaluate(g *Target) verdict {
	if g.isDraining(c.at, c.cfg) {
		c.foundDraining = true
		return isExcluded
	}
	if len(c.avoid) > 0 && slices.Contains(c.avoid, g.endpoint.Load().Node) {
		return isExcluded
	}
	if g.ejection.active() {
		// A retry is not used as a probe, because its call has already failed once.
		if len(c.avoid) == 0 && g.ejection.probeDue(c.at) {
			return isProbeDue
		}
		return isUnavailable
	}
	if g.isSuspect(c.at, c.cfg) {
		return isUnavailable
	}
	if g.fallback.Load() {
		return isFallback
	}
	fresh := g.report.fresh(c.at, c.cfg.LoadAge)
	if fresh && g.report.sheds(c.rank) && !(c.isChild && g.hasIdleSlot()) {
		return wouldShed
	}
	if fresh && g.report.saturated() || float64(g.inFlight.Load()) > g.concurrency(fresh) {
		return isBusy
	}
	if fresh && g.rateLimit.load() > 0 && g.report.queued() > 0 {
		return isBusy
	}
	if g.slowStart.warm.Load() {
		return hasCapacity
	}
	if share := g.slowStart.share(c.at, c.cfg); share < 1 && c.rng.Float64() >= share {
		return isBusy
	}
	return hasCapacity
}

// addCandidate keeps a target of each verdict, for the case that none has capacity.
func (c *pickState) addCandidate(g *Target, v verdict) {
	switch v {
	case isBusy:
		// A target in slow start holds few calls. If its score were not divided by its share, it
		// would receive all calls that exceed the capacity of the others.
		score := g.score(c.at, c.cfg) / g.slowStart.share(c.at, c.cfg)
		if c.bestBusy == nil || score < c.bestBusyScore {
			c.bestBusy, c.bestBusyScore = g, score
		}
	case isFallback:
		if c.fallbackTarget == nil {
			c.fallbackTarget = g
		}
	case wouldShed:
		if c.sheddingTarget == nil {
			c.sheddingTarget = g
		}
		c.shedValidUntil = min(c.shedValidUntil, g.report.receivedAt.Load()+int64(c.cfg.LoadAge))
	case isUnavailable, isProbeDue:
		if c.unavailableTarget == nil {
			c.unavailableTarget = g
		}
	}
}

// pickWithoutCapacity chooses a target or a refusal when no target has capacity.
func (c *pickState) pickWithoutCapacity(v *serviceView, probe bool) (*Target, *result.Refusal) {
	if c.bestBusy != nil {
		return c.bestBusy, nil
	}
	if c.fallbackTarget != nil {
		return c.fallbackTarget, nil
	}
	if c.sheddingTarget != nil {
		if probe || c.sampleProbe() {
			return c.sheddingTarget, nil
		}
		if len(c.avoid) == 0 && !c.isChild {
			v.svc.setShedMemo(c.at, c.rank, c.shedValidUntil)
		}
		return nil, v.shedEarly
	}
	if c.unavailableTarget != nil {
		return c.unavailableTarget, nil
	}
	if c.foundDraining {
		return nil, v.draining
	}
	return nil, v.noUpstream
}

// sampleProbe selects a small share of calls that are sent in spite of the reports. Without them an
// outdated report of shedding would never be replaced, because no call would bring a new one.
func (c *pickState) sampleProbe() bool {
	return c.rng.Float64() < c.cfg.ProbeShare
}
