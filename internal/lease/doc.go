// Package lease decides which guard may start calls with which idempotency
// keys. The keys of a service are cut into slots; a takeover record in the log
// gives slots to one guard incarnation, which then decides from memory, with
// no append for a call.
//
// Lessor is a pure state machine. It is fed what was read from the log, proofs
// that the log holds no newer takeover, and promises of other guards; it says
// whether a call may start now and which messages and records are due. It
// reads no clock and is not safe for concurrent use.
//
// Times must come from a clock that does not stand still while the VM is
// suspended, as Linux's monotonic clock does: a holder that wakes up must find
// its authority too old.
//
// The argument for its soundness is in docs/design/ownership.md.
package lease
