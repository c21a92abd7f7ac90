package proxy

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if a test leaves a goroutine running: a call, a connection or a re-attachment that
// does not end.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
