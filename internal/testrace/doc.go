// Package testrace tells tests whether the race detector is on. It makes replays in virtual time some ten
// times slower, and finds nothing in them, since they run in one goroutine.
package testrace

import "slices"

// maxEntries is the number of entry nodes up to which replays run with the race detector.
const maxEntries = 40

// Entries returns the numbers of entry nodes with which a replay runs: all of them, and with the race
// detector only the small ones.
func Entries(numbers ...int) []int {
	if !Enabled {
		return numbers
	}
	return slices.DeleteFunc(numbers, func(n int) bool { return n > maxEntries })
}
