package server

import "fmt"

func encodeSlotNumbers(slots []int) []uint32 {
	out := make([]uint32, len(slots))
	for i, s := range slots {
		out[i] = uint32(s)
	}
	return out
}

func decodeSlotNumbers(slots []uint32) []int {
	out := make([]int, len(slots))
	for i, s := range slots {
		out[i] = int(s)
	}
	return out
}

func slotsDetail(slots []int) string { return fmt.Sprintf("%d slots", len(slots)) }
