// Package lease decides which guard may start calls with which idempotency keys. The keys of a
// service are divided into slots. A takeover record in the log assigns slots to one guard
// incarnation. That guard then decides about each call from its own memory, without an append to
// the log per call.
//
// Lessor is a pure state machine. Its inputs are the records read from the log, observations of
// the log's head, which show that the log holds no newer takeover, and promises of other guards to
// take over none of the slots for a limited time, which replace these observations while the log
// cannot be read. Lessor decides whether a call may start now, and it returns the messages and
// records that are due. It does not read a clock and is not safe for concurrent use.
//
// Times must come from a clock that keeps running while the VM is suspended, as Linux's monotonic
// clock does. Otherwise an owner that resumes would not find that its authority has expired.
//
// The correctness argument is in docs/design/ownership.md.
package lease
