package timeline

import (
	"fmt"
	"slices"
	"time"
)

// Sizes in the picture, in pixels unless stated otherwise.
const (
	pictureWidth   = 1600
	laneLabelWidth = 190
	marginRight    = 30
	marginTop      = 64
	rowHeight      = 13
	maxRows        = 12
	lanePad        = 14
	axisHeight     = 34
	// charWidth is the width of a character of the monospaced 10 px font, rounded up.
	charWidth = 6.1
	labelGap  = 5
	// mergeDistance is the distance below which repeated events share one mark.
	mergeDistance = 3
	// maxLabelLen is the maximum length of a label in characters.
	maxLabelLen = 46
)

// MaxPictureEvents is the maximum number of events drawn. With more, the marks are
// indistinguishable.
const MaxPictureEvents = 5000

// mark is the drawing of one event, or of several events of one kind and code that are closer than
// mergeDistance.
type mark struct {
	x     float64
	first *Event
	count int
	// row is the row of the label, counted upwards from the lane's line. -1 means that there is no
	// room for a label.
	row    int
	labelX float64
	label  string
}

// lane is the horizontal strip with the marks of one process.
type lane struct {
	node  string
	marks []mark
	rows  int
	// baseline is the y of the lane's line.
	baseline int
}

// layout contains the positions of all elements of a picture.
type layout struct {
	lanes []lane
	// eventX contains the x coordinate of each element of events.
	eventX []float64
	// events contains the events drawn, in merged order.
	events []Event
	// fromMs and toMs are the ends of the time axis, in milliseconds since the Unix epoch.
	fromMs, toMs float64
	height       int
	// unlabelled is the number of marks without a label.
	unlabelled int
	// omitted is the number of events beyond MaxPictureEvents.
	omitted int
}

// newLayout computes the layout of the last MaxPictureEvents of the events, which must be merged.
func newLayout(events []Event) *layout {
	d := &layout{events: events}
	if len(events) > MaxPictureEvents {
		d.omitted = len(events) - MaxPictureEvents
		d.events = events[d.omitted:]
	}
	d.placeEvents()
	d.buildLanes()
	y := marginTop
	for i := range d.lanes {
		l := &d.lanes[i]
		d.unlabelled += l.placeLabels()
		y += l.rows*rowHeight + lanePad
		l.baseline = y
		y += lanePad
	}
	d.height = y + axisHeight + 20
	return d
}

// placeEvents computes eventX. It spreads the events of one millisecond evenly over the
// millisecond, in their order, because timestamps have no finer resolution.
func (d *layout) placeEvents() {
	ms := make([]float64, len(d.events))
	for i := 0; i < len(d.events); {
		j := i
		for j < len(d.events) && d.events[j].HLC>>counterBits == d.events[i].HLC>>counterBits {
			j++
		}
		for k := i; k < j; k++ {
			ms[k] = float64(d.events[i].HLC>>counterBits) + float64(k-i)/float64(j-i)
		}
		i = j
	}
	if len(ms) > 0 {
		d.fromMs = ms[0]
		d.toMs = max(ms[len(ms)-1], ms[0]+1)
	}
	d.eventX = ms
	for i := range ms {
		d.eventX[i] = d.xOf(ms[i])
	}
}

// requestCount returns the number of distinct request IDs in the events.
func (d *layout) requestCount() int {
	seen := map[string]bool{}
	for i := range d.events {
		if id := d.events[i].RequestID; id != "" {
			seen[id] = true
		}
	}
	return len(seen)
}

func (d *layout) xOf(ms float64) float64 {
	const span = pictureWidth - laneLabelWidth - marginRight
	return laneLabelWidth + (ms-d.fromMs)/(d.toMs-d.fromMs)*span
}

func (d *layout) buildLanes() {
	index := map[string]int{}
	for i := range d.events {
		node := d.events[i].Node
		if _, ok := index[node]; !ok {
			index[node] = 0
			d.lanes = append(d.lanes, lane{node: node})
		}
	}
	slices.SortFunc(d.lanes, func(a, b lane) int { return compareText(a.node, b.node) })
	for i := range d.lanes {
		index[d.lanes[i].node] = i
	}
	for i := range d.events {
		d.lanes[index[d.events[i].Node]].add(&d.events[i], d.eventX[i])
	}
}

// add appends a mark for e, or counts e in the previous mark if that has the same kind and code
// and is closer than mergeDistance.
func (l *lane) add(e *Event, x float64) {
	if n := len(l.marks); n > 0 {
		last := &l.marks[n-1]
		if last.first.Kind == e.Kind && last.first.Code == e.Code && x-last.x < mergeDistance {
			last.count++
			return
		}
	}
	l.marks = append(l.marks, mark{x: x, first: e, count: 1})
}

// placeLabels assigns a label row to each mark and returns the number of marks without a row. It
// goes from right to left. For each label, it prefers the row above all labels placed so far that
// start within the label's horizontal extent, so that no line from a mark to its label crosses
// another label. If there is no such row, it uses the lowest free row.
func (l *lane) placeLabels() (unlabelled int) {
	rowStarts := slices.Repeat([]float64{pictureWidth}, maxRows)
	for i := len(l.marks) - 1; i >= 0; i-- {
		m := &l.marks[i]
		m.label = labelOf(m)
		width := float64(len(m.label)) * charWidth
		m.labelX = min(m.x, pictureWidth-labelGap-width)
		end := m.labelX + width + labelGap
		m.row = rowAbove(rowStarts, end)
		if m.row < 0 {
			m.row = slices.IndexFunc(rowStarts, func(start float64) bool { return start >= end })
		}
		if m.row < 0 {
			unlabelled++
			continue
		}
		rowStarts[m.row] = m.labelX
		l.rows = max(l.rows, m.row+1)
	}
	l.rows = max(1, l.rows)
	return unlabelled
}

// rowAbove returns the row above the highest row whose leftmost label starts before end. It returns
// -1 if that highest row is the top row, and row 0 if no label starts before end.
func rowAbove(rowStarts []float64, end float64) int {
	for row := len(rowStarts) - 1; row >= 0; row-- {
		if rowStarts[row] >= end {
			continue
		}
		if row == len(rowStarts)-1 {
			return -1
		}
		return row + 1
	}
	return 0
}

func labelOf(m *mark) string {
	e := m.first
	s := string(e.Kind)
	if e.Code != 0 {
		s += fmt.Sprintf(" %d", int(e.Code))
	}
	if e.Upstream != "" && e.Upstream != e.Node {
		s += " " + e.Upstream
	}
	if m.count > 1 {
		s += fmt.Sprintf(" x%d", m.count)
	}
	return truncateASCII(s, maxLabelLen)
}

// truncateASCII returns the first n bytes of s with non-printable and non-ASCII bytes replaced by
// "?", so that the length in bytes is the length in characters.
func truncateASCII(s string, n int) string {
	b := []byte(s)
	for i := range b {
		if b[i] < ' ' || b[i] > '~' {
			b[i] = '?'
		}
	}
	if len(b) > n {
		return string(b[:n-2]) + ".."
	}
	return string(b)
}

func compareText(a, b string) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// tickStep returns the smallest step of the form 1, 2 or 5 times a power of ten that divides span
// into at most maxCount intervals.
func tickStep(span time.Duration, maxCount int) time.Duration {
	for unit := time.Millisecond; ; unit *= 10 {
		for _, factor := range []time.Duration{1, 2, 5} {
			if span/(factor*unit) <= time.Duration(maxCount) {
				return factor * unit
			}
		}
	}
}
