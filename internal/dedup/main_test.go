package dedup

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	// A fixed seed makes each run draw the same cases; -rapid.seed overrides it.
	_ = flag.Set("rapid.seed", "20261204")
	os.Exit(m.Run())
}
