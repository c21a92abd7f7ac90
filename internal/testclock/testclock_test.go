package testclock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against replays whose events run in a different order from run to run: events that are due
// at the same time must keep the order of their After calls.
func TestEventsRunInScheduledOrder(t *testing.T) {
	c := New(time.Unix(1_000, 0))
	var fired []string
	record := func(name string) func() { return func() { fired = append(fired, name) } }
	c.After(2*time.Second, record("last"))
	c.After(time.Second, record("first"))
	c.After(time.Second, func() {
		record("second")()
		c.After(500*time.Millisecond, record("scheduled during the run"))
	})
	c.After(3*time.Second, record("due at the end"))
	c.Run(3 * time.Second)
	must.Eq(t, []string{"first", "second", "scheduled during the run", "last"}, fired)
	must.Eq(t, 3*time.Second, c.Elapsed())
	must.Eq(t, time.Unix(1_003, 0), c.Now())
}
