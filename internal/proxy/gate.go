package proxy

import (
	"sync/atomic"
	"time"

	"github.com/galenagrade/galenagrade/internal/result"
)

// limitRetryAfter is the retry delay for requests that are refused because a limit is reached.
const limitRetryAfter = time.Second

// Limits bound the calls and bodies that a node holds; 0 means unlimited.
type Limits struct {
	// Calls is the maximum number of calls in any role.
	Calls int64
	// HeldBytes is the maximum size of all request and response bodies in memory, in bytes.
	HeldBytes int64
}

// Usage is the current use of the limits.
type Usage struct {
	Calls, Bytes int64
	// Rejected counts requests refused because of either limit.
	Rejected int64
}

// gate counts calls and bytes and enforces their limits. Calls of the local upstream are counted but
// never refused: they belong to a call that the node already holds, and a refusal would waste the
// work done for it.
type gate struct {
	limits   Limits
	calls    atomic.Int64
	bytes    atomic.Int64
	rejected atomic.Int64
}

// enter counts a call and its body of size bytes. It returns a refusal if refusable is set and a
// limit is exceeded. Unless it refuses, the caller must call leave.
func (g *gate) enter(size int64, refusable bool) *result.Refusal {
	calls := g.calls.Add(1)
	bytes := g.bytes.Add(size)
	if !refusable {
		return nil
	}
	var refusal *result.Refusal
	switch {
	case g.limits.Calls > 0 && calls > g.limits.Calls:
		refusal = result.Refuse(result.Shed, "node holds %d calls, limit is %d", calls-1, g.limits.Calls)
	case g.limits.HeldBytes > 0 && bytes > g.limits.HeldBytes:
		refusal = result.Refuse(result.Shed, "node holds %d bytes of bodies, limit is %d", bytes-size, g.limits.HeldBytes)
	default:
		return nil
	}
	g.leave(size)
	g.rejected.Add(1)
	return refusal.WithRetryAfter(limitRetryAfter)
}

// addBytes adds n to the bytes of a counted call and returns n.
func (g *gate) addBytes(n int64) int64 {
	g.bytes.Add(n)
	return n
}

func (g *gate) leave(size int64) {
	g.calls.Add(-1)
	g.bytes.Add(-size)
}

// SetLimits sets the limits. It must be called before the first request.
func (p *Proxy) SetLimits(l Limits) { p.gate.limits = l }

// Usage returns the calls and bytes that the node currently holds.
func (p *Proxy) Usage() Usage {
	return Usage{Calls: p.gate.calls.Load(), Bytes: p.gate.bytes.Load(), Rejected: p.gate.rejected.Load()}
}
