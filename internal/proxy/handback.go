package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/node"
)

// maxRoomAge bounds the time for which a guard uses what a sender knows of other upstreams.
const maxRoomAge = time.Second

// encodeHandBack returns how often a call may be handed back, and if the sender knows the room of the
// service, the free slots, the waiting calls and the milliseconds for which this holds, separated by
// spaces.
func encodeHandBack(call *node.Call, now time.Time) string {
	text := make([]byte, 0, 32)
	text = strconv.AppendInt(text, int64(call.HandBacks), 10)
	if !call.Spare.Usable(now) {
		return string(text)
	}
	for _, n := range []int64{int64(call.Spare.Free), int64(call.Spare.Queued), call.Spare.ValidUntil.Sub(now).Milliseconds()} {
		text = append(text, ' ')
		text = strconv.AppendInt(text, n, 10)
	}
	return string(text)
}

// decodeHandBack parses the text of encodeHandBack. An empty or invalid text means that the call must
// not be handed back. Numbers beyond their bounds are lowered.
func decodeHandBack(text string, now time.Time) (int, handback.Room) {
	if text == "" {
		return 0, handback.Room{}
	}
	countText, roomText, hasRoom := strings.Cut(text, " ")
	count, err := strconv.ParseUint(countText, 10, 32)
	if err != nil {
		return 0, handback.Room{}
	}
	handBacks := int(min(count, handback.MaxPerCall))
	if !hasRoom {
		return handBacks, handback.Room{}
	}
	var numbers [3]uint64
	for i := range numbers {
		var field string
		field, roomText, _ = strings.Cut(roomText, " ")
		if numbers[i], err = strconv.ParseUint(field, 10, 32); err != nil {
			return 0, handback.Room{}
		}
	}
	if roomText != "" {
		return 0, handback.Room{}
	}
	age := min(time.Duration(numbers[2])*time.Millisecond, maxRoomAge)
	return handBacks, handback.Room{
		Free:       float64(min(numbers[0], handback.MaxSlots)),
		Queued:     float64(min(numbers[1], handback.MaxSlots)),
		ValidUntil: now.Add(age),
	}
}
