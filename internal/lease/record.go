package lease

import (
	"fmt"
	"time"

	"github.com/galenagrade/galenagrade/internal/membership"
)

// Identity identifies one incarnation of a guard.
type Identity = membership.Identity

// Takeover is a record of the log by which a guard takes over slots. Of several records that
// replace the same ownership, the first one in the log wins.
type Takeover struct {
	Workspace string `json:"workspace"`
	Service   string `json:"service"`
	Slots     []int  `json:"slots"`
	// NewOwner is the guard that takes over the slots.
	NewOwner Identity `json:"by"`
	// Addr is the new owner's inner address.
	Addr string `json:"addr"`
	// Folded is the offset up to which the new owner had folded the log. A slot that changed at or
	// after it is not taken over, because the new owner did not know of the change.
	Folded int64 `json:"folded"`
	// At is the wall clock time of the new owner, used only for events of the timeline.
	At time.Time `json:"at"`
}

// Validate returns an error if a field of the record at an offset of the log is out of bounds. Slots out of
// bounds are skipped one by one.
func (t Takeover) Validate(offset int64) error {
	if err := t.NewOwner.Validate(); err != nil {
		return err
	}
	if t.Folded < 0 || t.Folded > offset {
		return fmt.Errorf("takeover by %s at offset %d: folded is %d, must be 0 to the offset", t.NewOwner, offset, t.Folded)
	}
	return nil
}

// Action is an action that Plan requests: RequestPromise, AppendTakeover or MoveSlots.
type Action interface{ leaseAction() }

// RequestPromise requests a promise not to take over the slots from the process that now runs at
// Addr, which may be a newer incarnation than To. If the process promises, the caller passes its
// identity to Promise together with At.
type RequestPromise struct {
	// At is the time at which the request was planned, which is not after the time at which it was
	// sent.
	At    time.Time
	To    Identity
	Addr  string
	Slots []int
}

// AppendTakeover requests the append of a record. Plan returns it once. The caller repeats the
// append with the same append ID until the record was read back, or calls NotAppended.
type AppendTakeover struct{ Record Takeover }

// MoveSlots requests a hand-over of slots to another guard: check that the guard is Eligible, call
// Release, wait for the running calls, export their keys and send both. A call counts as running
// from the moment its key was looked up, not from its dispatch.
type MoveSlots struct {
	To    Identity
	Addr  string
	Slots []int
}

func (RequestPromise) leaseAction() {}
func (AppendTakeover) leaseAction() {}
func (MoveSlots) leaseAction()      {}
