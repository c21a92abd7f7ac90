package share

import (
	"cmp"
	"math"
	"slices"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/overview"
)

const (
	// rateTimeConstant is the time constant of the averages of rates, which cover about a second.
	rateTimeConstant = time.Second / 2
	// mixTimeConstant is the time constant of the mix of levels, which changes seldom.
	mixTimeConstant = 10 * time.Second
	// minReportedRate is the rate in requests per second below which a workspace isn't reported: one
	// request then adds less than that for some seconds.
	minReportedRate = 0.01
	// certainDeviations is the number of standard deviations by which a rate that a node sees alone is
	// lowered, so that chance doesn't raise a demand.
	certainDeviations = 2
)

// Cell counts the requests of one workspace at this node.
type Cell struct {
	asked, admitted, cut atomic.Int64
	// offset and drawn are the start and the last number of the sequence that draw returns.
	offset, drawn atomic.Uint32
	// countedAsked, countedAdmitted and countedCut are the counters at the last Tick.
	countedAsked, countedAdmitted, countedCut int64
	askedRate, admittedRate, cutRate          float64
	isCut                                     bool
}

// goldenRatio is the fractional part of the golden ratio, in parts of 1<<32. Its multiples, modulo 1, are
// distributed more evenly than random numbers, over any number of them.
const goldenRatio = 0x9E3779B9

// draw returns the next number of an evenly distributed sequence. Each share is then admitted with less
// chance than by random numbers. hash, of the first request, is its start.
func (c *Cell) draw(hash uint32) uint32 {
	if c.offset.Load() == 0 {
		c.offset.CompareAndSwap(0, max(hash, 1))
	}
	return c.offset.Load() + c.drawn.Add(goldenRatio)
}

// Rates returns the rates of requests that were received, admitted and cut, per second. It must not be
// called concurrently with Tick.
func (c *Cell) Rates() (asked, admitted, cut float64) { return c.askedRate, c.admittedRate, c.cutRate }

// Meter measures the rate of requests of each workspace of a configuration at one node. Cell and
// CountLevel are safe for concurrent use; the other methods must not be called concurrently.
type Meter struct {
	cells  map[string]*Cell
	levels *levelCounts
}

// levelCounts counts requests by level, among those whose routes set the level.
type levelCounts struct {
	counts  [callctx.Levels]atomic.Int64
	counted [callctx.Levels]int64
	rates   [callctx.Levels]float64
}

// NewMeter returns a meter for the workspaces. Those that previous has keep their rates; previous may be
// nil.
func NewMeter(previous *Meter, workspaces []Workspace) *Meter {
	m := &Meter{cells: make(map[string]*Cell, len(workspaces)), levels: &levelCounts{}}
	if previous != nil {
		m.levels = previous.levels
	}
	for i := range workspaces {
		name := workspaces[i].Name
		if cell := previous.Cell(name); cell != nil {
			m.cells[name] = cell
		} else {
			m.cells[name] = &Cell{}
		}
	}
	return m
}

// Cell returns the counters of a workspace; nil if the configuration doesn't have it.
func (m *Meter) Cell(workspace string) *Cell {
	if m == nil {
		return nil
	}
	return m.cells[workspace]
}

// CountLevel counts a request whose route set its level.
func (m *Meter) CountLevel(level callctx.Level) {
	m.levels.counts[min(level, callctx.LevelLow)].Add(1)
}

// Tick brings the rates up to date. elapsed is the time since the last Tick.
func (m *Meter) Tick(elapsed time.Duration) {
	if elapsed <= 0 {
		return
	}
	seconds := elapsed.Seconds()
	gain := gainOf(elapsed, rateTimeConstant)
	for _, c := range m.cells {
		c.askedRate += gain * (advance(&c.asked, &c.countedAsked)/seconds - c.askedRate)
		c.admittedRate += gain * (advance(&c.admitted, &c.countedAdmitted)/seconds - c.admittedRate)
		c.cutRate += gain * (advance(&c.cut, &c.countedCut)/seconds - c.cutRate)
	}
	gain = gainOf(elapsed, mixTimeConstant)
	for i := range m.levels.counts {
		rate := advance(&m.levels.counts[i], &m.levels.counted[i]) / seconds
		m.levels.rates[i] += gain * (rate - m.levels.rates[i])
	}
}

func gainOf(elapsed, timeConstant time.Duration) float64 {
	return 1 - math.Exp(-elapsed.Seconds()/timeConstant.Seconds())
}

// advance returns by how much a counter has grown since the last call.
func advance(counter *atomic.Int64, counted *int64) float64 {
	now := counter.Load()
	grown := now - *counted
	*counted = now
	return float64(grown)
}

// Demand returns the rates of the workspaces with the highest rates, the highest first, at most
// overview.MaxWorkspaces.
func (m *Meter) Demand() []overview.WorkspaceDemand {
	out := make([]overview.WorkspaceDemand, 0, min(len(m.cells), overview.MaxWorkspaces))
	for name, c := range m.cells {
		if c.askedRate >= minReportedRate {
			out = append(out, overview.WorkspaceDemand{Workspace: name, PerSecond: c.askedRate})
		}
	}
	slices.SortFunc(out, func(a, b overview.WorkspaceDemand) int {
		return cmp.Or(cmp.Compare(b.PerSecond, a.PerSecond), cmp.Compare(a.Workspace, b.Workspace))
	})
	return out[:min(len(out), overview.MaxWorkspaces)]
}

// RaiseDemand raises a demand to the rates that this node alone sees for certain. Others see at least
// none of it, so the demand over all nodes is not below that.
func (m *Meter) RaiseDemand(d *Demand) {
	for name, c := range m.cells {
		deviation := math.Sqrt(c.askedRate / (2 * rateTimeConstant.Seconds()))
		d.AtLeast(name, c.askedRate-certainDeviations*deviation)
	}
}

// Mix returns the mix of levels at this node. Each level counts with one request more than it had, so
// that no level is missing.
func (m *Meter) Mix() Mix {
	var mix Mix
	sum := 0.0
	for i, rate := range m.levels.rates {
		mix[i] = rate*mixTimeConstant.Seconds() + 1
		sum += mix[i]
	}
	for i := range mix {
		mix[i] /= sum
	}
	return mix
}
