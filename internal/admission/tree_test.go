package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// midNormalRank is the rank in the middle of the normal level.
var midNormalRank = Rank(callctx.LevelNormal, 1<<31)

// Guards against requests that three services process before the deepest service refuses them.
func TestTreeGateRefusesRequestsThatWouldFail(t *testing.T) {
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
		g.ObserveThreshold(now, midNormalRank)
		if i < 500 {
			continue
		}
		sent++
		if rank >= midNormalRank {
			failed++
		}
	}
	must.Less(t, 0.05, float64(failed)/float64(sent))
	must.Between(t, 0.4, float64(refused)/4000, 0.6)
}

// Guards against refusing requests of a more important level because a less important one is
// shed.
func TestTreeGateAdmitsMoreImportantLevel(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	for range 100 {
		g.ObserveThreshold(now, midNormalRank)
	}
	for _, hash := range []uint32{0, 1 << 31, 1<<32 - 1} {
		must.Nil(t, g.Admit(now, callctx.LevelHigh, hash, time.Second, 0.5, 0.5))
	}
	must.NotNil(t, g.Admit(now, callctx.LevelLow, 0, time.Second, 0.5, 0.5))
}

// Guards against a gate that stays closed after the deepest service has capacity again: it must
// open when responses report it, and also when no responses arrive.
func TestTreeGateOpens(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	for range 100 {
		g.ObserveThreshold(now, midNormalRank)
	}
	stale := now.Add(treeStaleAge + time.Millisecond)
	must.Nil(t, g.Admit(stale, callctx.LevelNormal, 1<<31, time.Second, 0.5, 0.5))
	must.NotNil(t, g.Admit(stale, callctx.LevelNormal, 1<<31, time.Second, 0.5, 0.5))
	must.Nil(t, g.Admit(stale.Add(treeStaleProbeInterval+time.Millisecond), callctx.LevelNormal, 1<<31, time.Second, 0.5, 0.5))
	expired := now.Add(treeMaxAge + time.Millisecond)
	must.EqOp(t, uint32(openThreshold), g.Threshold(expired))
	for range 100 {
		g.ObserveThreshold(now, openThreshold)
	}
	must.Nil(t, g.Admit(now, callctx.LevelNormal, 1<<31, time.Second, 0.5, 0.5))
}

// Guards against a retry delay that is too long for a response within the objective, and against
// all refused callers retrying at once.
func TestTreeGateRetryAfterIsWithinObjective(t *testing.T) {
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

// Guards against callers who are told to come back at once, again and again, while no tree completes.
func TestTreeGateRetryAfterGrowsWhileTreesFail(t *testing.T) {
	var g TreeGate
	start := time.Unix(1000, 0)
	retryAfter := func(now time.Time) time.Duration {
		return g.Admit(now, callctx.LevelLow, 1<<32-1, time.Second, 0.5, 0).RetryAfter
	}
	for i := range 80 {
		g.ObserveThreshold(start.Add(time.Duration(i)*100*time.Millisecond), 0)
	}
	now := start.Add(8 * time.Second)
	must.Between(t, 8*time.Second, retryAfter(now), 9*time.Second)
	for range 6 {
		g.ObserveThreshold(now, midNormalRank)
	}
	must.Less(t, time.Second, retryAfter(now))
}

// Guards against requests that are refused after the trees complete again, until the average of the
// threshold has risen.
func TestTreeGateOpensAtOnceWhenTreesComplete(t *testing.T) {
	var g TreeGate
	now := time.Unix(1000, 0)
	g.ObserveThreshold(now, openThreshold)
	for range 30 {
		g.ObserveThreshold(now, 0)
	}
	must.EqOp(t, 0, g.Threshold(now))
	for range 5 {
		g.ObserveThreshold(now, openThreshold)
	}
	must.EqOp(t, uint32(openThreshold), g.Threshold(now))
}
