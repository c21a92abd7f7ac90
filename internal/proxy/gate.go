package proxy

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// fullPause is when a caller may come back to a node that holds all it may.
const fullPause = time.Second

// Limits bound what one node holds; 0 is without bound.
type Limits struct {
	// Calls bounds the calls held in any role.
	Calls int64
	// HeldBytes bounds the bodies of requests and answers held.
	HeldBytes int64
}

// Held is what a node holds at present.
type Held struct {
	Calls, Bytes int64
	// Rejected counts requests refused for either bound.
	Rejected int64
}

// gate counts calls and bytes against their limits. Calls of the local
// upstream are counted and not refused: they belong to a call that is already
// held, and refusing them would waste what it did.
type gate struct {
	limits     Limits
	calls      atomic.Int64
	bytes      atomic.Int64
	turnedAway atomic.Int64
}

// enter takes a call in; leave must follow unless it is refused.
func (g *gate) enter(size int64, refusable bool) *result.Refusal {
	calls := g.calls.Add(1)
	bytes := g.bytes.Add(size)
	if !refusable {
		return nil
	}
	var refusal *result.Refusal
	switch {
	case g.limits.Calls > 0 && calls > g.limits.Calls:
		refusal = result.Refuse(result.Shed, "the node holds %d calls, bound %d", calls-1, g.limits.Calls)
	case g.limits.HeldBytes > 0 && bytes > g.limits.HeldBytes:
		refusal = result.Refuse(result.Shed, "the node holds %d bytes of bodies, bound %d", bytes-size, g.limits.HeldBytes)
	default:
		return nil
	}
	g.leave(size)
	g.turnedAway.Add(1)
	return refusal.After(fullPause)
}

// hold counts n more bytes of a call that is in, and returns n.
func (g *gate) hold(n int64) int64 {
	g.bytes.Add(n)
	return n
}

func (g *gate) leave(size int64) {
	g.calls.Add(-1)
	g.bytes.Add(-size)
}

// SetLimits sets the bounds; call it before the first request.
func (p *Proxy) SetLimits(l Limits) { p.gate.limits = l }

// Held returns what the node holds.
func (p *Proxy) Held() Held {
	return Held{Calls: p.gate.calls.Load(), Bytes: p.gate.bytes.Load(), Rejected: p.gate.turnedAway.Load()}
}
