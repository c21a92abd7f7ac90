package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
)

// KeysBusy returns the number of unfinished calls with matching keys. A call counts from the
// lookup of its key on, whether it was dispatched or not.
func (g *Guard) KeysBusy(match func(idempotency.Key) bool) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	n := 0
	for _, e := range g.calls {
		if e.phase != phaseDone && e.call.Keyed() && match(e.call.IdempotencyKey()) {
			n++
		}
	}
	return n
}

// ExportKeys returns the entries of matching keys.
func (g *Guard) ExportKeys(now time.Time, match func(idempotency.Key) bool) []idempotency.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.Export(now, match)
}

// ImportKeys adds the entries of another guard. It returns false when there was no room for
// some of them.
func (g *Guard) ImportKeys(now time.Time, entries []idempotency.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.Import(now, entries)
}
