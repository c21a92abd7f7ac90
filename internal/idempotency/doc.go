// Package idempotency remembers the keys of calls that must not run twice and
// the answers that their resends get. Table is the memory of the guard that
// owns a key; Claims is the baseline that needs no owner: a fold over claim
// records of the log, in which the first claim of a key wins.
//
// Everything here is a decision without I/O: time comes in as an argument,
// and nothing is safe for concurrent use. The guard holds its own lock.
package idempotency
