package proxy

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/node"
)

// Guards against a malformed header that lets a call be handed back without end, or a guard believe
// in any number of free slots.
func FuzzDecodeHandBack(f *testing.F) {
	for _, seed := range []string{"", "2", "2 30 4 500", "1 0 0 0", "9999999999", "-1", "2 NaN 1 1", "2 1e9 1 1", "2 4294967295 4294967295 4294967295", "2 1 1 1 1", "2  ", "x 1 1 1"} {
		f.Add(seed)
	}
	now := time.Date(2026, 5, 1, 9, 0, 0, 0, time.UTC)
	f.Fuzz(func(t *testing.T, text string) {
		handBacks, room := decodeHandBack(text, now)
		must.Between(t, 0, handBacks, handback.MaxPerCall)
		must.Between(t, 0, room.Free, handback.MaxSlots)
		must.Between(t, 0, room.Queued, handback.MaxSlots)
		must.False(t, room.Usable(now.Add(maxRoomAge)))
		if handBacks == 0 {
			return
		}
		again, roomAgain := decodeHandBack(encodeHandBack(&node.Call{HandBacks: handBacks, Room: room}, now), now)
		must.EqOp(t, handBacks, again)
		if room.Usable(now) {
			must.Eq(t, room, roomAgain)
		}
	})
}
