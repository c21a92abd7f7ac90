package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// deepCalls offers calls made by running requests, as the deepest service of a
// chain gets them.
func (m *model) deepCalls(level callctx.Level, rate float64, timeout time.Duration) {
	request := m.request(level, timeout)
	m.stream(steady(rate), func() Request {
		r := request()
		r.Depth = 3
		return r
	})
}

// Guards against a limit of few slots that follows random refusals down to its least.
func TestRefusalsAtRandomKeepLimitOfFewSlots(t *testing.T) {
	for _, share := range []float64{0.3, 0.45, 0.55, 0.7} {
		for _, demand := range []float64{100, 170, 250} {
			m := newModel(DefaultConfig(16), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
			m.deepCalls(callctx.LevelCritical, demand/2, 700*time.Millisecond)
			m.deepCalls(callctx.LevelNormal, demand/2, 700*time.Millisecond)
			ill := func() bool { return m.Elapsed() >= 3*time.Second && m.Elapsed() < 11*time.Second }
			m.sheds = func(m *model) bool { return ill() && m.rng.Float64() < share }
			m.Run(11 * time.Second)
			answered, _ := m.sum(m.good, 5, 11)
			must.Greater(t, 0.9*(1-share)*demand*6, float64(answered), must.Sprintf("share %.2f of %.0f calls/s", share, demand))
		}
	}
}

// The same, right after an overload that kept all slots in use. The limit must be
// back within a second of the last refusal, since callers come back by then.
func TestLimitIsBackAfterRefusalsAtRandom(t *testing.T) {
	m := newModel(DefaultConfig(16), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
	m.deepCalls(callctx.LevelNormal, 400, 700*time.Millisecond)
	m.sheds = func(m *model) bool {
		return m.Elapsed() >= 6*time.Second && m.Elapsed() < 14*time.Second && m.rng.Float64() < 0.55
	}
	m.Run(15 * time.Second)
	must.GreaterEq(t, 15, m.ctl.Load().Limit) // one slot may be on trial
}

// Guards against random refusals of slow calls, known late, that hold the limit down.
func TestRefusalsAtRandomOfSlowCallsKeepLimit(t *testing.T) {
	m := newModel(DefaultConfig(37), func(m *model, _ *modelCall) time.Duration { return m.jittered(1300 * time.Millisecond) })
	m.deepCalls(callctx.LevelNormal, 40, 4*time.Second)
	m.sheds = func(m *model) bool { return m.Elapsed() >= 4*time.Second && m.rng.Float64() < 0.5 }
	m.Run(16 * time.Second)
	answered, _ := m.sum(m.good, 9, 16)
	must.Greater(t, 0.9*0.5*40*7, float64(answered))
}

// slowWhenFull answers like an upstream that gets slower as its last slots fill: calls
// that begin beside more than 95 % of the slots take 1.3 times as long.
func slowWhenFull(slots int, usual time.Duration) func(*model, *modelCall) time.Duration {
	return func(m *model, _ *modelCall) time.Duration {
		took := m.jittered(usual)
		if float64(m.ctl.Load().InFlight) > 0.95*float64(slots) {
			took = time.Duration(1.3 * float64(took))
		}
		return took
	}
}

// Guards against lost throughput at an upstream that slows as its last slots fill.
func TestLimitLeavesTheSlotsThatSlowTheOthers(t *testing.T) {
	for _, slots := range []int{16, 29, 122} {
		rate := func(limit int) float64 { return float64(limit) / 0.055 }
		best := rate(int(0.95 * float64(slots)))
		m := newModel(DefaultConfig(slots), slowWhenFull(slots, 55*time.Millisecond))
		m.deepCalls(callctx.LevelCritical, 0.6*best, 700*time.Millisecond)
		m.deepCalls(callctx.LevelNormal, 0.75*best, 700*time.Millisecond)
		m.Run(20 * time.Second)
		answered, _ := m.sum(m.good, 3, 20)
		must.Greater(t, 0.95*best*17, float64(answered), must.Sprintf("%d slots", slots))
	}
}

// The same load at an upstream that is as quick with all slots in use: what the guard
// tries must not cost more than one answer in fifty.
func TestLimitKeepsAllSlotsThatHelp(t *testing.T) {
	for _, slots := range []int{16, 29, 122} {
		best := float64(slots) / 0.055
		m := newModel(DefaultConfig(slots), func(m *model, _ *modelCall) time.Duration { return m.jittered(55 * time.Millisecond) })
		m.deepCalls(callctx.LevelCritical, 0.6*best, 700*time.Millisecond)
		m.deepCalls(callctx.LevelNormal, 0.75*best, 700*time.Millisecond)
		m.Run(20 * time.Second)
		answered, _ := m.sum(m.good, 3, 20)
		must.Greater(t, 0.98*best*17, float64(answered), must.Sprintf("%d slots", slots))
	}
}
