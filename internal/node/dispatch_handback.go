package node

import (
	"slices"
	"time"

	"github.com/galenagrade/galenagrade/internal/handback"
	"github.com/galenagrade/galenagrade/internal/metrics"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/routing"
)

// SetHandBack sets whether this node's guard hands waiting calls back, and whether this node takes
// back its own calls.
func (n *Node) SetHandBack(enabled bool) {
	n.takesBack.Store(enabled)
	n.guard.SetHandBack(enabled)
}

// offerHandBack lets the guard hand the attempt back while it waits, unless only this guard may run
// it or it was handed back too often.
func (n *Node) offerHandBack(now time.Time, d *Dispatch, attempt *Call) {
	attempt.HandBacks = 0
	if !n.takesBack.Load() || d.pinned || len(d.crashRecords) > 0 {
		return
	}
	attempt.HandBacks = handback.MaxPerCall - len(d.handedBackBy)
	if attempt.HandBacks > 0 {
		attempt.Spare = n.table.Load().SpareSlots(now, attempt.Ctx.Service)
	}
}

// takeBack reports whether the attempt was handed back and may be placed elsewhere at no cost. A guard
// that hands back a call more often than allowed is treated like one that sheds it.
func (d *Dispatch) takeBack(a *Response) bool {
	if a.Code != result.HandedBack || len(d.handedBackBy) >= handback.MaxPerCall {
		return false
	}
	d.handedBackBy = append(d.handedBackBy, d.target.Endpoint().Node)
	return true
}

// pickAfterHandBack chooses another upstream than those that handed the call back. If none takes it,
// the call goes back to one of them and waits there.
func (d *Dispatch) pickAfterHandBack(now time.Time, info routing.PickInfo) (*routing.Target, *result.Refusal) {
	info.Avoid = slices.Concat(d.tried, d.handedBackBy)
	target, refusal := d.router.Table().Pick(now, d.rng, info)
	if refusal == nil {
		d.countHandBack(metrics.CallsReplaced)
		return target, nil
	}
	for len(d.handedBackBy) < handback.MaxPerCall {
		d.handedBackBy = append(d.handedBackBy, d.handedBackBy[0])
	}
	info.Avoid = d.tried
	d.countHandBack(metrics.CallsReturned)
	return d.router.Table().Pick(now, d.rng, info)
}

func (d *Dispatch) countHandBack(c metrics.Counter) {
	if d.node != nil {
		d.node.cfg.Metrics.Inc(c, 1)
	}
}
