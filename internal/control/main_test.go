package control_test

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain also fails when a test leaves a goroutine behind.
func TestMain(m *testing.M) {
	goleak.VerifyTestMain(m)
}
