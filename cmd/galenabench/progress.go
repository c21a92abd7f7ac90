package main

import (
	"fmt"
	"io"
	"time"

	"github.com/galenagrade/galenagrade/internal/bench"
)

// progress prints one line a second while a run goes on.
type progress struct {
	out   io.Writer
	title string
	// Since the last line.
	offered, good float64
	periods       int
	latencies     []time.Duration
}

const samplesPerLine = int(time.Second / bench.SamplePeriod)

// add takes a sample; it is called by one goroutine.
func (p *progress) add(s bench.Sample) {
	p.offered += s.Offered
	p.good += s.Good
	p.latencies = append(p.latencies, s.Latencies...)
	p.periods++
	if p.periods < samplesPerLine {
		return
	}
	n := float64(p.periods)
	fmt.Fprintf(p.out, "%s  %5.1f s  %-9s offered %6.0f/s  good %6.0f/s  p99 %7.1f ms\n",
		p.title, s.At.Seconds(), s.Phase, p.offered/n, p.good/n, bench.Percentile(p.latencies, 0.99))
	*p = progress{out: p.out, title: p.title}
}
