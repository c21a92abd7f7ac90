package timeline

import (
	"cmp"
	"slices"
)

// Merge puts the events of several processes into one order: by timestamp,
// then by node. An event that came twice, through two peers, is kept once.
func Merge(streams ...[]Event) []Event {
	total := 0
	for _, s := range streams {
		total += len(s)
	}
	all := make([]Event, 0, total)
	for _, s := range streams {
		all = append(all, s...)
	}
	slices.SortStableFunc(all, compare)
	return slices.CompactFunc(all, func(a, b Event) bool { return a == b })
}

// Select returns the events that pass the filter.
func Select(events []Event, f Filter) []Event {
	var picked []Event
	for i := range events {
		if f.Match(&events[i]) {
			picked = append(picked, events[i])
		}
	}
	return picked
}

func compare(a, b Event) int {
	if c := cmp.Compare(a.HLC, b.HLC); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}
