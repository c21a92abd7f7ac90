package timeline

import (
	"fmt"
	"slices"
	"time"
)

// Sizes of the picture in pixels.
const (
	pictureWidth = 1600
	laneLabel    = 190
	marginRight  = 30
	marginTop    = 64
	rowHeight    = 13
	maxRows      = 12
	lanePad      = 14
	axisHeight   = 34
	// charWidth is that of the monospaced 10 px font, rounded up.
	charWidth  = 6.1
	labelGap   = 5
	clumpWidth = 3
	maxLabel   = 46
)

// MaxPictureEvents bounds the events drawn; more can't be told apart.
const MaxPictureEvents = 5000

// mark is one drawn event, or several of one kind too close to tell apart.
type mark struct {
	x     float64
	first *Event
	count int
	// row counts upwards from the lane's line; -1 means that no label fits.
	row    int
	labelX float64
	label  string
}

// lane is one process.
type lane struct {
	node  string
	marks []mark
	rows  int
	// baseline is the y of the lane's line.
	baseline int
}

// drawing is a picture worked out but not yet written.
type drawing struct {
	lanes []lane
	// at is the x of every event drawn, in merged order.
	at         []float64
	events     []Event
	from, to   float64
	height     int
	unlabelled int
	omitted    int
}

func layOut(events []Event) *drawing {
	d := &drawing{events: events}
	if len(events) > MaxPictureEvents {
		d.omitted = len(events) - MaxPictureEvents
		d.events = events[d.omitted:]
	}
	d.placeInTime()
	d.makeLanes()
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

// placeInTime spreads events of one millisecond evenly over it in their
// order, since a timestamp knows no finer time.
func (d *drawing) placeInTime() {
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
		d.from = ms[0]
		d.to = max(ms[len(ms)-1], ms[0]+1)
	}
	d.at = ms
	for i := range ms {
		d.at[i] = d.xOf(ms[i])
	}
}

// requests counts the requests that the events name.
func (d *drawing) requests() int {
	seen := map[string]bool{}
	for i := range d.events {
		if id := d.events[i].RequestID; id != "" {
			seen[id] = true
		}
	}
	return len(seen)
}

func (d *drawing) xOf(ms float64) float64 {
	const span = pictureWidth - laneLabel - marginRight
	return laneLabel + (ms-d.from)/(d.to-d.from)*span
}

func (d *drawing) makeLanes() {
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
		d.lanes[index[d.events[i].Node]].add(&d.events[i], d.at[i])
	}
}

// add draws e as a mark of its own, unless it repeats the one before.
func (l *lane) add(e *Event, x float64) {
	if n := len(l.marks); n > 0 {
		last := &l.marks[n-1]
		if last.first.Kind == e.Kind && last.first.Code == e.Code && x-last.x < clumpWidth {
			last.count++
			return
		}
	}
	l.marks = append(l.marks, mark{x: x, first: e, count: 1})
}

// placeLabels gives each mark a row and returns how many found none. It goes
// from right to left and prefers the row above every later label that begins
// under this one: so no line from a mark to its label crosses another label.
// Where that would need too many rows, the lowest free one has to do.
func (l *lane) placeLabels() (unlabelled int) {
	starts := slices.Repeat([]float64{pictureWidth}, maxRows)
	for i := len(l.marks) - 1; i >= 0; i-- {
		m := &l.marks[i]
		m.label = labelOf(m)
		width := float64(len(m.label)) * charWidth
		m.labelX = min(m.x, pictureWidth-labelGap-width)
		end := m.labelX + width + labelGap
		m.row = rowAbove(starts, end)
		if m.row < 0 {
			m.row = slices.IndexFunc(starts, func(start float64) bool { return start >= end })
		}
		if m.row < 0 {
			unlabelled++
			continue
		}
		starts[m.row] = m.labelX
		l.rows = max(l.rows, m.row+1)
	}
	l.rows = max(1, l.rows)
	return unlabelled
}

// rowAbove returns the row above the highest one whose leftmost label begins
// before end, or -1 when there is none left.
func rowAbove(starts []float64, end float64) int {
	for row := len(starts) - 1; row >= 0; row-- {
		if starts[row] >= end {
			continue
		}
		if row == len(starts)-1 {
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
	return cut(s, maxLabel)
}

// cut keeps ASCII, so that a width in bytes is one in characters.
func cut(s string, n int) string {
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

// tickStep returns the smallest usual step that gives at most want ticks.
func tickStep(span time.Duration, want int) time.Duration {
	for unit := time.Millisecond; ; unit *= 10 {
		for _, k := range []time.Duration{1, 2, 5} {
			if span/(k*unit) <= time.Duration(want) {
				return k * unit
			}
		}
	}
}
