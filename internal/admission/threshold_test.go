package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// Guards against refusing critical calls while calls above the threshold occupy the slots.
func TestCallsAboveThresholdDoNotDisplaceCriticalCalls(t *testing.T) {
	cfg := DefaultConfig(25)
	slow := func(*model, *modelCall) time.Duration { return 800 * time.Millisecond }
	m := newModel(cfg, slow)
	const criticalRate, normalRate = 33, 120 // per second; 25 slots serve 31
	arrive := func(level callctx.Level, rate float64) {
		var next func()
		next = func() {
			m.offer(Request{Level: level, CallerHash: m.rng.Uint32(), Depth: 1, Deadline: m.Now().Add(2 * time.Second)})
			m.After(time.Duration(m.rng.ExpFloat64()/rate*float64(time.Second)), next)
		}
		next()
	}
	arrive(callctx.LevelCritical, criticalRate)
	arrive(callctx.LevelNormal, normalRate)
	m.Run(30 * time.Second)
	critical, normal := 0, 0
	for second := 10; second < 30; second++ {
		critical += countsIn(m.answeredInTime, second)[callctx.LevelCritical]
		normal += countsIn(m.answeredInTime, second)[callctx.LevelNormal]
	}
	must.Greater(t, 20*25, critical, must.Sprintf("%d normal calls were answered", normal))
	must.Greater(t, 20*28, critical+normal)
}
