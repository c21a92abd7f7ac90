package policy

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests: each run has the same verdict.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260101", "rapid.steps": "120"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
