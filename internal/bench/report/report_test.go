package report_test

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/galenagrade/galenagrade/internal/bench"
	"github.com/galenagrade/galenagrade/internal/bench/report"
)

// sampledRun returns a run of 8 samples, the last 4 under pressure.
func sampledRun(policy string, latency time.Duration) report.Run {
	run := report.Run{Result: bench.Result{Policy: policy, Seed: 1}}
	for i := range 8 {
		s := bench.Sample{At: time.Duration(i+1) * bench.SamplePeriod, Phase: bench.PhaseSteady, Offered: 10, Good: float64(i)}
		if i >= 4 {
			s.Phase = bench.PhasePressure
		}
		if i != 5 { // a period without a response
			s.Latencies = []time.Duration{latency}
		}
		run.Samples = append(run.Samples, s)
	}
	return run
}

// Guards against a report that references external resources: it is opened without
// network access.
func TestWriteIsSelfContained(t *testing.T) {
	runs := []report.Run{sampledRun(bench.PolicyBaseline, 3*time.Second), sampledRun(bench.PolicyGalenagrade, 100*time.Millisecond)}
	var out bytes.Buffer
	must.NoError(t, report.Write(&out, bench.Scenario{Name: "surge", Description: "a < b"}, bench.Chikugo(), runs))
	text := out.String()
	must.Eq(t, 10, strings.Count(text, "<svg"))
	must.StrContains(t, text, "a &lt; b")
	must.StrContains(t, text, "never")
	for _, externalRef := range []string{"<script", "src=", "<link", "url(http"} {
		must.StrNotContains(t, text, externalRef)
	}
}

// Guards against an empty report when no runs are given.
func TestWriteWithoutRunsFails(t *testing.T) {
	must.Error(t, report.Write(&bytes.Buffer{}, bench.Scenario{}, bench.Chikugo(), nil))
}
