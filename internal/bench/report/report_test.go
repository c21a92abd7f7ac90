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

func course(policy string, latency time.Duration) report.Run {
	run := report.Run{Result: bench.Result{Policy: policy, Seed: 1}}
	for i := range 8 {
		s := bench.Sample{At: time.Duration(i+1) * bench.SamplePeriod, Phase: bench.PhaseSteady, Offered: 10, Good: float64(i)}
		if i >= 4 {
			s.Phase = bench.PhasePressure
		}
		if i != 5 { // a period without an answer
			s.Latencies = []time.Duration{latency}
		}
		run.Samples = append(run.Samples, s)
	}
	return run
}

// The file is opened where there is no network: it must hold all that it shows.
func TestWriteIsSelfContained(t *testing.T) {
	runs := []report.Run{course(bench.PolicyBaseline, 3*time.Second), course(bench.PolicyGalenagrade, 100*time.Millisecond)}
	var out bytes.Buffer
	must.NoError(t, report.Write(&out, bench.Scenario{Name: "surge", Description: "a < b"}, bench.Chikugo(), runs))
	text := out.String()
	must.Eq(t, 10, strings.Count(text, "<svg"))
	must.StrContains(t, text, "a &lt; b")
	must.StrContains(t, text, "never")
	for _, outside := range []string{"<script", "src=", "<link", "url(http"} {
		must.StrNotContains(t, text, outside)
	}
}

func TestWriteOfNothingFails(t *testing.T) {
	must.Error(t, report.Write(&bytes.Buffer{}, bench.Scenario{}, bench.Chikugo(), nil))
}
