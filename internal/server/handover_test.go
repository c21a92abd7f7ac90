package server

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/inner"
	"github.com/galenagrade/galenagrade/internal/inner/innerpb"
	"github.com/galenagrade/galenagrade/internal/lease"
)

// Guards against a hand-over that the receiver rejects because its message check treats
// unknown_before_unix_micros, a point in time, as a duration and finds it out of bounds.
func TestHandOverOfSlotsWithUnknownKeysPassesTheCheck(t *testing.T) {
	slots := []lease.HandedSlot{{Slot: 3, Offset: 12, EffectiveIn: time.Second, UnknownBefore: time.Now().Round(time.Microsecond), UnknownFor: time.Hour}}
	req := &innerpb.HandOverRequest{Slots: encodeSlots(slots)}
	must.NoError(t, inner.CheckMessage(req))
	got := decodeSlots(req.GetSlots())
	must.True(t, slots[0].UnknownBefore.Equal(got[0].UnknownBefore))
	must.Eq(t, slots[0].UnknownFor, got[0].UnknownFor)
	must.Eq(t, slots[0].EffectiveIn, got[0].EffectiveIn)
}
