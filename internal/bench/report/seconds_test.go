package report

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// Guards against outcomes that are counted in the wrong second or column.
func TestSecondsCountsOutcomesPerSecond(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	var out bytes.Buffer
	WritePerSecond(&out, []Outcome{
		{Start: at(0), Duration: 20 * time.Millisecond, Status: http.StatusOK},
		{Start: at(999), Duration: 40 * time.Millisecond, Status: http.StatusServiceUnavailable},
		{Start: at(1000), Status: 0},
	}, start, 2, func(since time.Duration) string {
		if since < time.Second {
			return ""
		}
		return "<- the upstream crashes"
	})
	lines := strings.Split(out.String(), "\n")
	must.StrContains(t, lines[1], "     0     2       1        1       0     20.0     20.0")
	must.StrContains(t, lines[2], "     1     1       0        0       1      0.0      0.0  <- the upstream")
}
