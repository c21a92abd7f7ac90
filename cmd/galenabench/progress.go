package main

import (
	"fmt"
	"io"
	"time"

	"github.com/galenagrade/galenagrade/internal/bench"
)

// progress prints one line per second during a run.
type progress struct {
	out   io.Writer
	title string
	// The fields below accumulate the samples since the last line.
	sumOffered, sumGood float64
	samples             int
	latencies           []time.Duration
}

const samplesPerLine = int(time.Second / bench.SamplePeriod)

// add accumulates a sample and prints a line when a second is complete. It is not safe for concurrent
// use.
func (p *progress) add(s bench.Sample) {
	p.sumOffered += s.Offered
	p.sumGood += s.Good
	p.latencies = append(p.latencies, s.Latencies...)
	p.samples++
	if p.samples < samplesPerLine {
		return
	}
	n := float64(p.samples)
	fmt.Fprintf(p.out, "%s  %5.1f s  %-9s offered %6.0f/s  good %6.0f/s  p99 %7.1f ms\n",
		p.title, s.At.Seconds(), s.Phase, p.sumOffered/n, p.sumGood/n, bench.Percentile(p.latencies, 0.99))
	*p = progress{out: p.out, title: p.title}
}
