package share

import (
	"math"
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/overview"
)

// Divider is what the requests of a node are divided by. Its methods are safe for concurrent use, except
// Configure and Update, of which calls must not overlap.
//
// Without a table each request keeps its hash, and all requests of a level are alike.
type Divider struct {
	meter atomic.Pointer[Meter]
	book  atomic.Pointer[Book]
	table atomic.Pointer[Table]
}

// Configure puts the workspaces of a configuration and their terms in force. A nil book turns shares
// off.
func (d *Divider) Configure(workspaces []Workspace, book *Book) {
	if book == nil {
		d.meter.Store(nil)
		d.table.Store(nil)
		d.book.Store(nil)
		return
	}
	d.meter.Store(NewMeter(d.meter.Load(), workspaces))
	d.book.Store(book)
}

// Update measures the rates of this node and makes the table of the demand in view. It returns false if
// requests are not divided, because shares are off, there is only one workspace, or view is nil.
func (d *Divider) Update(elapsed time.Duration, view *overview.View) bool {
	meter, book := d.meter.Load(), d.book.Load()
	if meter == nil || book == nil {
		return false
	}
	meter.Tick(elapsed)
	demand := DemandOf(view)
	if demand == nil || book.Workspaces() < 2 {
		d.table.Store(nil)
		return false
	}
	meter.RaiseDemand(demand)
	d.table.Store(NewTable(demand, book, meter.Mix()))
	return true
}

// Meter returns the meter of this node; nil while shares are off.
func (d *Divider) Meter() *Meter { return d.meter.Load() }

// Book returns the terms in force; nil while shares are off.
func (d *Divider) Book() *Book { return d.book.Load() }

// Table returns the table in force; nil if requests are not divided.
func (d *Divider) Table() *Table { return d.table.Load() }

// hashRange is the number of caller hashes.
const hashRange = 1 << 32

// Receive counts a root request and returns its caller hash, by which it is shed. hash is evenly
// distributed over all requests, and is returned as it is if the request is not divided.
func (d *Divider) Receive(workspace string, level callctx.Level, hash uint32) (callerHash uint32, divided bool) {
	meter := d.meter.Load()
	cell := meter.Cell(workspace)
	if cell == nil {
		return hash, false
	}
	cell.asked.Add(1)
	if book := d.book.Load(); book != nil && !book.Of(workspace).OwnLevel {
		meter.CountLevel(level)
	}
	table := d.table.Load()
	if table == nil {
		return hash, false
	}
	position, ok := table.Position(workspace, level, (float64(cell.draw(hash))+0.5)/hashRange)
	if !ok {
		return hash, false
	}
	return uint32(min(position*hashRange, math.MaxUint32)), true
}

// Admitted counts a request that was not shed.
func (d *Divider) Admitted(workspace string) {
	if cell := d.meter.Load().Cell(workspace); cell != nil {
		cell.admitted.Add(1)
	}
}

// Cut counts a request that was shed because of its position.
func (d *Divider) Cut(workspace string) {
	if cell := d.meter.Load().Cell(workspace); cell != nil {
		cell.cut.Add(1)
	}
}

// ShareAt returns the share of a workspace where callers are shed from a hash on. It returns false if
// requests of the workspace are not divided.
func (d *Divider) ShareAt(workspace string, level callctx.Level, callerHash uint32) (Share, bool) {
	table := d.table.Load()
	if table == nil {
		return Share{}, false
	}
	return table.ShareAt(workspace, level, PositionOf(callerHash))
}

// PositionOf returns the position of a caller hash; 1 if it is the highest.
func PositionOf(callerHash uint32) float64 {
	if callerHash == math.MaxUint32 {
		return 1
	}
	return float64(callerHash) / hashRange
}
