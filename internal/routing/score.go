package routing

const (
	// Bounds of the latency factor. A latency below the mean attracts no
	// more, so that one quick endpoint is not flooded.
	minLatencyFactor = 1
	maxLatencyFactor = 16
	// minGoodShare bounds the penalty for refusals and failures at 400.
	minGoodShare = 0.05
)

// maxLimitOverSlots bounds the reported limit by the announced slots: an
// absurd limit would make the target look idle whatever it holds.
const maxLimitOverSlots = 2

// capacity is how many calls the target runs at once: the reported limit
// while it is fresh, else the announced slots; at least 1.
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
		return min(limit, maxLimitOverSlots*slots)
	}
	return limit
}

// score is the cost of one more call; lower is better. It multiplies what the
// target says (work of others over capacity) by what was seen here (own calls
// in flight, latency, refusals), so a report of zero load does not outweigh
// slow or refused answers.
func (g *Target) score(at int64, cfg *Config) float64 {
	got := g.report.at.Load()
	fresh := got != 0 && at-got <= int64(cfg.LoadAge)
	capacity := float64(g.capacity(fresh))
	others := g.svc.load.load() * capacity
	if fresh {
		// An ageing report fades into the mean of the service: neither
		// "empty" nor "full" outlives the time it was true.
		weight := 1 - float64(max(at-got, 0))/float64(cfg.LoadAge)
		others = weight*g.report.others() + (1-weight)*others
	}
	work := float64(g.inFlight.Load()) + others + 1
	return work / capacity * g.latencyFactor(at, cfg) * g.badFactor(at, cfg)
}

// latencyFactor compares the target's latency with the mean of its service.
func (g *Target) latencyFactor(at int64, cfg *Config) float64 {
	mean := g.svc.latency.load()
	if mean == 0 {
		return 1
	}
	latency := g.latency.load()
	if latency == 0 {
		latency = mean
	}
	if latency > mean {
		idle := at - g.learnedAt.Load()
		latency = mean + forget(latency-mean, idle, int64(cfg.LatencyDecay))
	}
	// A target that holds calls and gives no answer is at least as slow as
	// its silence is long. Without this a silent upstream keeps the good
	// estimate of its last answer until its first calls time out.
	if since := g.silentSince.Load(); since != 0 && g.inFlight.Load() > 0 {
		latency = max(latency, float64(at-since))
	}
	return min(max(latency/mean, minLatencyFactor), maxLatencyFactor)
}

// badFactor grows with the share of refusals and failures. Refused calls
// leave quickly, so that in-flight counts alone would favour a target that
// refuses everything.
func (g *Target) badFactor(at int64, cfg *Config) float64 {
	bad := g.refused.load() + g.failed.load()
	if bad == 0 {
		return 1
	}
	bad = forget(bad, at-g.learnedAt.Load(), int64(cfg.LatencyDecay))
	good := max(1-bad, minGoodShare)
	return 1 / (good * good)
}
