package proxy

import (
	"flag"
	"testing"

	"go.uber.org/goleak"
)

// A fixed seed makes the property tests deterministic.
func init() { _ = flag.Set("rapid.seed", "1") }

// TestMain fails if a test leaves a goroutine running: a call, a connection or a re-attachment that
// does not end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
