package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/node"
	"github.com/galenagrade/galenagrade/internal/speed"
)

// Guards against a malformed header that lets a call be handed back without end, or a guard believe
// in any number of free slots.
func FuzzDecodeHandBack(f *testing.F) {
	for _, seed := range []string{"", "2", "2 30 4 500", "1 0 0 0", "9999999999", "-1", "2 NaN 1 1", "2 1e9 1 1", "2 4294967295 4294967295 4294967295", "2 1 1 1 1", "2  ", "x 1 1 1"} {
		f.Add(seed)
	}
	now := time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, text string) {
		handBacks, spare := decodeHandBack(text, now)
		must.Between(t, 0, handBacks, handback.MaxPerCall)
		must.Between(t, 0, spare.Free, handback.MaxSlots)
		must.Between(t, 0, spare.Queued, handback.MaxSlots)
		must.False(t, spare.Usable(now.Add(maxSpareSlotsAge)))
		if handBacks == 0 {
			return
		}
		again, spareAgain := decodeHandBack(encodeHandBack(&node.Call{HandBacks: handBacks, Spare: spare}, now), now)
		must.EqOp(t, handBacks, again)
		if spare.Usable(now) {
			must.Eq(t, spare, spareAgain)
		}
	})
}

// Guards against a speed of another node that makes a target look idle under any load.
func FuzzDecodeSpeed(f *testing.F) {
	for _, seed := range []string{"", "1", "1.37", "0", "-1", "NaN", "Inf", "1e400", "0x1p-2", "1,5", "4.0000000000000000000001"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s := decodeSpeed(text)
		must.True(t, s == speed.Unknown || s >= speed.Min && s <= speed.Max, must.Sprint(s))
		must.InDelta(t, s, decodeSpeed(encodeSpeed(s)), 0.005)
	})
}
