package node

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/idempotency"
)

// KeysBusy returns how many calls with matching keys have not ended. One whose
// key was looked up counts, whether it was dispatched or not.
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

// ExportKeys returns what is remembered of matching keys.
func (g *Guard) ExportKeys(now time.Time, match func(idempotency.Key) bool) []idempotency.Entry {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.Export(now, match)
}

// ImportKeys takes over another guard's memory; false means that some of it
// found no room.
func (g *Guard) ImportKeys(now time.Time, entries []idempotency.Entry) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.keys.Import(now, entries)
}
