package admission

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/callctx"
)

// randomShedding is a model of a deep service that sheds half of its calls from
// shedFrom to shedUntil. Two of its routes are trees; the third one calls it directly.
func randomShedding(entries int) *treeModel {
	const guards, slots = 12, 39
	capacity := float64(guards*slots) / meanCallDuration.Seconds()
	f := newTreeModel(entries, guards, slots, []treeRoute{
		{level: callctx.LevelNormal, rate: 0.05 * capacity, calls: 4, work: 250 * time.Millisecond, worth: 1, timeout: 2 * time.Second},
		{level: callctx.LevelCritical, rate: 0.02 * capacity, calls: 8, work: 250 * time.Millisecond, worth: 3, timeout: 2 * time.Second},
		{level: callctx.LevelHigh, rate: 0.04 * capacity, worth: 2, timeout: time.Second},
	})
	f.shedShare = func() float64 {
		if at := f.model.Elapsed(); at >= shedFrom && at < shedUntil {
			return 0.5
		}
		return 0
	}
	return f
}

const shedFrom, shedUntil = 10 * time.Second, 18 * time.Second

// Guards against trees that are let in and fail while an upstream behind them sheds calls at random.
func TestTreesAreRefusedEarlyWhileFewComplete(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		f := randomShedding(entries)
		f.countFrom = shedFrom + 2*time.Second
		f.run(shedUntil)
		for r := range 2 {
			n := f.tally[r]
			must.Less(t, 0.25*float64(n.requested), float64(n.failed), must.Sprintf("%d entries, route %d: %+v", entries, r, n))
		}
		direct := f.tally[2]
		must.Greater(t, 0.45*float64(direct.requested), float64(direct.completed), must.Sprintf("%d entries: %+v", entries, direct))
	}
}

// Guards against entries that go on refusing trees after the upstream accepts calls again.
func TestTreesAreAdmittedAfterRandomShedding(t *testing.T) {
	for _, entries := range []int{4, 40, 400} {
		f := randomShedding(entries)
		f.countFrom = shedUntil + 2*time.Second
		f.run(shedUntil + 8*time.Second)
		for r, n := range f.tally {
			must.Greater(t, 0.95*float64(n.requested), float64(n.completed), must.Sprintf("%d entries, route %d: %+v", entries, r, n))
		}
	}
}

// Guards against refusing trees of an upstream that sheds too few calls to make most of them fail.
func TestTreesAreAdmittedWhileMostComplete(t *testing.T) {
	var o treeOutlook
	for range 100 {
		o.offered(false, false)
		o.offered(true, false)
	}
	o.started, o.shed = 100, 10
	must.Between(t, 0.8, o.completion(), 0.82)
	o.shed = 60
	must.Less(t, minTreeCompletion, o.completion())
	o.started, o.shed = 4, 4
	must.EqOp(t, 1, o.completion())
}

// Guards against a restarted guard that lets trees in again, because it has seen no tree complete.
func TestTreesAreRefusedAfterRestartOfGuard(t *testing.T) {
	var o treeOutlook
	must.EqOp(t, 1, o.completion())
	o.started, o.shed = 100, 55
	for range 20 {
		o.offered(false, true)
		o.offered(true, true)
		o.callShed(true)
	}
	must.Less(t, minTreeCompletion, o.completion())
	for range 10 {
		o.offered(false, true)
	}
	must.GreaterEq(t, minTreeCompletion, o.completion())
}
