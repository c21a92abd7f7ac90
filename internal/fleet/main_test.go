package fleet

import (
	"flag"
	"os"
	"testing"
)

// A fixed seed keeps the verdict of CI the same each run.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}
