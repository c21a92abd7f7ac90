package retry

import (
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// Guards against a disabled budget that refuses retries.
func TestBudgetWithoutWindowAllowsAll(t *testing.T) {
	b := NewBudget(BudgetConfig{})
	for range 100 {
		must.True(t, b.TryRetry(time.Unix(1, 0)))
	}
}

// Guards against a budget that counts first attempts which have left the window. With 50 first
// attempts it allows guardRatioFactor*Ratio*50 + Floor = 7 retries, and only Floor = 2 once they
// have left the window.
func TestBudgetFloorAndRatio(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBudget(BudgetConfig{Ratio: 0.2, Floor: 2, Window: 10 * time.Second})
	for range 50 {
		b.RecordFirstAttempt(now)
	}
	for i := range 7 {
		must.True(t, b.TryRetry(now), must.Sprintf("retry %d", i))
	}
	must.False(t, b.TryRetry(now))
	later := now.Add(12 * time.Second)
	must.True(t, b.TryRetry(later))
	must.True(t, b.TryRetry(later))
	must.False(t, b.TryRetry(later), must.Sprint("the first attempts have left the window"))
}

// attempt is an attempt that arrives at one of the guards of a service.
type attempt struct {
	at      time.Time
	isRetry bool
}

// Guards against retries in excess of the service's budget: each guard sees only a part of the
// attempts, and their windows start and end at different times.
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
		var attempts []attempt
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, guards-1).Draw(t, "guard")]
			isRetry := rapid.Bool().Draw(t, "repeat")
			if !isRetry {
				b.RecordFirstAttempt(now)
			}
			if isRetry && !b.TryRetry(now) {
				continue
			}
			attempts = append(attempts, attempt{now, isRetry})
		}
		checkWindows(t, attempts, window, ratio, floor)
	})
}

// checkWindows checks the window that ends at each retry, where the sum of retries is greatest. A
// retry follows its first attempt by up to one window. First attempts are therefore counted in
// three windows: the one that ends at the retry, and those that end half a window and one window
// before it. The largest count applies.
func checkWindows(t *rapid.T, attempts []attempt, window time.Duration, ratio, floor float64) {
	for i, end := range attempts {
		if !end.isRetry {
			continue
		}
		retries := 0
		var firstAttempts [3]int
		for _, e := range attempts[:i+1] {
			age := end.at.Sub(e.at)
			if e.isRetry && age < window {
				retries++
			}
			for k := range firstAttempts {
				shift := time.Duration(k) * window / 2
				if !e.isRetry && age >= shift && age < shift+window {
					firstAttempts[k]++
				}
			}
		}
		if float64(retries) > ratio*float64(slices.Max(firstAttempts[:]))+floor+1e-9 {
			t.Fatalf("%d retries with %v first attempts in the window that ends at %v", retries, firstAttempts, end.at)
		}
	}
}
