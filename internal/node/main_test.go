package node

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fixes the seed of property tests, so that each run gives the same
// verdict; -rapid.seed gives another. It also fails when a test leaves a
// goroutine behind.
func TestMain(m *testing.M) {
	flag.Parse()
	seed := flag.Lookup("rapid.seed").Value
	if seed.String() == "0" {
		if err := seed.Set("20260501"); err != nil {
			panic(err)
		}
	}
	goleak.VerifyTestMain(m)
}
