package control

import (
	"time"

	"github.com/galenagrade/galenagrade/internal/lease"
)

// Status returns the state of the local service's slots for operators; the zero Status if this
// node serves no service.
func (o *Ownership) Status(now time.Time) (st lease.Status) {
	o.withLocalLessor(func(l *lease.Lessor) { st = l.Status(now) })
	return st
}
