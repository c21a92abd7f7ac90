package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
)

// newMixedModel offers calls of all four levels at equal rates.
func newMixedModel(slots int, timeout time.Duration, service func(*model, *modelCall) time.Duration, rate func(time.Duration) float64) *model {
	m := newModel(DefaultConfig(slots), service)
	for l := range callctx.Levels {
		m.stream(func(t time.Duration) float64 { return rate(t) / callctx.Levels }, m.request(callctx.Level(l), timeout))
	}
	return m
}

func latencyWithin(from, to time.Duration, inside, outside time.Duration) func(*model, *modelCall) time.Duration {
	return func(m *model, _ *modelCall) time.Duration {
		if e := m.Elapsed(); e >= from && e < to {
			return m.jittered(inside)
		}
		return m.jittered(outside)
	}
}

// Guards against a surge that reduces throughput or the success of critical calls, or that
// causes refusals after it has ended.
func TestSurgeShedsLowLevelsFirst(t *testing.T) {
	const capacity = 2500 // 25 slots, 10 ms
	m := newMixedModel(25, time.Second, latencyWithin(0, 0, 0, 10*time.Millisecond), func(e time.Duration) float64 {
		if e >= 3*time.Second && e < 7*time.Second {
			return 3 * capacity
		}
		return 0.6 * capacity
	})
	m.Run(10 * time.Second)
	all, answeredByLevel := m.sum(m.answeredInTime, 4, 7)
	_, offered := m.sum(m.offered, 4, 7)
	must.Greater(t, 0.95*3*capacity, float64(all))
	must.Greater(t, 0.98*float64(offered[callctx.LevelCritical]), float64(answeredByLevel[callctx.LevelCritical]))
	must.Less(t, 30, answeredByLevel[callctx.LevelLow])
	after, _ := m.sum(m.answeredInTime, 8, 10)
	demand, _ := m.sum(m.offered, 8, 10)
	must.Greater(t, 0.98*float64(demand), float64(after))
}

// Guards against a limit that falls because a deeper service is slow and latency rises.
func TestUniformSlowdownKeepsLimit(t *testing.T) {
	m := newMixedModel(25, time.Second, latencyWithin(3*time.Second, 12*time.Second, 200*time.Millisecond, 20*time.Millisecond), steady(800))
	lowestLimit := 25
	for s := range 15 {
		m.Run(time.Duration(s+1) * time.Second)
		lowestLimit = min(lowestLimit, m.ctl.Load().Limit)
	}
	must.GreaterEq(t, 18, lowestLimit)
	slowed, _ := m.sum(m.answeredInTime, 4, 12)
	must.Greater(t, int(0.85*125*8), slowed)
	must.Eq(t, 25, m.ctl.Load().Limit)
	after, _ := m.sum(m.answeredInTime, 13, 15)
	demand, _ := m.sum(m.offered, 13, 15)
	must.Greater(t, 0.97*float64(demand), float64(after))
}

// Guards against sending more calls than the upstream accepts, when it accepts fewer than it
// announced.
func TestLimitFollowsUpstreamShedding(t *testing.T) {
	m := newMixedModel(25, time.Second, latencyWithin(0, 0, 0, 10*time.Millisecond), steady(2000))
	shed := 0
	m.shedsCall = func(m *model) bool {
		e := m.Elapsed()
		full := e >= 3*time.Second && e < 8*time.Second && m.ctl.Load().InFlight > 10
		if full {
			shed++
		}
		return full
	}
	m.Run(8 * time.Second)
	must.Between(t, 6, m.ctl.Load().Limit, 12)
	must.Less(t, 250, shed) // of 10,000 offered
	m.Run(9200 * time.Millisecond)
	must.Eq(t, 25, m.ctl.Load().Limit)
}

// Guards against a limit that falls although an unhealthy upstream refuses calls at random, so
// that slots are idle.
func TestRefusalsAtRandomKeepLimit(t *testing.T) {
	for _, share := range []float64{0.3, 0.4, 0.55, 0.7} {
		for _, demand := range []float64{800, 1200, 2000} {
			m := newMixedModel(122, 2*time.Second, latencyWithin(0, 0, 0, 70*time.Millisecond), steady(demand))
			shedding := func() bool { return m.Elapsed() >= 3*time.Second && m.Elapsed() < 11*time.Second }
			m.shedsCall = func(m *model) bool { return shedding() && m.rng.Float64() < share }
			m.Run(11 * time.Second)
			answered, _ := m.sum(m.answeredInTime, 5, 11)
			must.Greater(t, 0.9*(1-share)*demand*6, float64(answered), must.Sprintf("share %.2f of %.0f calls/s", share, demand))
		}
	}
}

// Guards against classifying the refusals of an upstream that has lost most of its slots as
// random.
func TestLimitFollowsCollapsedUpstream(t *testing.T) {
	for _, x := range []struct{ capacity, sheds int }{
		{20, 2100}, // a quarter of the calls of 7 s
		{4, 8400},  // the minimum limit exceeds the capacity
	} {
		capacity, shed := x.capacity, 0
		m := newMixedModel(122, 2*time.Second, latencyWithin(0, 0, 0, 70*time.Millisecond), steady(1200))
		running := 0
		service := m.service
		m.service = func(m *model, c *modelCall) time.Duration {
			took := service(m, c)
			running++
			m.After(took, func() { running-- })
			return took
		}
		m.shedsCall = func(m *model) bool {
			full := m.Elapsed() >= 3*time.Second && running >= capacity
			if full && m.Elapsed() >= 5*time.Second {
				shed++
			}
			return full
		}
		for second := range 7 {
			m.Run(time.Duration(5+second) * time.Second)
			must.Between(t, 15, m.ctl.Load().Limit, 25, must.Sprintf("capacity %d, %v", capacity, m.Elapsed()))
		}
		must.Less(t, x.sheds, shed)
	}
}

// Guards against overload of an upstream that announces more slots than it has processors for.
func TestLimitFindsOverstatedSlots(t *testing.T) {
	m := newMixedModel(25, 2*time.Second, nil, func(e time.Duration) float64 {
		if e < 2*time.Second {
			return 300
		}
		return 1500
	})
	m.service = func(m *model, _ *modelCall) time.Duration {
		share := max(1, float64(m.ctl.Load().InFlight)/8)
		return m.jittered(time.Duration(share * float64(10*time.Millisecond)))
	}
	lowestLimit := 25
	for s := range 10 {
		m.Run(time.Duration(s+1) * time.Second)
		lowestLimit = min(lowestLimit, m.ctl.Load().Limit)
	}
	must.Less(t, 19, lowestLimit)
	all, _ := m.sum(m.answeredInTime, 4, 10)
	must.Greater(t, int(0.95*800*6), all)
}

// Guards against FIFO order under sustained overload, which answers all callers after their
// timeout.
func TestNewestFirstUnderSustainedOverload(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig(1)
	cfg.QueueLimit = 10
	c := New(cfg, now)
	offer := func(id string) Decision {
		d, _ := c.Offer(now, Request{ID: id, Level: callctx.LevelNormal, RootAdmitted: now})
		return d
	}
	must.Eq(t, Run, offer("running").Verdict)
	for i := range 5 {
		now = now.Add(time.Millisecond)
		must.Eq(t, Wait, offer(string(rune('a'+i))).Verdict)
	}
	started := c.Finish(now, "running", Answered, time.Millisecond)
	must.Eq(t, []Decision{{ID: "a", Verdict: Run}}, started)
	now = now.Add(150 * time.Millisecond)
	c.Tick(now)
	now = now.Add(110 * time.Millisecond)
	c.Tick(now)
	must.True(t, c.Load().Overloaded)
	started = c.Finish(now, "a", Answered, time.Millisecond)
	must.Eq(t, []Decision{{ID: "e", Verdict: Run}}, started)
	for _, id := range []string{"b", "c", "d"} {
		c.Abandon(now, id)
	}
	now = now.Add(110 * time.Millisecond)
	c.Tick(now)
	now = now.Add(110 * time.Millisecond)
	c.Tick(now)
	must.False(t, c.Load().Overloaded)
}

// Guards against shedding that refuses some calls of every caller, so that no caller gets a
// complete result.
func TestCallersAreShedAsAWhole(t *testing.T) {
	m := newModel(DefaultConfig(25), latencyWithin(0, 0, 0, 10*time.Millisecond))
	offered := map[uint32]int{}
	callers := make([]uint32, 16)
	for i := range callers {
		callers[i] = uint32(i)<<28 | 1<<27
	}
	next := 0
	m.stream(steady(5000), func() Request {
		hash := callers[next%len(callers)]
		next++
		offered[hash]++
		return Request{Level: callctx.LevelNormal, CallerHash: hash, Deadline: m.Now().Add(time.Second)}
	})
	m.Run(2 * time.Second)
	clear(offered)
	clear(m.refused)
	m.Run(6 * time.Second)
	mostlyServed, mostlyRefused, partlyServed := 0, 0, 0
	for _, hash := range callers {
		switch share := float64(m.refused[hash]) / float64(offered[hash]); {
		case share < 0.05:
			mostlyServed++
		case share > 0.95:
			mostlyRefused++
		default:
			partlyServed++
		}
	}
	must.GreaterEq(t, 6, mostlyServed)
	must.GreaterEq(t, 6, mostlyRefused)
	must.LessEq(t, 3, partlyServed, must.Sprintf("callers mostly served %d, mostly refused %d, partly served %d", mostlyServed, mostlyRefused, partlyServed))
}

// Guards against an outdated estimate of the service time that refuses all calls permanently.
func TestProbesCorrectStaleEstimate(t *testing.T) {
	m := newMixedModel(25, 100*time.Millisecond, latencyWithin(3*time.Second, 8*time.Second, 200*time.Millisecond, 20*time.Millisecond), steady(800))
	started := 0
	service := m.service
	m.service = func(m *model, c *modelCall) time.Duration {
		started++
		return service(m, c)
	}
	m.Run(6 * time.Second) // 2.5 generations of samples
	started = 0
	m.Run(8 * time.Second)
	must.Between(t, 3, started, 40) // only probes, of 1,600 offered
	m.Run(11 * time.Second)
	answered, _ := m.sum(m.answeredInTime, 9, 11)
	demand, _ := m.sum(m.offered, 9, 11)
	must.Greater(t, 0.97*float64(demand), float64(answered))
}

// Guards against fast calls that are refused permanently because only slow calls are measured.
func TestProbesAdmitFastCallsAgain(t *testing.T) {
	m := newModel(DefaultConfig(25), nil)
	fastRequest := func() Request {
		return Request{Level: callctx.LevelHigh, CallerHash: m.rng.Uint32(), Deadline: m.Now().Add(50 * time.Millisecond)}
	}
	m.stream(steady(100), m.request(callctx.LevelHigh, 2*time.Second))
	m.stream(func(e time.Duration) float64 {
		if e < 3*time.Second {
			return 0
		}
		return 200
	}, fastRequest)
	m.service = func(m *model, c *modelCall) time.Duration {
		if c.req.Deadline.Sub(m.Now()) <= 50*time.Millisecond {
			return m.jittered(10 * time.Millisecond)
		}
		return m.jittered(100 * time.Millisecond)
	}
	m.Run(8 * time.Second)
	_, answeredByLevel := m.sum(m.answeredInTime, 5, 8)
	must.Greater(t, int(0.95*300*3), answeredByLevel[callctx.LevelHigh])
}

// Guards against refusing a critical call while calls of low importance wait in the queue.
func TestImportantCallDisplacesLeastImportant(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	cfg := DefaultConfig(1)
	cfg.QueueLimit = 2
	c := New(cfg, now)
	c.Offer(now, Request{ID: "runs", Level: callctx.LevelLow})
	c.Offer(now, Request{ID: "deep", Level: callctx.LevelLow, Depth: 2})
	c.Offer(now, Request{ID: "root", Level: callctx.LevelLow})
	d, others := c.Offer(now, Request{ID: "officer", Level: callctx.LevelCritical})
	must.Eq(t, Wait, d.Verdict)
	must.Len(t, 1, others)
	must.Eq(t, "root", others[0].ID)
	must.Eq(t, result.Shed, others[0].Refusal.Code)
	must.Positive(t, others[0].Refusal.RetryAfter)
	must.Eq(t, []Decision{{ID: "officer", Verdict: Run}}, c.Finish(now, "runs", Answered, time.Millisecond))
}

// Guards against a drain that aborts running calls, or that leaves waiting or new calls without
// an immediate refusal that states that they were not run.
func TestDrainRefusesWaitingAndNewCalls(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	c := New(DefaultConfig(1), now)
	c.Offer(now, Request{ID: "runs"})
	c.Offer(now, Request{ID: "waits"})
	out := c.Drain(now)
	must.Len(t, 1, out)
	must.Eq(t, result.Draining, out[0].Refusal.Code)
	d, _ := c.Offer(now, Request{ID: "late"})
	must.Eq(t, result.Draining, d.Refusal.Code)
	must.Eq(t, Load{InFlight: 1, Limit: 1, Threshold: openThreshold, Draining: true}, c.Load())
	must.SliceEmpty(t, c.Finish(now, "runs", Answered, time.Millisecond))
	must.Eq(t, 0, c.Load().InFlight)
}
