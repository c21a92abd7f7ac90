package report

import (
	"context"
	"sync"
	"time"
)

// OpenLoop sends requests at a rate that does not depend on the responses, until ctx ends, and waits
// for the last response. rate is in requests per second. send sends request i and returns its HTTP
// status, or 0 without a response; it is called concurrently.
func OpenLoop(ctx context.Context, rate int, send func(i int) int) []Outcome {
	var (
		mu       sync.Mutex
		outcomes []Outcome
		pending  sync.WaitGroup
	)
	record := func(i int) {
		start := time.Now()
		status := send(i)
		mu.Lock()
		defer mu.Unlock()
		outcomes = append(outcomes, Outcome{Start: start, Duration: time.Since(start), Status: status})
	}
	ticker := time.NewTicker(time.Second / time.Duration(rate))
	defer ticker.Stop()
	for i := 0; ; i++ {
		select {
		case <-ticker.C:
			pending.Go(func() { record(i) })
		case <-ctx.Done():
			pending.Wait()
			return outcomes
		}
	}
}
