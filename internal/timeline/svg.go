package timeline

import (
	"bufio"
	"encoding/xml"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/pkg/errors"
)

const (
	fontFamily = "DejaVu Sans Mono, Menlo, Consolas, monospace"
	maxTicks   = 12
	// maxTooltipLen is the maximum length of a mark's tooltip in characters.
	maxTooltipLen = 400
	// maxLinkedRequests is the maximum number of requests for which lines connect the events. The
	// lines of more requests would cover the labels.
	maxLinkedRequests = 12
	// labelOutline is a white outline that keeps a label readable where a line passes behind it.
	labelOutline = `paint-order="stroke" stroke="#ffffff" stroke-width="3" stroke-linejoin="round"`
)

// WriteSVG writes a picture of the events, which must be merged: one lane per process, a time axis,
// a colour for each group of kinds and a legend. Every mark has a tooltip with the whole event, even
// if there is no room for its label.
func WriteSVG(w io.Writer, title string, events []Event) error {
	d := newLayout(events)
	b := bufio.NewWriter(w)
	s := &svgWriter{b: b, d: d}
	s.header(title)
	s.legend()
	s.axis()
	s.links()
	for i := range d.lanes {
		s.lane(&d.lanes[i])
	}
	s.notes()
	fmt.Fprintln(b, "</svg>")
	return errors.Wrap(b.Flush(), "timeline: write picture")
}

// svgWriter writes the elements of a layout as SVG.
type svgWriter struct {
	b *bufio.Writer
	d *layout
}

func (s *svgWriter) header(title string) {
	fmt.Fprintf(s.b, `<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" viewBox="0 0 %d %d" font-family="%s" font-size="10">`+"\n",
		pictureWidth, s.d.height, pictureWidth, s.d.height, fontFamily)
	fmt.Fprintf(s.b, `<rect width="%d" height="%d" fill="#ffffff"/>`+"\n", pictureWidth, s.d.height)
	s.text(10, 20, 14, "#212121", "bold", truncateASCII(title, 160))
}

// legend draws the groups of the kinds that occur in the events.
func (s *svgWriter) legend() {
	used := map[string]bool{}
	for i := range s.d.events {
		used[groupFor(s.d.events[i].Kind).name] = true
	}
	x := 10.0
	for _, g := range groups {
		if !used[g.name] {
			continue
		}
		s.dot(x+4, 38, g.colour)
		s.text(x+12, 41, 10, g.colour, "normal", g.name)
		x += 30 + float64(len(g.name))*charWidth
	}
}

func (s *svgWriter) axis() {
	if len(s.d.events) == 0 {
		return
	}
	bottom := s.d.height - axisHeight - 12
	span := time.Duration((s.d.toMs - s.d.fromMs) * float64(time.Millisecond))
	step := tickStep(span, maxTicks)
	for offset := time.Duration(0); offset <= span; offset += step {
		x := s.d.xOf(s.d.fromMs + float64(offset)/float64(time.Millisecond))
		fmt.Fprintf(s.b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#e0e0e0"/>`+"\n", x, marginTop-10, x, bottom)
		s.text(x+2, float64(bottom+12), 10, "#616161", "normal", "+"+offset.String())
	}
	start := s.d.events[0].Time().Format("2006-01-02 15:04:05.000 UTC")
	s.text(10, float64(bottom+12), 10, "#616161", "normal", start)
}

// links draws a line between consecutive events of one request that occurred in different
// processes. It draws nothing if there are more than maxLinkedRequests requests.
func (s *svgWriter) links() {
	type point struct {
		x float64
		y int
	}
	if s.d.requestCount() > maxLinkedRequests {
		return
	}
	baseline := map[string]int{}
	for i := range s.d.lanes {
		baseline[s.d.lanes[i].node] = s.d.lanes[i].baseline
	}
	last := map[string]point{}
	for i := range s.d.events {
		e := &s.d.events[i]
		if e.RequestID == "" {
			continue
		}
		p := point{s.d.eventX[i], baseline[e.Node]}
		if q, ok := last[e.RequestID]; ok && q.y != p.y {
			fmt.Fprintf(s.b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="#b0bec5" stroke-width="0.8"/>`+"\n", q.x, q.y, p.x, p.y)
		}
		last[e.RequestID] = p
	}
}

func (s *svgWriter) lane(l *lane) {
	s.text(10, float64(l.baseline+4), 12, "#212121", "bold", truncateASCII(l.node, 24))
	fmt.Fprintf(s.b, `<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#9e9e9e"/>`+"\n",
		laneLabelWidth, l.baseline, pictureWidth-marginRight, l.baseline)
	for i := range l.marks {
		s.mark(l, &l.marks[i])
	}
}

func (s *svgWriter) mark(l *lane, m *mark) {
	colour := groupFor(m.first.Kind).colour
	fmt.Fprintf(s.b, "<g><title>%s</title>", escape(tooltipOf(m)))
	s.dot(m.x, float64(l.baseline), colour)
	if m.row >= 0 {
		y := l.baseline - 9 - m.row*rowHeight
		fmt.Fprintf(s.b, `<line x1="%.1f" y1="%d" x2="%.1f" y2="%d" stroke="%s" stroke-width="0.5" opacity="0.5"/>`,
			m.x, l.baseline, m.x, y+1, colour)
		fmt.Fprintf(s.b, `<text x="%.1f" y="%d" fill="%s" %s>%s</text>`, m.labelX, y, colour, labelOutline, escape(m.label))
	}
	fmt.Fprintln(s.b, "</g>")
}

// notes draws a line of text below the picture about omitted events and labels.
func (s *svgWriter) notes() {
	var notes []string
	if len(s.d.events) == 0 {
		notes = append(notes, "no events")
	}
	if s.d.unlabelled > 0 {
		notes = append(notes, fmt.Sprintf("%d marks without room for a label (see their tooltips)", s.d.unlabelled))
	}
	if s.d.omitted > 0 {
		notes = append(notes, fmt.Sprintf("%d earlier events not drawn", s.d.omitted))
	}
	if len(notes) > 0 {
		s.text(10, float64(s.d.height-10), 10, "#616161", "normal", strings.Join(notes, "; "))
	}
}

func (s *svgWriter) dot(x, y float64, colour string) {
	fmt.Fprintf(s.b, `<circle cx="%.1f" cy="%.1f" r="3" fill="%s"/>`, x, y, colour)
}

func (s *svgWriter) text(x, y float64, size int, colour, weight, v string) {
	fmt.Fprintf(s.b, `<text x="%.1f" y="%.1f" font-size="%d" fill="%s" font-weight="%s">%s</text>`+"\n",
		x, y, size, colour, weight, escape(v))
}

func tooltipOf(m *mark) string {
	e := m.first
	parts := []string{e.HLC.String(), e.Node, string(e.Kind)}
	for _, p := range []struct{ name, value string }{
		{"call", e.CallID}, {"request", e.RequestID}, {"workspace", e.Workspace},
		{"service", e.Service}, {"upstream", e.Upstream},
	} {
		if p.value != "" {
			parts = append(parts, p.name+"="+p.value)
		}
	}
	if e.Code != 0 {
		parts = append(parts, fmt.Sprintf("%d %s", int(e.Code), e.Code))
	}
	if e.Detail != "" {
		parts = append(parts, e.Detail)
	}
	if m.count > 1 {
		parts = append(parts, fmt.Sprintf("and %d more", m.count-1))
	}
	return truncateASCII(strings.Join(parts, " "), maxTooltipLen)
}

func escape(v string) string {
	var sb strings.Builder
	_ = xml.EscapeText(&sb, []byte(v))
	return sb.String()
}
