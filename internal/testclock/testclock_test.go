package testclock

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against replays whose events come in another order from run to run.
func TestEventsComeInTheirOrder(t *testing.T) {
	c := New(time.Unix(1_000, 0))
	var came []string
	note := func(name string) func() { return func() { came = append(came, name) } }
	c.After(2*time.Second, note("last"))
	c.After(time.Second, note("first"))
	c.After(time.Second, func() {
		note("second")()
		c.After(500*time.Millisecond, note("asked for on the way"))
	})
	c.After(3*time.Second, note("too late"))
	c.Run(3 * time.Second)
	must.Eq(t, []string{"first", "second", "asked for on the way", "last"}, came)
	must.Eq(t, 3*time.Second, c.Elapsed())
	must.Eq(t, time.Unix(1_003, 0), c.Now())
}
