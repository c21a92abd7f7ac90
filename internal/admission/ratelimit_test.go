package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Guards against more starts in some time than the upstream's rate limit allows, whatever the
// pattern of arrivals.
func TestRateLimitBoundsStartsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(1_000_000, 0)
		c := New(DefaultConfig(64), now)
		perSecond := rapid.Float64Range(minStartsPerSecond, 200).Draw(t, "perSecond")
		c.SetRateLimit(now, perSecond)
		var starts []time.Time
		apply := func(ds []Decision) {
			for len(ds) > 0 {
				d := ds[0]
				ds = ds[1:]
				if d.Verdict == Run {
					starts = append(starts, now)
					ds = append(ds, c.Finish(now, d.ID, Answered, time.Millisecond)...)
				}
			}
		}
		for i := range rapid.IntRange(1, 200).Draw(t, "arrivals") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "pauseMs")) * time.Millisecond)
			d, others := c.Offer(now, Request{ID: strconv.Itoa(i)})
			apply(append(others, d))
		}
		capacity := max(1, perSecond*rateBurst.Seconds())
		for i, from := range starts {
			for n, at := range starts[i:] {
				if most := at.Sub(from).Seconds()*perSecond + capacity; float64(n+1) > most+1e-6 {
					t.Fatalf("%d starts in %v at %v a second", n+1, at.Sub(from), perSecond)
				}
			}
		}
	})
}

// Guards against a rate limit that is not used up, or is used up by unimportant calls.
func TestRateLimitShedsLowLevelsFirst(t *testing.T) {
	const perSecond, demand = 100, 300
	m := newMixedModel(25, time.Second, latencyWithin(0, 0, 0, 10*time.Millisecond), steady(demand))
	m.apply(m.ctl.SetRateLimit(m.Now(), perSecond))
	m.Run(10 * time.Second)
	all, answeredByLevel := m.sum(m.answeredInTime, 2, 10)
	_, offered := m.sum(m.offered, 2, 10)
	must.Greater(t, 0.95*8*perSecond, float64(all))
	must.Greater(t, 0.95*float64(offered[callctx.LevelCritical]), float64(answeredByLevel[callctx.LevelCritical]))
	must.Less(t, 30, answeredByLevel[callctx.LevelLow])
}

// Guards against refusals under a rate limit that demand stays below.
func TestRateLimitAboveDemandRefusesNothing(t *testing.T) {
	m := newMixedModel(25, time.Second, latencyWithin(0, 0, 0, 10*time.Millisecond), steady(60))
	m.apply(m.ctl.SetRateLimit(m.Now(), 100))
	m.Run(10 * time.Second)
	all, _ := m.sum(m.answeredInTime, 0, 10)
	demand, _ := m.sum(m.offered, 0, 10)
	must.Greater(t, 0.98*float64(demand), float64(all))
}

// Guards against a rate limit that stays in force after the upstream has stopped naming it, and
// against one that ends with a response that was overtaken by others.
func TestRateLimitEndsWhenUpstreamNamesNone(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(DefaultConfig(64), now)
	runs := func() int {
		n := 0
		for range 20 {
			c.seq++
			d, _ := c.Offer(now, Request{ID: strconv.FormatUint(c.seq, 10)})
			if d.Verdict == Run {
				n++
				c.Finish(now, d.ID, Answered, time.Millisecond)
			} else {
				c.Abandon(now, d.ID)
			}
		}
		return n
	}
	c.SetRateLimit(now, 1)
	c.LiftRateLimit(now)
	now = now.Add(rateLiftDelay / 2)
	c.SetRateLimit(now, 1)
	now = now.Add(rateLiftDelay)
	must.LessEq(t, 1, runs())
	c.LiftRateLimit(now)
	now = now.Add(rateLiftDelay)
	must.EqOp(t, 20, runs())
}

// Guards against an upstream that names a limit of 0 and gets no call in whose response it could
// name another one.
func TestRateLimitOfZeroLetsSingleCallsThrough(t *testing.T) {
	m := newMixedModel(25, time.Second, latencyWithin(0, 0, 0, 10*time.Millisecond), steady(100))
	m.apply(m.ctl.SetRateLimit(m.Now(), 0))
	m.Run(20 * time.Second)
	all, _ := m.sum(m.answeredInTime, 0, 20)
	must.Between(t, 5, all, 11)
}
