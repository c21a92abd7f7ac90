package callctx

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against callers with sequentially numbered names being shed, and admitted, in bursts.
// It happens when similar names get similar hashes.
func TestSequentialCallerNamesHashEvenly(t *testing.T) {
	const callers, ranges, maxRun = 16_000, 16, 32
	var perRange [ranges]int
	run, lastHalf := 0, -1
	for i := range callers {
		hash := HashCaller("default", fmt.Sprintf("caller-%d", i))
		perRange[hash>>28]++
		half := int(hash >> 31)
		if half != lastHalf {
			run, lastHalf = 0, half
		}
		run++
		must.LessEq(t, maxRun, run)
	}
	for i, n := range perRange {
		must.Between(t, 0.85*callers/ranges, float64(n), 1.15*callers/ranges, must.Sprintf("range %d", i))
	}
}
