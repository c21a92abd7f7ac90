package node

import (
	"testing"

	"go.uber.org/goleak"

	"github.com/galenagrade/galenagrade/internal/testseed"
)

// TestMain also fails when a test leaves a goroutine behind.
func TestMain(m *testing.M) {
	testseed.Fix()
	goleak.VerifyTestMain(m)
}
