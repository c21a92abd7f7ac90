package server

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails when goroutines of a stopped server are still running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
