package lease

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/membership"
)

// Identity names one life of a guard.
type Identity = membership.Identity

// Takeover is a record of the log: a guard takes slots. The first one in the
// log of those that replace the same ownership wins.
type Takeover struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Slots     []int  `json:"slots"`
	// NewOwner is the new owner.
	NewOwner Identity `json:"by"`
	// Addr is the new owner's inner address.
	Addr string `json:"addr"`
	// Folded is the offset up to which the taker had folded the log. A slot
	// that changed at or after it is not taken: the taker did not know.
	Folded int64 `json:"folded"`
	// At is the taker's clock, for the time line only.
	At time.Time `json:"at"`
}

// Action is something that Plan wants done: AskPromise, AppendTakeover or
// MoveSlots.
type Action interface{ leaseAction() }

// AskPromise asks the process at an address, whichever it is now, to promise
// not to take the slots. A true answer goes to Promise with At.
type AskPromise struct {
	// At is when it was planned, so not after it was sent.
	At    time.Time
	To    Identity
	Addr  string
	Slots []int
}

// AppendTakeover appends a record. It is due once; the caller repeats it with
// the same append ID until it was read back, or reports NotAppended.
type AppendTakeover struct{ Record Takeover }

// MoveSlots hands slots to another guard: ask that it is Eligible, Release,
// wait for the calls that run, export the keys, send both. A call counts as
// running from the moment its key was looked up, not from its dispatch.
type MoveSlots struct {
	To    Identity
	Addr  string
	Slots []int
}

func (AskPromise) leaseAction()     {}
func (AppendTakeover) leaseAction() {}
func (MoveSlots) leaseAction()      {}
