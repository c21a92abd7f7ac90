//go:build race

package testrace

// Enabled reports whether the race detector is on.
const Enabled = true
