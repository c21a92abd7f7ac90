package server

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when a stopped server leaves a goroutine behind.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
