package retry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

func TestBudgetWithoutWindowAllowsAll(t *testing.T) {
	b := NewBudget(BudgetConfig{})
	for range 100 {
		must.True(t, b.TryRetry(time.Unix(1, 0)))
	}
}

func TestBudgetFloorAndRatio(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetConfig{Ratio: 0.2, Floor: 2, Window: 10 * time.Second})
	for range 50 {
		b.RecordFirstAttempt(now)
	}
	for i := range 7 {
		must.True(t, b.TryRetry(now), must.Sprintf("repeat %d", i))
	}
	must.False(t, b.TryRetry(now))
	later := now.Add(12 * time.Second)
	must.True(t, b.TryRetry(later))
	must.True(t, b.TryRetry(later))
	must.False(t, b.TryRetry(later), must.Sprint("the firsts have left the window"))
}

// event is what arrives at one of the guards of a service.
type event struct {
	at     time.Time
	repeat bool
}

// Guards against repeats beyond the budget while guards come, go and restart.
func TestBudgetHoldsOverAllGuards(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		guards := rapid.IntRange(1, 6).Draw(t, "guards")
		ratio := rapid.Float64Range(0, 0.5).Draw(t, "ratio")
		floor := rapid.Float64Range(0, 60).Draw(t, "floor")
		cfg := BudgetConfig{Ratio: ratio, Floor: floor / float64(guards), Window: window}
		budgets := make([]*Budget, guards)
		for i := range budgets {
			budgets[i] = NewBudget(cfg)
		}
		now := time.Unix(5000, 0)
		var seen []event
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, guards-1).Draw(t, "guard")]
			repeat := rapid.Bool().Draw(t, "repeat")
			if !repeat {
				b.RecordFirstAttempt(now)
			}
			if repeat && !b.TryRetry(now) {
				continue
			}
			seen = append(seen, event{now, repeat})
		}
		checkWindows(t, seen, window, ratio, floor)
	})
}

// checkWindows looks at the window that ends with each repeat: the sum is
// greatest there. A repeat follows its first by up to a window, so firsts count
// over that window, the one before it or the one half a window before it,
// whichever has most.
func checkWindows(t *rapid.T, seen []event, window time.Duration, ratio, floor float64) {
	for i, end := range seen {
		if !end.repeat {
			continue
		}
		repeats := 0
		var firsts [3]int
		for _, e := range seen[:i+1] {
			age := end.at.Sub(e.at)
			if e.repeat && age < window {
				repeats++
			}
			for k := range firsts {
				shift := time.Duration(k) * window / 2
				if !e.repeat && age >= shift && age < shift+window {
					firsts[k]++
				}
			}
		}
		if float64(repeats) > ratio*float64(slices.Max(firsts[:]))+floor+1e-9 {
			t.Fatalf("%d repeats with %v firsts in the window that ends at %v", repeats, firsts, end.at)
		}
	}
}
