package control

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/lease"
)

// Status returns what operators see of the local service's slots; the zero
// Status when this node serves none.
func (o *Ownership) Status(now time.Time) (st lease.Status) {
	o.localLessor(func(l *lease.Lessor) { st = l.Status(now) })
	return st
}
