package bounds

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against a value out of bounds that is accepted, and an error that doesn't name what to change.
func TestErrorNamesFieldValueAndBounds(t *testing.T) {
	must.NoError(t, Check("queue", "Slots", 1, 1, 8))
	must.NoError(t, Check("queue", "Slots", 8, 1, 8))
	must.EqError(t, Check("queue", "Slots", 9, 1, 8), "queue: Slots is 9, want 1 to 8")
	must.EqError(t, Check("queue", "MaxWait", time.Microsecond, time.Millisecond, time.Minute), "queue: MaxWait is 1µs, want 1ms to 1m0s")
}
