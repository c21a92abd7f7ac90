package callctx

import (
	"fmt"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against callers with counted names who are shed, and let in, in bursts.
func TestCountedCallersAreShedEvenly(t *testing.T) {
	const callers, ranges, longest = 16_000, 16, 32
	var in [ranges]int
	run, before := 0, -1
	for i := range callers {
		hash := HashCaller("default", fmt.Sprintf("caller-%d", i))
		in[hash>>28]++
		side := int(hash >> 31)
		if side != before {
			run, before = 0, side
		}
		run++
		must.LessEq(t, longest, run)
	}
	for i, n := range in {
		must.Between(t, 0.85*callers/ranges, float64(n), 1.15*callers/ranges, must.Sprintf("range %d", i))
	}
}
