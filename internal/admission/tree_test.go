package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// mid is a rank in the middle of the normal level.
var mid = Rank(callctx.LevelNormal, 1<<31)

// Guards against requests that are run by three services and then fail at the deepest.
func TestTreeGateRefusesWhatWouldFail(t *testing.T) {
	var g TreeGate
	rng := rand.New(rand.NewPCG(1, 2))
	now := time.Unix(1000, 0)
	sent, failed, refused := 0, 0, 0
	for i := range 4000 {
		now = now.Add(2 * time.Millisecond)
		hash := rng.Uint32()
		rank := Rank(callctx.LevelNormal, hash)
		if g.Admit(now, callctx.LevelNormal, hash, time.Second, rng.Float64(), rng.Float64()) != nil {
			refused++
			continue
		}
		g.ObserveThreshold(now, mid)
		if i < 500 {
			continue
		}
		sent++
		if rank >= mid {
			failed++
		}
	}
	must.Less(t, 0.05, float64(failed)/float64(sent))
	must.Between(t, 0.4, float64(refused)/4000, 0.6)
}

// A more important level must not feel that a less important one is shed.
func TestTreeGateLetsMoreImportantPass(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	for range 100 {
		g.ObserveThreshold(now, mid)
	}
	for _, hash := range []uint32{0, 1 << 31, 1<<32 - 1} {
		must.Nil(t, g.Admit(now, callctx.LevelHigh, hash, time.Second, 0.5, 0.5))
	}
	must.NotNil(t, g.Admit(now, callctx.LevelLow, 0, time.Second, 0.5, 0.5))
}

// The deepest service has room again. Answers say so, and the gate opens; when no
// answers come at all it opens by itself.
func TestTreeGateOpens(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	for range 100 {
		g.ObserveThreshold(now, mid)
	}
	old := now.Add(treeAge + time.Millisecond)
	must.EqOp(t, uint32(nothingShed), g.Threshold(old))
	for range 100 {
		g.ObserveThreshold(now, nothingShed)
	}
	must.Nil(t, g.Admit(now, callctx.LevelNormal, 1<<31, time.Second, 0.5, 0.5))
}

// A refused caller is told to come back while its answer can still be in time,
// and not all of them at once.
func TestTreeGatePausesWithinTheObjective(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	for range 100 {
		g.ObserveThreshold(now, 0)
	}
	first := g.Admit(now, callctx.LevelNormal, 0, time.Second, 0.5, 0)
	last := g.Admit(now, callctx.LevelNormal, 0, time.Second, 0.5, 0.99)
	must.EqOp(t, 100*time.Millisecond, first.RetryAfter)
	must.Between(t, 500*time.Millisecond, last.RetryAfter, 600*time.Millisecond)
}
