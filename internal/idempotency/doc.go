// Package idempotency records the keys of calls that must not run twice, and stores the responses
// that are replayed to resends of these calls.
//
// Table is the record of the guard that owns a key. Claims is the alternative without owners, also
// the baseline in comparisons: it folds claim records of the log, and the first claim of a key
// wins.
//
// The package does no I/O and reads no clock: the current time is an argument. No type is safe for
// concurrent use; the guard serializes calls with its own lock.
package idempotency
