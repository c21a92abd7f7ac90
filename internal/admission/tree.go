package admission

import (
	"math"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

const (
	// treeStaleAge is the age of the latest response from which the threshold may be outdated. It is
	// ten times maxThresholdPeriod.
	treeStaleAge = 3 * time.Second
	// treeStaleProbeInterval is the time between two requests that are admitted to learn the threshold
	// while it may be outdated. It exceeds the usual time until a response.
	treeStaleProbeInterval = time.Second
	// treeMaxAge is how long a threshold is used without a new response of the route: time for many
	// probes, of which some fail before they reach the service that sheds.
	treeMaxAge = 30 * time.Second
	// treeMinGain is the minimum weight of a response. A response carries the threshold of one
	// guard, and the guards of a service differ. Seven responses in quick succession move the
	// threshold by two thirds of the difference.
	treeMinGain = 0.15
	// treeTimeConstant is the time constant of the average if responses are rare.
	treeTimeConstant = 300 * time.Millisecond
	// treeProbeShare is the share of requests admitted regardless of the threshold, so that free
	// capacity is detected even if all other requests are refused.
	treeProbeShare = 0.02
	// treeMinRetry and treeRetryJitter determine the retry delay of a refused caller, as fractions
	// of the latency objective. The delay is short enough for a response in time, and the jitter
	// prevents all callers from retrying at once.
	treeMinRetry    = 0.1
	treeRetryJitter = 0.5
	// maxTreesFailRetry bounds the retry delay while trees fail.
	maxTreesFailRetry = 30 * time.Second
)

// TreeGate refuses requests of one route at their entry node, based on what the services called
// behind their upstream shed. The zero value is open. It is not safe for concurrent use.
//
// It handles overload of the deepest service of a call chain. That service sheds calls from some
// rank upwards, and all calls of a tree have the rank of its root. A root of such a rank therefore
// fails after three services have worked for it, and its other calls have used capacity without a
// result. A refusal at the entry node avoids this cost. The more entry nodes there are, the fewer
// responses each of them receives, so a response after a long interval has more weight than one of
// many. A gate uses only the responses of its own route: another route to the same service that
// calls no deeper service is not affected.
//
// With thousands of entry nodes, a node may receive its next response after seconds. Its threshold may
// be outdated by then, and the node admits single requests to learn it. If it admitted all of them
// instead, the requests of all such nodes together would overload the deepest service.
type TreeGate struct {
	threshold float64
	updated   time.Time
	// probed is when a request was last admitted because the threshold may be outdated.
	probed time.Time
	// failing is the average share of responses that report that trees of all ranks fail. It is apart
	// from threshold, which is in force again when they complete.
	failing float64
	// failingSince is the time since which more than half of the responses report so; zero while fewer
	// do.
	failingSince time.Time
}

// ObserveThreshold records the lowest rank that services behind the upstream shed, as reported
// in a response of this route. shedThreshold is MaxUint32 if they shed nothing, and 0 if trees of all
// ranks fail.
func (g *TreeGate) ObserveThreshold(now time.Time, shedThreshold uint32) {
	if g.updated.IsZero() || now.Sub(g.updated) > treeMaxAge {
		g.threshold, g.failing = openThreshold, 0
	}
	gain := max(treeMinGain, 1-math.Exp(-now.Sub(g.updated).Seconds()/treeTimeConstant.Seconds()))
	g.updated = now
	if shedThreshold > 0 {
		g.threshold += gain * (float64(shedThreshold) - g.threshold)
	}
	g.observeFailing(now, gain, shedThreshold == 0)
}

func (g *TreeGate) observeFailing(now time.Time, gain float64, fail bool) {
	share := 0.0
	if fail {
		share = 1
	}
	g.failing += gain * (share - g.failing)
	switch {
	case g.failing <= 0.5:
		g.failingSince = time.Time{}
	case g.failingSince.IsZero():
		g.failingSince = now
	}
}

// Threshold returns the lowest rank that is refused at now; MaxUint32 if none is.
func (g *TreeGate) Threshold(now time.Time) uint32 {
	switch {
	case g.updated.IsZero() || now.Sub(g.updated) > treeMaxAge:
		return openThreshold
	case g.TreesFail():
		return 0
	case g.threshold > openThreshold-1:
		return openThreshold
	}
	return uint32(g.threshold)
}

// TreesFail reports whether trees of all ranks fail.
func (g *TreeGate) TreesFail() bool { return !g.failingSince.IsZero() }

// Admit returns a refusal if the request must be rejected, and nil otherwise. u and v are random
// numbers in [0, 1): u selects the requests that are admitted as probes, and v sets the jitter of
// the retry delay.
func (g *TreeGate) Admit(now time.Time, level callctx.Level, hash uint32, objective time.Duration, u, v float64) *result.Refusal {
	threshold := g.Threshold(now)
	if Rank(level, hash) < threshold || u < treeProbeShare {
		return nil
	}
	if now.Sub(g.updated) > treeStaleAge && now.Sub(g.probed) > treeStaleProbeInterval {
		g.probed = now
		return nil
	}
	return result.Refuse(result.ShedEarly, "deeper services shed calls from rank %#08x upwards, according to responses of this route, the latest received %v ago",
		threshold, now.Sub(g.updated).Round(time.Millisecond)).WithRetryAfter(g.retryAfter(now, objective, v))
}

// retryAfter returns the retry delay of a refused caller. v is a random number in [0, 1).
//
// While trees of all ranks fail, an earlier retry would fail too. Nothing says when that ends; what has
// lasted for some time will on average last as long again.
func (g *TreeGate) retryAfter(now time.Time, objective time.Duration, v float64) time.Duration {
	delay := time.Duration(float64(objective) * (treeMinRetry + treeRetryJitter*v))
	if !g.failingSince.IsZero() {
		delay += min(now.Sub(g.failingSince), maxTreesFailRetry)
	}
	return max(delay, minRetryAfter)
}
