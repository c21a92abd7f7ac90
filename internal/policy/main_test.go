package policy

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run gives the
// same verdict, and makes histories long enough for accepted instances to meet
// expiry and restarts. Flags on the command line still win.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
