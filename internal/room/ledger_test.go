package room

import (
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// saturated returns a scarce ledger for an upstream with the given slots, all of which are in use.
func saturated(slots int) (*Ledger, time.Time) {
	now := time.Unix(1000, 0)
	l := NewLedger(now, 1)
	for range 20 {
		now = now.Add(interval)
		l.Update(now, Load{Slots: float64(slots), Busy: slots})
	}
	return l, now
}

// Guards against promises beyond the rate of the slots times the ratio plus the burst, against negative
// sums, and against state without a bound, whatever arrives.
func TestLedgerKeepsItsBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 16
		l, now := saturated(slots)
		began, before := now, l.counters.Promised
		for range rapid.IntRange(50, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 30).Draw(t, "ms")) * time.Millisecond)
			kind := rapid.Uint32Range(1, 200).Draw(t, "kind")
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				a := l.Ask(now, &Request{Kind: kind, Rank: rapid.Uint32().Draw(t, "rank"), GrantedShare: rapid.Float64Range(-1, 1).Draw(t, "share"), Objective: time.Second}, 0.5)
				must.EqOp(t, a.Granted, a.Reason == "")
				must.True(t, a.Granted || a.RetryAfter >= minRetryAfter)
			case 2:
				age := time.Duration(rapid.IntRange(0, 5000).Draw(t, "age")) * time.Millisecond
				l.CallEnded(now, &Call{Kind: kind % 3, Deep: true, First: kind%4 == 0, RootAge: age, SlotTime: 50 * time.Millisecond, Shed: kind%7 == 0})
			case 3:
				l.Update(now, Load{Slots: slots, Busy: slots, Queued: rapid.IntRange(0, 40).Draw(t, "queued"), TreesFail: kind%50 == 0})
			}
			must.True(t, l.tight)
			must.LessEq(t, maxKinds+1, len(l.kinds))
			must.False(t, math.IsNaN(l.rate) || math.IsNaN(l.tokens))
			for _, k := range l.kinds {
				must.True(t, k.granted >= 0 && k.used >= 0 && k.unused() >= 0)
			}
			highest := slots * (1 + idleShare) * l.overcommit * maxCorrection
			allowed := highest*now.Sub(began).Seconds() + 3*max(highest*burstTime, burstTrees*maxCost(l))
			must.LessEq(t, allowed, l.counters.Promised-before)
		}
	})
}

// maxCost returns the cost of the most expensive kind, at least the assumed one.
func maxCost(l *Ledger) float64 {
	cost := max(l.assumed, 1)
	for _, k := range l.kinds {
		cost = max(cost, k.cost(l.assumed))
	}
	return cost
}

// Guards against promises that are held for trees that never come: their grants make room again.
func TestGrantsOfTreesThatNeverComeExpire(t *testing.T) {
	l, now := saturated(16)
	for range 2000 {
		now = now.Add(5 * time.Millisecond)
		l.Update(now, Load{Slots: 16, Busy: 16})
		l.Ask(now, &Request{Kind: 1, Rank: 1, GrantedShare: -1, Objective: time.Second}, 0.5)
	}
	s := l.State(now)
	must.Positive(t, s.Unused)
	must.LessEq(t, minCostShare*l.assumed+0.001, s.Kinds[0].Cost)
	now = now.Add(pendingIntervals * interval)
	must.EqOp(t, 0, l.State(now).Promised)
}

// Guards against a restarted guard that counts the calls of trees which its predecessor let in as the
// use of its own grants.
func TestCallsOfTreesFromBeforeTheStartCostNoGrant(t *testing.T) {
	now := time.Unix(1000, 0)
	l := NewLedger(now, 1)
	now = now.Add(100 * time.Millisecond)
	l.CallEnded(now, &Call{Kind: 1, Deep: true, RootAge: 300 * time.Millisecond, SlotTime: 50 * time.Millisecond})
	must.MapEmpty(t, l.kinds)
}

// Guards against refusing important trees because less important ones took the room first.
func TestMoreImportantTreesGoFirst(t *testing.T) {
	l, now := saturated(16)
	granted := map[uint32]int{}
	for range 8000 {
		now = now.Add(500 * time.Microsecond)
		l.Update(now, Load{Slots: 16, Busy: 16})
		for _, rank := range []uint32{1 << 29, 3 << 30} {
			if l.Ask(now, &Request{Kind: 1, Rank: rank, GrantedShare: -1, Objective: time.Second}, 0.5).Granted {
				granted[rank]++
			}
		}
	}
	must.Greater(t, 20*granted[3<<30], granted[1<<29])
}

// Guards against a service that goes on being asked after it is no longer scarce.
func TestServiceIsNotScarceWithIdleSlots(t *testing.T) {
	l, now := saturated(16)
	must.True(t, l.Tight())
	for range 60 {
		now = now.Add(interval)
		l.Update(now, Load{Slots: 16, Busy: 2})
	}
	must.False(t, l.Tight())
	a := l.Ask(now, &Request{Kind: 1, Rank: math.MaxUint32 - 1, GrantedShare: -1, Objective: time.Second}, 0.5)
	var g Gate
	g.Named(now)
	g.Answered(now, &a)
	must.True(t, a.Granted)
	must.False(t, g.Asks(now))
}

// Guards against asking a guard that doesn't answer, request after request.
func TestUnresponsiveGuardIsSkipped(t *testing.T) {
	var g Gate
	now := time.Unix(1000, 0)
	g.Unanswered(now, "a")
	must.True(t, g.Skips(now, "a"))
	must.False(t, g.Skips(now, "b"))
	must.False(t, g.Skips(now.Add(unresponsiveFor), "a"))
}

// Guards against an advance that takes as long as the guard was idle.
func TestLongIdleTimeIsSkipped(t *testing.T) {
	l, now := saturated(16)
	l.Ask(now, &Request{Kind: 1, Rank: 1}, 0)
	now = now.Add(1000 * time.Hour)
	l.Ask(now, &Request{Kind: 1, Rank: 1}, 0)
	must.Less(t, interval, now.Sub(l.currentStart))
}

func BenchmarkAsk(b *testing.B) {
	l, now := saturated(120)
	r := &Request{Kind: 1, Objective: time.Second}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(200 * time.Microsecond)
		r.Kind, r.Rank = uint32(i%32)+1, uint32(i)*2654435761
		l.Ask(now, r, 0.5)
	}
}
