package report

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"time"
)

// Outcome is the outcome of one request for its caller.
type Outcome struct {
	Start    time.Time
	Duration time.Duration
	Status   int // HTTP status; 0 without a response
}

// WritePerSecond prints a table with one line for each of the first seconds after start,
// with the outcomes of the requests that began in it. note returns the text at the end of
// a line; its argument is the time from start to the beginning of that second.
func WritePerSecond(out io.Writer, outcomes []Outcome, start time.Time, seconds int, note func(time.Duration) string) {
	fmt.Fprintln(out, "second  sent  served  refused  failed   p50 ms   p99 ms")
	for second := range seconds {
		at := time.Duration(second) * time.Second
		from := start.Add(at)
		var latencies []time.Duration
		sent, refused, failed := 0, 0, 0
		for _, o := range outcomes {
			if o.Start.Before(from) || !o.Start.Before(from.Add(time.Second)) {
				continue
			}
			sent++
			switch o.Status {
			case http.StatusOK:
				latencies = append(latencies, o.Duration)
			case http.StatusServiceUnavailable, http.StatusTooManyRequests:
				refused++
			default:
				failed++
			}
		}
		slices.Sort(latencies)
		fmt.Fprintf(out, "%6d %5d %7d %8d %7d %8.1f %8.1f  %s\n", second, sent, len(latencies), refused, failed,
			milliseconds(latencies, 0.5), milliseconds(latencies, 0.99), note(at))
	}
}

// milliseconds returns a quantile of ascending durations in ms; 0 for an empty list.
func milliseconds(sorted []time.Duration, quantile float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[int(quantile*float64(len(sorted)-1))]) / float64(time.Millisecond)
}
