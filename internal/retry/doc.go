// Package retry bounds and classifies retries.
//
// Three things are kept apart: an Account holds the retry allowance of one
// running call, escrowed over its whole call tree; a Throttle bounds the
// retries that one node sends to one service to a ratio of recent successes;
// Decide says for one ended attempt whether a retry is safe and useful.
//
// The promise: over the whole call tree of one root request the sum of
// retries is at most the root's allowance. docs/design/retries.md has the
// argument and the alternatives measured.
//
// The package is pure: no clock, no I/O, no goroutine.
package retry
