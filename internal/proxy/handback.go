package proxy

import (
	"strconv"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/node"
)

// maxSpareSlotsAge bounds the time for which a guard uses what a sender knows of other upstreams.
const maxSpareSlotsAge = time.Second

// encodeHandBack returns how often a call may be handed back. If the sender knows the spare slots of the
// service, the free slots, the waiting calls and the milliseconds for which these hold follow, separated
// by spaces.
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
func decodeHandBack(text string, now time.Time) (int, handback.SpareSlots) {
	if text == "" {
		return 0, handback.SpareSlots{}
	}
	countText, spareText, hasSpare := strings.Cut(text, " ")
	count, err := strconv.ParseUint(countText, 10, 32)
	if err != nil {
		return 0, handback.SpareSlots{}
	}
	handBacks := int(min(count, handback.MaxPerCall))
	if !hasSpare {
		return handBacks, handback.SpareSlots{}
	}
	var numbers [3]uint64
	for i := range numbers {
		var field string
		field, spareText, _ = strings.Cut(spareText, " ")
		if numbers[i], err = strconv.ParseUint(field, 10, 32); err != nil {
			return 0, handback.SpareSlots{}
		}
	}
	if spareText != "" {
		return 0, handback.SpareSlots{}
	}
	age := min(time.Duration(numbers[2])*time.Millisecond, maxSpareSlotsAge)
	return handBacks, handback.SpareSlots{
		Free:       float64(min(numbers[0], handback.MaxSlots)),
		Queued:     float64(min(numbers[1], handback.MaxSlots)),
		ValidUntil: now.Add(age),
	}
}
