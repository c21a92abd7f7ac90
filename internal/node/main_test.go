package node

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/galenagrade/galenagrade/internal/testseed"
)

// TestMain fails when a test leaks a goroutine.
func TestMain(m *testing.M) {
	testseed.Fix()
	goleak.VerifyTestMain(m)
}
