package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// deepCalls offers calls of running requests, as received by the deepest service of a chain.
func (m *model) deepCalls(level callctx.Level, rate float64, timeout time.Duration) {
	request := m.request(level, timeout)
	m.stream(steady(rate), func() Request {
		r := request()
		r.Depth = 3
		return r
	})
}

// Guards against a limit of few slots that falls to its minimum because the upstream refuses
// calls at random.
func TestRefusalsAtRandomKeepLimitOfFewSlots(t *testing.T) {
	for _, share := range []float64{0.3, 0.45, 0.55, 0.7} {
		for _, demand := range []float64{100, 170, 250} {
			m := newModel(DefaultConfig(16), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
			m.deepCalls(callctx.LevelCritical, demand/2, 700*time.Millisecond)
			m.deepCalls(callctx.LevelNormal, demand/2, 700*time.Millisecond)
			shedding := func() bool { return m.Elapsed() >= 3*time.Second && m.Elapsed() < 11*time.Second }
			m.shedsCall = func(m *model) bool { return shedding() && m.rng.Float64() < share }
			m.Run(11 * time.Second)
			answered, _ := m.sum(m.answeredInTime, 5, 11)
			must.Greater(t, 0.9*(1-share)*demand*6, float64(answered), must.Sprintf("share %.2f of %.0f calls/s", share, demand))
		}
	}
}

// Guards against a limit that is still low when callers retry, 1 s after the last random
// refusal. The refusals follow an overload that kept all slots in use.
func TestLimitRecoversAfterRefusalsAtRandom(t *testing.T) {
	m := newModel(DefaultConfig(16), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
	m.deepCalls(callctx.LevelNormal, 400, 700*time.Millisecond)
	m.shedsCall = func(m *model) bool {
		return m.Elapsed() >= 6*time.Second && m.Elapsed() < 14*time.Second && m.rng.Float64() < 0.55
	}
	m.Run(15 * time.Second)
	must.GreaterEq(t, 15, m.ctl.Load().Limit) // a trial of the reserve may hold one slot
}

// Guards against a limit that stays low after random refusals of slow calls. Refusals are known
// at once, but accepted calls only when they end.
func TestRefusalsAtRandomOfSlowCallsKeepLimit(t *testing.T) {
	m := newModel(DefaultConfig(37), func(m *model, _ *modelCall) time.Duration { return m.jittered(1300 * time.Millisecond) })
	m.deepCalls(callctx.LevelNormal, 40, 4*time.Second)
	m.shedsCall = func(m *model) bool { return m.Elapsed() >= 4*time.Second && m.rng.Float64() < 0.5 }
	m.Run(16 * time.Second)
	answered, _ := m.sum(m.answeredInTime, 9, 16)
	must.Greater(t, 0.9*0.5*40*7, float64(answered))
}

// slowWhenFull simulates an upstream that becomes slower as its last slots fill: calls that
// start while more than 95 % of the slots are in use take 1.3 times as long.
func slowWhenFull(slots int, normal time.Duration) func(*model, *modelCall) time.Duration {
	return func(m *model, _ *modelCall) time.Duration {
		duration := m.jittered(normal)
		if float64(m.ctl.Load().InFlight) > 0.95*float64(slots) {
			duration = time.Duration(1.3 * float64(duration))
		}
		return duration
	}
}

// Guards against lost throughput at an upstream that becomes slower as its last slots fill. The
// reserve must leave these slots empty.
func TestReserveKeepsThroughputOfUpstreamSlowWhenFull(t *testing.T) {
	for _, slots := range []int{16, 29, 122} {
		rate := func(limit int) float64 { return float64(limit) / 0.055 }
		best := rate(int(0.95 * float64(slots)))
		m := newModel(DefaultConfig(slots), slowWhenFull(slots, 55*time.Millisecond))
		m.deepCalls(callctx.LevelCritical, 0.6*best, 700*time.Millisecond)
		m.deepCalls(callctx.LevelNormal, 0.75*best, 700*time.Millisecond)
		m.Run(20 * time.Second)
		answered, _ := m.sum(m.answeredInTime, 3, 20)
		must.Greater(t, 0.95*best*17, float64(answered), must.Sprintf("%d slots", slots))
	}
}

// Guards against trials of the reserve that cost more than 1 response in 50, at an upstream that
// is equally fast with all slots in use.
func TestReserveTrialsCostLittleThroughput(t *testing.T) {
	for _, slots := range []int{16, 29, 122} {
		best := float64(slots) / 0.055
		m := newModel(DefaultConfig(slots), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
		m.deepCalls(callctx.LevelCritical, 0.6*best, 700*time.Millisecond)
		m.deepCalls(callctx.LevelNormal, 0.75*best, 700*time.Millisecond)
		m.Run(20 * time.Second)
		answered, _ := m.sum(m.answeredInTime, 3, 20)
		must.Greater(t, 0.98*best*17, float64(answered), must.Sprintf("%d slots", slots))
	}
}
