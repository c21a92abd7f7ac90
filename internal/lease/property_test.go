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

// A fixed seed gives the same verdict each run; -rapid.seed overrides it.
func init() { _ = flag.Set("rapid.seed", "20260101") }

var worlds = flag.Int("worlds", 150, "long simulated worlds for each skew bound")

type drawn struct{ *rapid.T }

func (d drawn) intn(n int, what string) int { return rapid.IntRange(0, n-1).Draw(d.T, what) }

// Guards against two guards that may start the same key at once, whatever fails.
func TestNeverTwoOwners(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(drawn{t}, simConfig(), rapid.IntRange(2, 4).Draw(t, "vms"))
		for range rapid.IntRange(50, 500).Draw(t, "steps") {
			if err := w.step(); err != nil {
				t.Fatal(err)
			}
		}
	})
}

// simulate runs seeded worlds until one breaks.
func simulate(cfg Config, seeds, steps int) (map[string]int, error) {
	seen := map[string]int{}
	for seed := range seeds {
		ch := seeded{rand.New(rand.NewPCG(uint64(seed), 1))}
		w := newWorld(ch, cfg, 2+seed%3)
		w.seen = seen
		for range steps {
			if err := w.step(); err != nil {
				return seen, fmt.Errorf("world %d: %w", seed, err)
			}
		}
	}
	return seen, nil
}

// The same worlds at length: rapid's runs are short, so that they shrink well.
// A narrow skew bound makes late starts likely, a wide one wrong issue times.
func TestNeverTwoOwnersLong(t *testing.T) {
	for _, skew := range []time.Duration{300 * time.Millisecond, 2 * time.Second} {
		cfg := simConfig()
		cfg.SkewBound = skew
		seen, err := simulate(cfg, *worlds, 1500)
		must.NoError(t, err)
		t.Logf("skew bound %v, %d worlds of 1500 steps: %v", skew, *worlds, seen)
		for _, what := range []string{"starts", "starts on promises", "crash takeovers", "hand-overs", "unknown"} {
			must.Positive(t, seen[what], must.Sprint(what))
		}
	}
}

// The worlds must find a fault where there is one. Without the takeover's wait
// an owner whose proof is still young and its successor start the same slot.
func TestWorldFindsMissingWait(t *testing.T) {
	cfg := simConfig()
	cfg.Drift = -1 // a wait of zero, which Validate refuses
	must.Error(t, cfg.Validate())
	_, err := simulate(cfg, 150, 1500)
	must.Error(t, err)
	t.Log(err)
}
