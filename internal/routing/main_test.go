package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that a run's verdict does
// not change without a change of the code. -rapid.seed overrides it.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20260101")
	}
	_ = flag.Set("rapid.steps", "100")
	os.Exit(m.Run())
}
