package routing

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/speed"
)

const (
	// Bounds of the latency factor. A latency below the mean does not lower the score, so that one
	// fast endpoint is not flooded.
	minLatencyFactor = 1
	maxLatencyFactor = 16
	// minSuccessShare limits failureFactor to 1/(minSuccessShare*minSuccessShare) = 400.
	minSuccessShare = 0.05
)

// maxLimitPerSlot bounds the reported limit relative to the announced slots. With an implausibly
// high limit a target would look idle under any load.
const maxLimitPerSlot = 2

// minRatedConcurrency bounds the score of an upstream with a rate limit near 0, so that it is chosen
// before one that fails.
const minRatedConcurrency = 0.05

// capacity returns the number of calls that the target runs at once: the reported limit if the
// report is fresh, otherwise the announced slots. It is at least 1.
func (g *Target) capacity(fresh bool) int64 {
	slots := g.slots.Load()
	if !fresh {
		return max(1, slots)
	}
	limit := g.report.limit()
	switch {
	case limit <= 0:
		return max(1, slots)
	case slots > 0:
		return min(limit, maxLimitPerSlot*slots)
	}
	return limit
}

// concurrency returns the capacity, lowered under a rate limit to the number of calls that run at once
// at that rate, by Little's law. The slots of such an upstream are idle, and by them it would look like
// the best choice. Without a fresh report the rate limit is unknown: only a call shows whether it still
// holds.
func (g *Target) concurrency(fresh bool) float64 {
	capacity := float64(g.capacity(fresh))
	rate := g.rateLimit.load()
	if rate == 0 || !fresh {
		return capacity
	}
	atRate := rate * g.svc.meanLatency.load() / float64(time.Second)
	return min(capacity, max(atRate, minRatedConcurrency))
}

// score returns the cost of one more call; lower is better. It multiplies reported values (other
// senders' work over capacity) by this node's own observations (calls in flight, latency,
// refusals). So a report of zero load cannot outweigh slow or refused calls.
func (g *Target) score(at int64, cfg *Config) float64 {
	receivedAt := g.report.receivedAt.Load()
	fresh := receivedAt != 0 && at-receivedAt <= int64(cfg.LoadAge)
	capacity := g.concurrency(fresh)
	otherWork := g.svc.meanLoad.load() * capacity
	if fresh {
		// The weight of a report decreases with its age in favour of the mean of the service, so
		// that a report of an empty or a full target loses its effect before it expires.
		weight := 1 - float64(max(at-receivedAt, 0))/float64(cfg.LoadAge)
		otherWork = weight*g.report.otherWork() + (1-weight)*otherWork
	}
	work := float64(g.inFlight.Load()) + otherWork + 1
	relative, known := g.relativeSpeed(at)
	latency := g.latencyFactor(at, cfg, relative)
	if known {
		// The speed accounts for usual differences of latency by kind of call.
		latency = max(latency/speedDeviation, minLatencyFactor)
	}
	return work / (capacity * relative) * latency * g.failureFactor(at, cfg)
}

// speedDeviation is the ratio of a target's latency to that expected by its speed up to which the
// latency doesn't count: the target may receive longer calls than others. Beyond it the sender knows
// better than the guard, which can't see the path, and measures over seconds.
const speedDeviation = 2

// relativeSpeed returns the speed of the target relative to its service; 1 if it is unknown or older
// than speed.MaxAge.
func (g *Target) relativeSpeed(at int64) (relative float64, known bool) {
	reportedAt := g.speedAt.Load()
	if reportedAt == 0 || at-reportedAt > int64(speed.MaxAge) {
		return 1, false
	}
	return g.speed.load(), true
}

// latencyFactor compares the target's latency with that of an upstream of the given speed, by the mean
// of its service.
func (g *Target) latencyFactor(at int64, cfg *Config, relative float64) float64 {
	mean := g.svc.meanLatency.load() / relative
	if mean == 0 {
		return 1
	}
	latency := g.latency.load()
	if latency == 0 {
		latency = mean
	}
	if latency > mean {
		idle := at - g.sampledAt.Load()
		latency = mean + decay(latency-mean, idle, int64(cfg.LatencyDecay))
	}
	// A target with calls in flight is at least as slow as the time since unansweredSince. Without
	// this an unresponsive upstream would keep the good estimate of its last response until its
	// first calls time out.
	if since := g.unansweredSince.Load(); since != 0 && g.inFlight.Load() > 0 {
		latency = max(latency, float64(at-since))
	}
	return min(max(latency/mean, minLatencyFactor), maxLatencyFactor)
}

// failureFactor grows with the share of refusals and failures. Refused calls end quickly, so with
// in-flight counts alone a target that refuses all calls would be preferred.
func (g *Target) failureFactor(at int64, cfg *Config) float64 {
	failureShare := g.refusedShare.load() + g.failedShare.load()
	if failureShare == 0 {
		return 1
	}
	failureShare = decay(failureShare, at-g.sampledAt.Load(), int64(cfg.LatencyDecay))
	successShare := max(1-failureShare, minSuccessShare)
	return 1 / (successShare * successShare)
}
