package node

import (
	"fmt"
	"strings"
	"time"

	"github.com/galenagrade/galenagrade/internal/admission"
	"github.com/galenagrade/galenagrade/internal/callctx"
	"github.com/galenagrade/galenagrade/internal/result"
	"github.com/galenagrade/galenagrade/internal/room"
	"github.com/galenagrade/galenagrade/internal/timeline"
)

// RoomGrant marks the calls of a tree for which guards promised room. The zero value marks none.
type RoomGrant struct {
	// Kind is the kind of the tree; see room.Request.
	Kind uint32
	// Services are the services that granted room, separated by a space.
	Services string
}

// Add returns the grant with another service.
func (r RoomGrant) Add(service string, kind uint32) RoomGrant {
	if r.Services != "" {
		service = r.Services + " " + service
	}
	return RoomGrant{Kind: kind, Services: service}
}

// By reports whether a service granted room.
func (r RoomGrant) By(service string) bool {
	for rest := r.Services; rest != ""; {
		name, next, _ := strings.Cut(rest, " ")
		if name == service {
			return true
		}
		rest = next
	}
	return false
}

// singleKind and the level form the kind of calls that callers send to this service. Kinds of trees
// have a bit above them.
const singleKind = 1

// SetReserve sets whether the guard promises room to trees, and the ratio of the room promised to the
// room that there is. Switched off, its promises expire at once.
func (g *Guard) SetReserve(now time.Time, on bool, overcommit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case !on:
		g.ledger = nil
		g.events.recordScarcity(now, false)
	case g.ledger == nil:
		g.ledger = room.NewLedger(now, overcommit)
	default:
		g.ledger.SetOvercommit(overcommit)
	}
}

// AskRoom decides whether there is room for a tree that an entry node is about to admit. v is a random
// number in [0, 1). It reports false if the guard doesn't promise room.
func (g *Guard) AskRoom(now time.Time, r *room.Request, v float64) (room.Answer, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil || !g.upstreamUp || g.draining || !g.stopAt.IsZero() {
		return room.Answer{}, false
	}
	g.updateLedgerLocked(now)
	return g.ledger.Ask(now, r, v), true
}

// Room returns the state of what the guard promised; false if it promises nothing.
func (g *Guard) Room(now time.Time) (room.State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.ledger == nil {
		return room.State{}, false
	}
	return g.ledger.State(now), true
}

// reserveLocked decides whether room is promised for a call that arrived: it was for calls of a granted
// tree, and single calls ask here.
func (g *Guard) reserveLocked(now time.Time, e *execution) *result.Refusal {
	if g.ledger == nil {
		return nil
	}
	call := e.call
	e.first = !call.HasPriorWork
	switch {
	case call.Room.By(call.Ctx.Service):
		e.kind, e.promised = call.Room.Kind, true
		return nil
	case call.Ctx.Depth > 0:
		if e.first {
			g.ledger.TreeSeen()
		}
		return nil
	}
	return g.reserveSingleLocked(now, e)
}

// reserveSingleLocked asks for room for a call that a caller sent to this service. It competes with
// trees by rank and by its own cost.
func (g *Guard) reserveSingleLocked(now time.Time, e *execution) *result.Refusal {
	ctx := &e.call.Ctx
	g.updateLedgerLocked(now)
	r := &room.Request{
		Kind:      singleKind + uint32(min(ctx.Level, callctx.LevelLow)),
		Rank:      admission.Rank(ctx.Level, ctx.CallerHash),
		Objective: ctx.Remaining(now),
		Single:    true,
	}
	answer := g.ledger.Ask(now, r, spread(ctx.CallID))
	if !answer.Granted {
		refusal := result.Refuse(result.Shed, "no room for a call of rank %#08x (%s), threshold %#08x", r.Rank, answer.Reason, answer.Threshold).WithRetryAfter(answer.RetryAfter)
		refusal.AllFull = answer.Reason == room.ReasonRank
		return refusal
	}
	e.kind, e.promised = r.Kind, answer.Tight
	return nil
}

// spread returns a number in [0, 1) from a random call ID in hexadecimal digits.
func spread(callID string) float64 {
	const hashRange = 1 << 32
	return float64(callctx.HashCaller("", callID)) / hashRange
}

// roomEndedLocked records that a call ended at the upstream.
func (g *Guard) roomEndedLocked(now time.Time, e *execution, call *Call, a *Response) {
	if g.ledger == nil {
		return
	}
	ctx := &call.Ctx
	g.ledger.CallEnded(now, &room.Call{
		Kind:     e.kind,
		Deep:     ctx.Depth > 0,
		First:    e.first,
		RootAge:  now.Sub(ctx.RootAdmitted),
		SlotTime: now.Sub(e.started),
		Shed:     a.Code == result.UpstreamShed,
	})
	g.updateLedgerLocked(now)
}

// updateLedgerLocked tells the ledger the load of the guard.
func (g *Guard) updateLedgerLocked(now time.Time) {
	if g.ledger == nil {
		return
	}
	l := g.admission.Load()
	g.ledger.Update(now, room.Load{
		Slots:          float64(l.Limit),
		Busy:           l.InFlight,
		Queued:         l.Queued,
		Shedding:       l.Overloaded || l.Threshold < room.OpenThreshold,
		CallsPerSecond: l.CallsPerSecond,
		TreesFail:      l.TreesFail,
	})
	g.events.recordScarcity(now, g.ledger.Tight())
}

// reportedThresholdLocked returns the threshold for load reports. It names the service as scarce while
// nothing is shed yet.
func (g *Guard) reportedThresholdLocked(threshold uint32) uint32 {
	if g.ledger != nil && g.ledger.Tight() {
		return min(threshold, room.TightThreshold)
	}
	return threshold
}

// recordScarcity records that the service has become scarce, or no longer is.
func (o *eventRecorder) recordScarcity(now time.Time, tight bool) {
	if o == nil || tight == o.wasTight {
		return
	}
	o.wasTight = tight
	kind, detail := timeline.ScarcityFinished, "trees are no longer asked about"
	if tight {
		kind, detail = timeline.ScarcityStarted, "entry nodes ask for room before they admit trees"
	}
	o.node.Event(now, timeline.Event{Kind: kind, Upstream: o.node.ID(), Detail: detail})
}

// RecordRoomGranted records that a guard promised room for a tree.
func (n *Node) RecordRoomGranted(now time.Time, call *Call, guard string, threshold uint32) {
	if call.Sampled {
		n.recordCall(now, timeline.RoomGranted, call, 0, guard, fmt.Sprintf("by %s, rank %#08x, threshold %#08x", call.Room.Services, admission.Rank(call.Ctx.Level, call.Ctx.CallerHash), threshold))
	}
}
