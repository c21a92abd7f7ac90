package lease

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"
)

// A fixed seed makes each run draw the same cases; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260101") }

var worlds = flag.Int("worlds", 150, "long simulated worlds for each skew bound")

// rapidChooser draws the choices of a simulated run from rapid.
type rapidChooser struct{ *rapid.T }

func (d rapidChooser) intn(n int, label string) int { return rapid.IntRange(0, n-1).Draw(d.T, label) }

// Guards against two guards that may start calls with the same key at once, under any combination
// of failures.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapidChooser{t}, simConfig(), rapid.IntRange(2, 4).Draw(t, "vms"))
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// simulate runs seeded worlds and returns the error of the first one that violates a check.
func simulate(cfg Config, seeds, steps int) (map[string]int, error) {
	coverage := map[string]int{}
	for seed := range seeds {
		choose := seededChooser{rand.New(rand.NewPCG(uint64(seed), 1))}
		w := newWorld(choose, cfg, 2+seed%3)
		w.coverage = coverage
		for range steps {
			if err := w.step(); err != nil {
				return coverage, fmt.Errorf("world %d: %w", seed, err)
			}
		}
	}
	return coverage, nil
}

// Guards against two guards that may start calls with the same key at once, in runs longer than
// those of TestNeverTwoOwners, which are short so that rapid shrinks them well. A narrow skew bound
// makes late starts likely, a wide one makes wrong issue times likely.
func TestNeverTwoOwnersLong(t *testing.T) {
	for _, skew := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		cfg := simConfig()
		cfg.SkewBound = skew
		coverage, err := simulate(cfg, *worlds, 1500)
		must.NoError(t, err)
		t.Logf("skew bound %v, %d worlds of 1500 steps: %v", skew, *worlds, coverage)
		for _, event := range []string{"starts", "starts on promises", "crash takeovers", "hand-overs", "unknown"} {
			must.Positive(t, coverage[event], must.Sprint(event))
		}
	}
}

// Guards against a simulation that cannot find faults. Without the wait after a takeover, an owner
// whose last head observation is recent and its successor start calls in the same slot.
func TestWorldFindsMissingWait(t *testing.T) {
	cfg := simConfig()
	cfg.Drift = -1 // a wait of zero, which Validate rejects
	must.Error(t, cfg.Validate())
	_, err := simulate(cfg, 150, 1500)
	must.Error(t, err)
	t.Log(err)
}
