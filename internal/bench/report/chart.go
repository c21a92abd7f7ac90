package report

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"math"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/font"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/galenagrade/galenagrade/internal/bench"
)

const (
	chartWidth  = 17 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	textSize    = vg.Length(10)
	lineWidth   = vg.Length(1.6)
	// headroom and logHeadroom are the factors of the upper end of a linear and of a
	// logarithmic axis over the highest value. They keep the lines clear of the legend.
	headroom    = 1.45
	logHeadroom = 6
	// tickSeconds is the distance between labels on the time axis.
	tickSeconds = 5
	// minLogValue is the lower end of a logarithmic axis, in the unit of the axis.
	minLogValue = 10
)

// palette is the colours of the lines, from the palette of Okabe and Ito for
// colour-blind readers.
var palette = []color.Color{
	color.RGBA{R: 0x99, G: 0x99, B: 0x99, A: 0xff},
	color.RGBA{R: 0x00, G: 0x72, B: 0xb2, A: 0xff},
	color.RGBA{R: 0xd5, G: 0x5e, B: 0x00, A: 0xff},
}

var pressureColour = color.RGBA{R: 0xfb, G: 0xf0, B: 0xdc, A: 0xff}

// series is one line of a chart. A series without a value function reserves its colour
// and draws nothing.
type series struct {
	name  string
	value func(*bench.Sample) float64
}

// chart is one row of the report. It is drawn for each policy on the same scale.
type chart struct {
	title, unit string
	log         bool
	series      []series
}

// charts returns the charts of the report, one per row. The position of a series in its
// chart selects its colour.
func charts(deepest string) []chart {
	return []chart{
		{title: "Requests a second", unit: "requests/s", series: []series{
			{"offered", func(s *bench.Sample) float64 { return s.Offered }},
			{"answered in time", func(s *bench.Sample) float64 { return s.Good }},
		}},
		{title: "Worth answered a second", unit: "worth/s", series: []series{
			{"", nil},
			{"answered in time, by worth", func(s *bench.Sample) float64 { return s.Weighted }},
		}},
		{title: "Latency of good answers", unit: "ms", log: true, series: []series{
			{"", nil},
			{"median", (*bench.Sample).P50},
			{"99th percentile", (*bench.Sample).P99},
		}},
		{title: "Calls at " + deepest + ", the deepest service", unit: "calls", series: []series{
			{"limit of the guards", func(s *bench.Sample) float64 { return s.Limit }},
			{"in flight", func(s *bench.Sample) float64 { return s.InFlight }},
			{"waiting", func(s *bench.Sample) float64 { return s.Queue }},
		}},
		{title: "Retries a second", unit: "retries/s", series: []series{
			{"", nil},
			{"", nil},
			{"retries", func(s *bench.Sample) float64 { return s.Retries }},
		}},
	}
}

// maxValue returns the highest value in all runs, and at least 1. It gives the charts of
// a row a common scale.
func (c *chart) maxValue(runs []Run) float64 {
	highest := 1.0
	for i := range runs {
		for _, line := range c.series {
			highest = max(highest, runs[i].maxValue(line))
		}
	}
	return highest
}

// maxValue returns the highest value of a series in the run; 0 if the run has no such
// values, as the limit under the baseline.
func (r *Run) maxValue(s series) float64 {
	highest := 0.0
	for i := range r.Samples {
		if s.value != nil {
			highest = max(highest, s.value(&r.Samples[i]))
		}
	}
	return highest
}

// draw returns the chart of one run as SVG.
func (c *chart) draw(run *Run, top, seconds float64) (template.HTML, error) {
	p := plot.New()
	style(p)
	p.Title.Text = fmt.Sprintf("%s: %s", run.Result.Policy, c.title)
	p.X.Label.Text = "s since the run's start"
	p.Y.Label.Text = c.unit
	p.X.Min, p.X.Max = 0, seconds
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	p.Y.Min, p.Y.Max = 0, top*headroom
	if c.log {
		p.Y.Min, p.Y.Max = minLogValue, max(top, minLogValue)*logHeadroom
		p.Y.Scale = plot.LogScale{}
		p.Y.Tick.Marker = plot.LogTicks{Prec: -1}
	}
	if err := addPressure(p, run); err != nil {
		return "", err
	}
	p.Add(plotter.NewGrid())
	for i, line := range c.series {
		if line.value == nil || run.maxValue(line) == 0 {
			continue
		}
		if err := addLine(p, run, line, palette[i], c.log); err != nil {
			return "", err
		}
	}
	return svg(p)
}

// timeTicks returns a tick for each second, with a label every tickSeconds.
func timeTicks(from, to float64) []plot.Tick {
	var ticks []plot.Tick
	for second := int(math.Ceil(from)); float64(second) <= to; second++ {
		tick := plot.Tick{Value: float64(second)}
		if second%tickSeconds == 0 {
			tick.Label = fmt.Sprint(second)
		}
		ticks = append(ticks, tick)
	}
	return ticks
}

func style(p *plot.Plot) {
	face := font.Font{Typeface: "Liberation", Variant: "Sans", Size: textSize}
	for _, text := range []*font.Font{
		&p.Title.TextStyle.Font, &p.Legend.TextStyle.Font,
		&p.X.Label.TextStyle.Font, &p.Y.Label.TextStyle.Font,
		&p.X.Tick.Label.Font, &p.Y.Tick.Label.Font,
	} {
		*text = face
	}
	p.Title.TextStyle.Font.Size = textSize + 2
	p.Legend.Top = true
	p.Legend.Left = true
	p.Legend.Padding = 2
}

// addPressure shades the pressure phase.
func addPressure(p *plot.Plot, run *Run) error {
	from, to := run.pressurePeriod()
	if to <= from {
		return nil
	}
	area, err := plotter.NewPolygon(plotter.XYs{
		{X: from, Y: p.Y.Min}, {X: to, Y: p.Y.Min}, {X: to, Y: p.Y.Max}, {X: from, Y: p.Y.Max},
	})
	if err != nil {
		return err
	}
	area.Color = pressureColour
	area.LineStyle = draw.LineStyle{}
	p.Add(area)
	return nil
}

// addLine draws one series. A logarithmic axis can't show 0, so periods without a
// response, whose value is 0, leave a gap in the line.
func addLine(p *plot.Plot, run *Run, s series, colour color.Color, log bool) error {
	var segment plotter.XYs
	inLegend := false
	flush := func() error {
		if len(segment) == 0 {
			return nil
		}
		line, err := plotter.NewLine(segment)
		if err != nil {
			return err
		}
		line.Color = colour
		line.Width = lineWidth
		p.Add(line)
		if !inLegend {
			p.Legend.Add(s.name, line)
			inLegend = true
		}
		segment = nil
		return nil
	}
	for i := range run.Samples {
		sample := &run.Samples[i]
		value := s.value(sample)
		if log && value < minLogValue {
			if err := flush(); err != nil {
				return err
			}
			continue
		}
		segment = append(segment, plotter.XY{X: sample.At.Seconds(), Y: value})
	}
	return flush()
}

// svg returns the plot as an svg element to embed in HTML, without the XML prolog of
// the document.
func svg(p *plot.Plot) (template.HTML, error) {
	canvas := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(canvas))
	var buf bytes.Buffer
	if _, err := canvas.WriteTo(&buf); err != nil {
		return "", err
	}
	text := buf.Bytes()
	if at := bytes.Index(text, []byte("<svg")); at > 0 {
		text = text[at:]
	}
	return template.HTML(text), nil
}
