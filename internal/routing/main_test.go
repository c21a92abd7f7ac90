package routing

import (
	"flag"
	"testing"
)

// TestMain fixes the seed of the property tests, so that the same code gives the same result.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20260101")
	_ = flag.Set("rapid.steps", "100")
	m.Run()
}
