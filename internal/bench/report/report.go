// Package report renders the samples and results of runs as one self-contained HTML
// file, with the charts as embedded SVG. It also prints outcomes per second as text.
package report

import (
	_ "embed"
	"fmt"
	"html/template"
	"io"

	"github.com/galenagrade/galenagrade/internal/bench"
)

// Run is the result of one run with its samples.
type Run struct {
	Result  bench.Result
	Samples []bench.Sample
}

// pressurePeriod returns the start and the end of the pressure phase, in seconds since
// the run's start; both are 0 without one.
func (r *Run) pressurePeriod() (from, to float64) {
	for i := range r.Samples {
		s := &r.Samples[i]
		if s.Phase != bench.PhasePressure {
			continue
		}
		if from == 0 {
			from = max(0, (s.At - bench.SamplePeriod).Seconds())
		}
		to = s.At.Seconds()
	}
	return from, to
}

//go:embed page.html
var pageText string

var page = template.Must(template.New("page").Parse(pageText))

// row holds the same chart for each run, as SVG.
type row struct{ Charts []template.HTML }

// figure is one row of the table, with a value per run.
type figure struct {
	Name, Help string
	Values     []string
}

// document is the data of the template page.html.
type document struct {
	Scenario, Description, Deployment string
	Seed                              uint64
	Offered, Capacity                 string
	Policies                          []string
	Figures                           []figure
	Rows                              []row
}

// Write writes the HTML report that compares runs of one scenario on one deployment.
// It returns an error if runs is empty.
func Write(w io.Writer, s bench.Scenario, d *bench.Deployment, runs []Run) error {
	if len(runs) == 0 {
		return fmt.Errorf("report: runs is empty, must hold at least one")
	}
	doc := document{
		Scenario: s.Name, Description: s.Description, Deployment: d.Name,
		Seed:     runs[0].Result.Seed,
		Offered:  fmt.Sprintf("%.0f", runs[0].Result.Offered),
		Capacity: fmt.Sprintf("%.0f", runs[0].Result.Capacity),
		Figures:  figures(runs),
	}
	seconds := 0.0
	for i := range runs {
		doc.Policies = append(doc.Policies, runs[i].Result.Policy)
		if n := len(runs[i].Samples); n > 0 {
			seconds = max(seconds, runs[i].Samples[n-1].At.Seconds())
		}
	}
	for _, c := range charts(d.Deepest()) {
		r, err := drawRow(&c, runs, seconds)
		if err != nil {
			return err
		}
		doc.Rows = append(doc.Rows, r)
	}
	return page.Execute(w, doc)
}

func drawRow(c *chart, runs []Run, seconds float64) (row, error) {
	var r row
	top := c.maxValue(runs)
	for i := range runs {
		drawn, err := c.draw(&runs[i], top, seconds)
		if err != nil {
			return r, fmt.Errorf("chart %q of %s: %w", c.title, runs[i].Result.Policy, err)
		}
		r.Charts = append(r.Charts, drawn)
	}
	return r, nil
}

func figures(runs []Run) []figure {
	list := []struct {
		name, help string
		value      func(*bench.Result) string
	}{
		{"goodput", "useful answers while pressure lasted, over what the upstreams could have served",
			func(r *bench.Result) string { return fmt.Sprintf("%.3f", r.Goodput) }},
		{"worth-weighted goodput", "the same by worth, over the worthiest that could have been served",
			func(r *bench.Result) string { return fmt.Sprintf("%.3f", r.WeightedGoodput) }},
		{"highest class answered", "share of the requests of the highest class",
			func(r *bench.Result) string { return fmt.Sprintf("%.3f", r.CriticalServed) }},
		{"recovery", "time after pressure until requests are answered as before",
			(*bench.Result).Recovery},
		{"latency p50 / p99", "of good answers while pressure lasted",
			func(r *bench.Result) string { return fmt.Sprintf("%.0f / %.0f ms", r.P50Millis, r.P99Millis) }},
		{"duplicates", "side effects beyond the first",
			func(r *bench.Result) string { return fmt.Sprint(r.Duplicates) }},
		{"retries of one sending", "the most within the system, over its whole tree",
			func(r *bench.Result) string { return fmt.Sprint(r.MaxRetries) }},
	}
	var out []figure
	for _, f := range list {
		fig := figure{Name: f.name, Help: f.help}
		for i := range runs {
			fig.Values = append(fig.Values, f.value(&runs[i].Result))
		}
		out = append(out, fig)
	}
	return out
}
