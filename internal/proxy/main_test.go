package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a test leaves a goroutine behind: each would be a call,
// a connection or a re-attachment that never ends.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
