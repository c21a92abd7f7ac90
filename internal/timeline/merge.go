package timeline

import (
	"cmp"
	"slices"
)

// Merge returns the events of several processes in one order: by timestamp, then by node. Events
// received more than once, through different peers, appear once.
func Merge(streams ...[]Event) []Event {
	total := 0
	for _, s := range streams {
		total += len(s)
	}
	all := make([]Event, 0, total)
	for _, s := range streams {
		all = append(all, s...)
	}
	slices.SortStableFunc(all, compareEvents)
	return slices.CompactFunc(all, func(a, b Event) bool { return a == b })
}

// Select returns the events that match the filter.
func Select(events []Event, f Filter) []Event {
	var matching []Event
	for i := range events {
		if f.Match(&events[i]) {
			matching = append(matching, events[i])
		}
	}
	return matching
}

func compareEvents(a, b Event) int {
	if c := cmp.Compare(a.HLC, b.HLC); c != 0 {
		return c
	}
	return cmp.Compare(a.Node, b.Node)
}
